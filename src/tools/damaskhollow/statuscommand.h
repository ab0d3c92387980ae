#ifndef DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_
#define DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow status`: queries the status of nodes through their admin addresses.
const Command& StatusCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_STATUSCOMMAND_H_
