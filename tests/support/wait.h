#ifndef DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_

#include <chrono>
#include <functional>

namespace damaskhollow::test {

// Generous, as the machine may be busy; a condition that does not come true in this time never
// will.
constexpr std::chrono::milliseconds kWaitLimit{30000};

// Runs the event loop until the condition is true; false if it is not within the limit.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = kWaitLimit);

// Runs the event loop for a while. For tests that show that something does not happen.
void RunFor(std::chrono::milliseconds duration);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_
