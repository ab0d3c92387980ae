#ifndef DAMASKHOLLOW_TESTS_SUPPORT_SUSPENDEDCLOCK_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_SUSPENDEDCLOCK_H_

#include <QTemporaryFile>
#include <chrono>

#include "support/process.h"

namespace damaskhollow::test {

// Suspends one process as if its machine were suspended: it is stopped, and its CLOCK_MONOTONIC
// does not count the time for which it was stopped, while CLOCK_BOOTTIME does.
class SuspendedClock {
 public:
  SuspendedClock();

  // Processes that are started between these two calls use the clock.
  void BeginStarts();
  void EndStarts();

  void Suspend(Process& process);
  void Resume(Process& process);

 private:
  QTemporaryFile m_file;  // As suspendedclock.cpp of the preloaded library describes.
  std::chrono::steady_clock::duration m_suspended{};
  std::chrono::steady_clock::time_point m_suspended_at{};
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_SUSPENDEDCLOCK_H_
