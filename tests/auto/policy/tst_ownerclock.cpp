#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <string_view>
#include <vector>

#include "policy/ownerclock.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

constexpr Incarnation kOwner{7};
constexpr TimePoint kStart{std::chrono::seconds(1000)};
// The owner's clock is this far behind the one of the ingress.
constexpr Duration kBehind = std::chrono::seconds(400);
constexpr milliseconds kRemaining{2500};

// A state report of the owner, in milliseconds after kStart.
struct Report {
  milliseconds sent;
  milliseconds received;
};

struct ClockRow {
  std::string_view name;
  std::vector<Report> reports;
  milliseconds stamped;  // When the call is sent, after kStart.
  milliseconds early;    // How much earlier than intended the call expires.
};

const std::array clock_rows{
    ClockRow{"at once", {{milliseconds(0), milliseconds(0)}}, milliseconds(100), milliseconds(0)},
    ClockRow{"delayed only",
             {{milliseconds(0), milliseconds(700)}},
             milliseconds(800),
             milliseconds(700)},
    ClockRow{"delayed after one at once",
             {{milliseconds(0), milliseconds(1)}, {milliseconds(500), milliseconds(1200)}},
             milliseconds(1300),
             milliseconds(1)},
    ClockRow{"delayed ones, each more than the last",
             {{milliseconds(0), milliseconds(1)},
              {milliseconds(500), milliseconds(900)},
              {milliseconds(1000), milliseconds(2000)}},
             milliseconds(2100),
             milliseconds(1)},
    ClockRow{"at once after a delayed one",
             {{milliseconds(0), milliseconds(700)}, {milliseconds(800), milliseconds(802)}},
             milliseconds(900),
             milliseconds(2)},
    ClockRow{"overtaken by a later one",
             {{milliseconds(500), milliseconds(501)}, {milliseconds(400), milliseconds(600)}},
             milliseconds(700),
             milliseconds(1)},
    // The clocks may have moved apart meanwhile, as when a machine was suspended.
    ClockRow{"delayed, long after one at once",
             {{milliseconds(0), milliseconds(1)}, {milliseconds(5000), milliseconds(5600)}},
             milliseconds(5700),
             milliseconds(600)},
};

// Guards against an owner that ends a call before its deadline, because its last state report to
// the ingress was delayed.
void TestExpiry(const ClockRow& row) {
  OwnerClocks clocks;
  const BackendServerId owner("10.0.0.1");
  for (const Report& report : row.reports) {
    clocks.RecordReading(owner, kOwner, ToClockMicroseconds(kStart - kBehind + report.sent),
                         kStart + report.received);
  }
  const auto stamp = clocks.Stamp(owner, kRemaining, kStart + row.stamped);
  CPPUNIT_ASSERT(stamp);
  const std::uint64_t intended =
      ToClockMicroseconds(kStart - kBehind + row.stamped + kRemaining - row.early);
  CPPUNIT_ASSERT_EQUAL(intended, stamp->expires_at_us);
}

const test::TableTest<ClockRow> clock_test("OwnerClock", clock_rows, TestExpiry);

}  // namespace

}  // namespace damaskhollow
