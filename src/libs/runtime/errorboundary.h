#ifndef DAMASKHOLLOW_RUNTIME_ERRORBOUNDARY_H_
#define DAMASKHOLLOW_RUNTIME_ERRORBOUNDARY_H_

#include <QCoreApplication>
#include <cstdint>
#include <exception>
#include <string_view>

namespace damaskhollow {

// Logs an exception that reached the boundary of a task as the line "unexpected_error" and counts
// it. `task` tells what was running.
void ReportUnexpectedError(std::string_view task, std::string_view detail);

// Number of exceptions that were reported since the process started.
std::uint64_t UnexpectedErrors();

// Runs `action`, so that an exception ends only this action and not the process. Expected errors
// have typed results; this is the last resort for the others. Returns false if there was one.
template <class Action>
bool RunGuarded(std::string_view task, const Action& action) {
  try {
    action();
    return true;
  } catch (const std::exception& error) {
    ReportUnexpectedError(task, error.what());
  } catch (...) {
    ReportUnexpectedError(task, "an object that is not an exception");
  }
  return false;
}

// An application that guards the events of all its threads (timers, sockets and queued calls).
class GuardedApplication : public QCoreApplication {
 public:
  using QCoreApplication::QCoreApplication;

  bool notify(QObject* receiver, QEvent* event) override;  // NOLINT: name fixed by Qt.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_RUNTIME_ERRORBOUNDARY_H_
