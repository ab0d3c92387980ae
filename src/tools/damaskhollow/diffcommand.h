#ifndef DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow diff`: prints the differences between two declarations and the effect of each on a
// running fleet.
const Command& DiffCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_
