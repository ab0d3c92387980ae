#include <cppunit/TestAssert.h>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "policy/callermemory.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kKilobyte = 1024;

struct ClosingRow {
  std::string_view name;
  std::array<std::size_t, 4> held_kb;  // By the connections 1 to 4.
  std::size_t other_kb;                // Held by connections of other threads.
  std::size_t share_kb;
  std::array<std::uint64_t, 4> closed;  // In order; 0: none.
};

constexpr std::array kRows{
    ClosingRow{"within the share", {400, 300, 200, 100}, 0, 1000, {}},
    ClosingRow{"one holds most", {10, 900, 20, 30}, 0, 500, {2}},
    ClosingRow{"largest first, no more than needed", {200, 400, 300, 100}, 0, 400, {2, 3}},
    ClosingRow{"many small ones are kept", {63, 63, 63, 63}, 0, 100, {}},
    ClosingRow{"small ones are kept beside large ones", {10, 500, 63, 64}, 0, 0, {2, 4}},
    ClosingRow{"other threads hold most", {300, 10, 10, 10}, 2000, 1000, {1}},
    ClosingRow{"equal ones by age", {100, 100, 100, 100}, 0, 250, {1, 2}},
};

// Guards against callers with many held bytes that exhaust the memory, and against closing ordinary
// callers, or more than needed, in their place.
void ClosesLargestHolders(const ClosingRow& row) {
  std::vector<CallerHolding> holdings;
  std::size_t total = row.other_kb * kKilobyte;
  for (const std::size_t kilobytes : row.held_kb) {
    holdings.push_back({ConnectionId{holdings.size() + 1}, kilobytes * kKilobyte});
    total += holdings.back().bytes;
  }
  const auto closed = CallersToClose(holdings, total, row.share_kb * kKilobyte);
  std::array<std::uint64_t, 4> ids{};
  for (std::size_t index = 0; index < closed.size(); ++index) {
    ids[index] = closed[index].connection.value;
  }
  CPPUNIT_ASSERT(row.closed == ids);
}

const test::TableTest<ClosingRow> registration("CallerMemoryChoice", kRows, &ClosesLargestHolders);

}  // namespace

}  // namespace damaskhollow
