#ifndef DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// Creates a pair of CURVE keys for one node.
const Command& KeygenCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_
