#ifndef DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// Prints rows of the reason table.
const Command& ExplainCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_EXPLAINCOMMAND_H_
