#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string_view>

#include "auto/policy/ownersimulation.h"
#include "policy/serverpacer.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::LoadModel;
using test::OwnerPolicy;
using test::ServerModel;

// Page views of 160 ms with a target of 600 ms and a deadline of 1,200 ms.
LoadModel PageViews(double per_second) {
  return {0, per_second, milliseconds(160), milliseconds(600), milliseconds(1200)};
}

// A load under which one pacing decision must raise the number of calls answered in time.
struct LoadRow {
  std::string_view name;
  ServerModel server;
  double per_second;
  OwnerPolicy without;
  OwnerPolicy with;
  double min_gain;  // Required ratio of calls in time, with the decision to without.
};

// The required gains are a fifth of what the models allow: a full server has only 9 / 7 / 1.7 of
// the throughput of one with 7 of 9 slots in use, and calls that start in a burst, which is a
// quarter of the time, take four times as long.
const std::array load_rows{
    // Pattern: overload of a server that slows down when it is nearly full.
    LoadRow{"flood on a server with a knee", ServerModel{9, 1.7, 1.0, 0.0}, 48.0,
            OwnerPolicy{false, false, true}, OwnerPolicy{true, false, true}, 1.05},
    // Pattern: bursts of other VMs on the host; a call that starts in a burst is slow to its end.
    LoadRow{"bursts of neighbours", ServerModel{9, 1.0, 4.0, 0.25}, 20.0,
            OwnerPolicy{false, false, true}, OwnerPolicy{false, true, true}, 1.05},
    // Pattern: a flood in which each call would be answered shortly after its target.
    LoadRow{"flood that makes all calls late", ServerModel{9, 1.0, 1.0, 0.0}, 75.0,
            OwnerPolicy{false, false, false}, OwnerPolicy{false, false, true}, 1.2},
};

void TestLoad(const LoadRow& row) {
  constexpr std::uint64_t kSeeds = 5;
  double with = 0.0;
  double without = 0.0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::vector<LoadModel> loads{PageViews(row.per_second)};
    with += static_cast<double>(
        test::SimulateOwner(row.server, loads, row.with, seconds(30), seed)[0].in_time);
    without += static_cast<double>(
        test::SimulateOwner(row.server, loads, row.without, seconds(30), seed)[0].in_time);
  }
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(with) + " in time with the decision, " + std::to_string(without) + " without",
      with >= without * row.min_gain);
}

const test::TableTest<LoadRow> load_test("ServerPacerLoad", load_rows, TestLoad);

}  // namespace

class ServerPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerPacerTest);
  CPPUNIT_TEST(FillsAServerWithoutKnee);
  CPPUNIT_TEST(LastingSlownessIsNotWaitedFor);
  CPPUNIT_TEST(ShortCallsAreNotHeld);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against slots left free permanently on servers that do not slow down when nearly full.
  void FillsAServerWithoutKnee() {
    ServerPacer pacer;
    const PriorityId priority("normal");
    for (int call = 0; call < 200; ++call) {
      pacer.RecordCompletion(priority, milliseconds(100), ServerCondition{1.0, 3, 9});
      pacer.RecordCompletion(priority, milliseconds(100), ServerCondition{1.0, 9, 9});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, pacer.MaxInFlight(9));
  }

  // Guards against a permanently slow server that receives no calls.
  void LastingSlownessIsNotWaitedFor() {
    ServerPacer pacer;
    const PriorityId priority("normal");
    const TimePoint start{seconds(100)};
    pacer.RecordCompletion(priority, milliseconds(200), ServerCondition{1.0, 1, 9});
    pacer.RecordSlowness(5.0, start);
    CPPUNIT_ASSERT(pacer.IsHeld(priority, start));
    pacer.RecordSlowness(5.0, start + milliseconds(300));
    CPPUNIT_ASSERT(pacer.IsHeld(priority, start + milliseconds(300)));
    CPPUNIT_ASSERT(!pacer.IsHeld(priority, start + milliseconds(400)));
  }

  void ShortCallsAreNotHeld() {
    ServerPacer pacer;
    const PriorityId priority("short");
    const TimePoint start{seconds(100)};
    pacer.RecordCompletion(priority, milliseconds(20), ServerCondition{1.0, 1, 9});
    pacer.RecordSlowness(4.0, start);
    CPPUNIT_ASSERT(!pacer.IsHeld(priority, start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPacerTest);

}  // namespace damaskhollow
