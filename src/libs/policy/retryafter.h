#ifndef DAMASKHOLLOW_POLICY_RETRYAFTER_H_
#define DAMASKHOLLOW_POLICY_RETRYAFTER_H_

#include <chrono>
#include <cstddef>

#include "base/randomsource.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// A call that is refused as not run.
struct RefusedCall {
  std::size_t urgency = 0;   // Groups of priorities that are more urgent than its own.
  Duration expected_wait{};  // The shortest wait that an owner expected for it; zero if unknown.
  Duration deadline_left{};  // Time left until its deadline.
};

// Returns how many groups of priorities of the declaration are more urgent than the one at
// `priority_index`.
std::size_t UrgencyOf(const Declaration& declaration, std::size_t priority_index);

// Returns the delay after which the caller of a refused call may retry. Callers of the same urgency
// come back spread over a time, those of a less urgent one later, so that the returning calls of an
// overload do not meet again. Callers honour at most a third of the time that they have left.
std::chrono::milliseconds SpreadRetryAfter(const RefusedCall& call, RandomSource& random);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_RETRYAFTER_H_
