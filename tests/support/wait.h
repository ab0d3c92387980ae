#ifndef DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_

#include <chrono>
#include <functional>

namespace damaskhollow::test {

// Default timeout of WaitUntil(). Long enough for a heavily loaded machine, so that a condition
// that is still false by then can be assumed never to become true.
constexpr std::chrono::milliseconds kWaitLimit{30000};

// Runs the event loop until `condition` is true. Returns false if it is not true within `limit`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = kWaitLimit);

// Runs the event loop for `duration`, for tests that check that something does not happen.
void RunFor(std::chrono::milliseconds duration);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_WAIT_H_
