#ifndef DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_
#define DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_

#include "damaskhollow/command.h"

namespace damaskhollow {

// `damaskhollow trace`: puts the log lines of one request, from several nodes, in order.
const Command& TraceCommand();

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_TRACECOMMAND_H_
