#include "policy/callermemory.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// A quarter: 40 MB of the smallest machine of 160 MB, beside 64 MB for request bodies there and
// 24 MB for a node at rest.
constexpr std::size_t kCallerShareDivisor = 4;

}  // namespace

std::size_t CallerMemoryShare(std::size_t memory_bytes) {
  return memory_bytes / kCallerShareDivisor;
}

std::vector<CallerHolding> CallersToClose(std::vector<CallerHolding> holdings, std::size_t total,
                                          std::size_t share) {
  std::sort(holdings.begin(), holdings.end(), [](const auto& left, const auto& right) {
    return left.bytes != right.bytes ? left.bytes > right.bytes
                                     : left.connection < right.connection;
  });
  std::size_t count = 0;
  while (total > share && count < holdings.size() && holdings[count].bytes >= kMinClosedHolding) {
    total -= std::min(total, holdings[count].bytes);
    ++count;
  }
  holdings.resize(count);
  return holdings;
}

}  // namespace damaskhollow
