#ifndef DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow keygen`: generates a CURVE key pair for one node.
const Command& KeygenCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_KEYGENCOMMAND_H_
