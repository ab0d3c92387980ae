#ifndef DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// Prints what the change from one declaration to another would do.
const Command& DiffCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_DIFFCOMMAND_H_
