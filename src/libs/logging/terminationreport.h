#ifndef DAMASKHOLLOW_LOGGING_TERMINATIONREPORT_H_
#define DAMASKHOLLOW_LOGGING_TERMINATIONREPORT_H_

#include <functional>
#include <string>

namespace damaskhollow {

// Makes std::terminate write the line "aborted" with the time, the thread, the type and the text of
// the exception, and the fields that `details` returns, before the process aborts. The line does
// not pass through the queue of the log. `details` is called on the failing thread and must not
// take locks.
void InstallTerminationReport(std::function<std::string()> details);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_TERMINATIONREPORT_H_
