#ifndef DAMASKHOLLOW_POLICY_CALLERMEMORY_H_
#define DAMASKHOLLOW_POLICY_CALLERMEMORY_H_

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace damaskhollow {

// The bytes that a node holds for one caller connection.
struct CallerHolding {
  ConnectionId connection;
  std::size_t bytes = 0;
};

// A connection that holds fewer bytes is never closed for memory: it is an ordinary caller, and
// closing it would free little. It exceeds the default limit of a request head four times.
inline constexpr std::size_t kMinClosedHolding = 64UL * 1024UL;

// The bytes that all callers together may hold, with `memory_bytes` for the process. Request bodies
// have a budget of their own.
std::size_t CallerMemoryShare(std::size_t memory_bytes);

// Returns the connections to close so that `total` bytes come down to `share`: those that hold most
// first. `holdings` may be a part of those that `total` covers. Closes fewer than needed rather
// than one that holds less than kMinClosedHolding.
std::vector<CallerHolding> CallersToClose(std::vector<CallerHolding> holdings, std::size_t total,
                                          std::size_t share);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_CALLERMEMORY_H_
