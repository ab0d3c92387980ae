#ifndef DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_
#define DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow trace`: prints the log lines of one request from the logs of several nodes, sorted
// by time.
const Command& TraceCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_
