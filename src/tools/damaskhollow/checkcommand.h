#ifndef DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// Validates a declaration and prints every failure with file and field path.
const Command& CheckCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_
