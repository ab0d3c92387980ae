#ifndef DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow explain`: prints the meaning of one or all reasons for which a call is refused,
// fails or is retried, and what an operator can do about each.
const Command& ExplainCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_
