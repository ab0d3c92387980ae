#include "policy/retryafter.h"

#include <algorithm>
#include <vector>

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

// The most urgent callers come back first, after the time in which a slot of the served systems
// becomes free. Each less urgent group gets a window behind that of the group before, twice as
// long, as there are more of them in an overload.
constexpr milliseconds kFirstDelay{100};
constexpr milliseconds kFirstWindow{200};
constexpr std::size_t kMaxDoublings = 3;
// A wait that the owners expect moves the window, but not beyond what callers would accept.
constexpr milliseconds kMaxExpectedWait{500};
// Part of the remaining time that callers honour.
constexpr int kHonouredDivisor = 3;

}  // namespace

std::size_t UrgencyOf(const Declaration& declaration, std::size_t priority_index) {
  // Groups do not decrease, so that each change of the group begins a new one.
  const std::vector<Priority>& priorities = declaration.priorities;
  const std::size_t end = std::min(priority_index + 1, priorities.size());
  std::size_t more_urgent = 0;
  for (std::size_t index = 1; index < end; ++index) {
    if (priorities[index].group != priorities[index - 1].group) ++more_urgent;
  }
  return more_urgent;
}

std::chrono::milliseconds SpreadRetryAfter(const RefusedCall& call, RandomSource& random) {
  milliseconds delay = kFirstDelay;
  milliseconds window = kFirstWindow;
  for (std::size_t group = 0; group < std::min(call.urgency, kMaxDoublings); ++group) {
    delay += window;
    window *= 2;
  }
  const auto wait = std::chrono::duration_cast<milliseconds>(call.expected_wait);
  delay += std::min(wait, kMaxExpectedWait);
  const auto left = std::chrono::duration_cast<milliseconds>(call.deadline_left);
  const milliseconds latest = std::max(left / kHonouredDivisor, milliseconds(0));
  // Near the deadline, the callers are still spread.
  const milliseconds first = std::min(delay, latest / 2);
  const milliseconds last = std::min(delay + window, latest);
  return first + milliseconds(
                     static_cast<int>(static_cast<double>((last - first).count()) * random.Unit()));
}

}  // namespace damaskhollow
