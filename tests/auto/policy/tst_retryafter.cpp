#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "policy/retryafter.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

constexpr int kCallers = 1000;

struct OrderRow {
  std::string_view name;
  RefusedCall earlier;  // Its callers must all come back before those of `later`.
  RefusedCall later;
};

RefusedCall Call(std::size_t urgency, int wait_ms, int left_ms) {
  return {urgency, milliseconds(wait_ms), milliseconds(left_ms)};
}

const std::array order_rows{
    OrderRow{"urgent before less urgent", Call(0, 0, 2500), Call(1, 0, 3000)},
    OrderRow{"least urgent last", Call(1, 0, 3000), Call(2, 0, 5000)},
    OrderRow{"owners expect a long wait for the less urgent", Call(0, 150, 2500),
             Call(2, 2000, 5000)},
};

std::vector<milliseconds> Delays(const RefusedCall& call) {
  RandomSource random(11);
  std::vector<milliseconds> delays;
  delays.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    delays.push_back(SpreadRetryAfter(call, random));
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

// Guards against a flood of the least urgent calls whose callers, once refused, come back together
// with the urgent ones and take the room that has become free.
void TestOrder(const OrderRow& row) {
  const std::vector<milliseconds> earlier = Delays(row.earlier);
  const std::vector<milliseconds> later = Delays(row.later);
  CPPUNIT_ASSERT(earlier.back() <= later.front());
}

const test::TableTest<OrderRow> order_test("RetryAfterOrder", order_rows, TestOrder);

struct SpreadRow {
  std::string_view name;
  RefusedCall call;
};

const std::array spread_rows{
    SpreadRow{"urgent", Call(0, 0, 2500)},           SpreadRow{"least urgent", Call(2, 500, 5000)},
    SpreadRow{"near the deadline", Call(2, 0, 300)}, SpreadRow{"many groups", Call(30, 0, 60000)},
    SpreadRow{"deadline passed", Call(1, 0, -5)},
};

// Guards against callers that come back at one moment, and against a delay that callers do not
// honour because it is over a third of their time.
void TestSpread(const SpreadRow& row) {
  const std::vector<milliseconds> delays = Delays(row.call);
  const milliseconds honoured = std::max(
      std::chrono::duration_cast<milliseconds>(row.call.deadline_left) / 3, milliseconds(0));
  CPPUNIT_ASSERT(delays.front() >= milliseconds(0));
  CPPUNIT_ASSERT(delays.back() <= honoured);
  const milliseconds spread = delays.back() - delays.front();
  CPPUNIT_ASSERT(spread >= std::min(milliseconds(150), honoured / 3));
}

const test::TableTest<SpreadRow> spread_test("RetryAfterSpread", spread_rows, TestSpread);

}  // namespace

}  // namespace damaskhollow
