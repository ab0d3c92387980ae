#ifndef DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow check`: validates a declaration and prints each error with its file and field path.
// Also tells whether the descriptors that nodes may open suffice for it.
const Command& CheckCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_CHECKCOMMAND_H_
