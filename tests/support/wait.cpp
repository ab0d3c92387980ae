#include "support/wait.h"

#include <QEventLoop>
#include <QTimer>

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    RunFor(kPollInterval);
  }
  return true;
}

void RunFor(std::chrono::milliseconds duration) {
  QEventLoop loop;
  QTimer::singleShot(duration, Qt::PreciseTimer, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace damaskhollow::test
