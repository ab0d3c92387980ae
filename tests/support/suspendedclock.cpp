#include "support/suspendedclock.h"

#include <signal.h>

#include <cstdint>

namespace damaskhollow::test {

namespace {

constexpr char kPreload[] = "LD_PRELOAD";
constexpr char kFile[] = "SUSPENDED_CLOCK_FILE";

}  // namespace

SuspendedClock::SuspendedClock() {
  const std::int64_t none = 0;
  m_file.open();
  m_file.write(reinterpret_cast<const char*>(&none), sizeof(none));
  m_file.flush();
}

void SuspendedClock::BeginStarts() {
  qputenv(kPreload, DAMASKHOLLOW_SUSPENDED_CLOCK_LIBRARY);
  qputenv(kFile, m_file.fileName().toUtf8());
}

void SuspendedClock::EndStarts() {
  qunsetenv(kPreload);
  qunsetenv(kFile);
}

void SuspendedClock::Suspend(Process& process) {
  process.Signal(SIGSTOP);
  m_suspended_at = std::chrono::steady_clock::now();
}

void SuspendedClock::Resume(Process& process) {
  m_suspended += std::chrono::steady_clock::now() - m_suspended_at;
  const std::int64_t nanoseconds = std::chrono::nanoseconds(m_suspended).count();
  m_file.seek(0);
  m_file.write(reinterpret_cast<const char*>(&nanoseconds), sizeof(nanoseconds));
  m_file.flush();
  process.Signal(SIGCONT);
}

}  // namespace damaskhollow::test
