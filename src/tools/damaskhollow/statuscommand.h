#ifndef DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// Asks nodes for their state over their admin addresses.
const Command& StatusCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_
