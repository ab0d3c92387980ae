#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

#include "fleet/draintracker.h"
#include "fleet/gossipqueue.h"

namespace damaskhollow {

namespace {

using std::chrono::seconds;

TimePoint At(seconds since_start) { return TimePoint(seconds(1000)) + since_start; }

// The results of probes 1 s apart, preceded by a drain header if `header` is set, and whether the
// server then counts as leaving.
struct DrainCase {
  std::string_view name;
  bool header;
  std::vector<ProbeResult> probes;
  bool leaving;
};

const std::vector<ProbeResult>& ThirtyOneHealthyProbes() {
  static const std::vector<ProbeResult> probes(31, ProbeResult::kHealthy);
  return probes;
}

std::vector<DrainCase> DrainCases() {
  constexpr auto kHealthy = ProbeResult::kHealthy;
  constexpr auto kLeaving = ProbeResult::kLeaving;
  constexpr auto kRefused = ProbeResult::kRefused;
  constexpr auto kNoResponse = ProbeResult::kNoResponse;
  return {
      {"healthy", false, {kHealthy, kHealthy}, false},
      {"down without a drain", false, {kRefused, kNoResponse}, false},
      {"drain status", false, {kLeaving}, true},
      {"lagging health after the header", true, {kHealthy, kHealthy, kHealthy}, true},
      {"down, not yet back", true, {kRefused}, true},
      {"restarted", true, {kHealthy, kRefused, kHealthy}, false},
      {"silent, then healthy", true, {kNoResponse, kHealthy}, true},
      {"restarted and drains again", false, {kLeaving, kRefused, kHealthy, kLeaving}, true},
      {"healthy for 30 s", true, ThirtyOneHealthyProbes(), false},
  };
}

}  // namespace

class DrainTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTrackerTest);
  CPPUNIT_TEST(TakesServerBackAfterProofOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against new work for a leaving server whose health path lags behind, and against a
  // restarted server that gets no work.
  void TakesServerBackAfterProofOnly() {
    for (const DrainCase& row : DrainCases()) {
      DrainTracker tracker;
      if (row.header) tracker.OnDrainHeader(true, At(seconds(0)));
      seconds time{0};
      for (const ProbeResult probe : row.probes) tracker.OnProbe(probe, At(time += seconds(1)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(row.name), row.leaving, tracker.IsLeaving());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTrackerTest);

class GossipBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipBookTest);
  CPPUNIT_TEST(OwesNewsToAllButItsSource);
  CPPUNIT_TEST(RestartedLinkIsToldAgain);
  CPPUNIT_TEST(BudgetBoundsBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwesNewsToAllButItsSource() {
    const BackendServerId first("a");
    const BackendServerId second("b");
    const BackendServerId server("s");
    GossipQueue queue;
    queue.SetNeighbours({first, second}, {});
    queue.Enqueue(server, first);
    CPPUNIT_ASSERT(!queue.HasPending(first));
    CPPUNIT_ASSERT(queue.HasPending(second));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.Pop(second, 50).size());
    CPPUNIT_ASSERT(!queue.HasPending(second));
  }

  // Guards against a drain that is never sent to a neighbour because the link to it broke.
  void RestartedLinkIsToldAgain() {
    const BackendServerId neighbour("a");
    const std::array<BackendServerId, 1> draining{BackendServerId("s")};
    GossipQueue queue;
    queue.SetNeighbours({neighbour}, {});
    CPPUNIT_ASSERT(!queue.HasPending(neighbour));
    queue.Reset(neighbour, draining);
    CPPUNIT_ASSERT(queue.HasPending(neighbour));
  }

  void BudgetBoundsBytes() {
    ByteBudget budget;
    budget.SetRate(1000);
    std::size_t sum = 0;
    for (int step = 0; step < 1000; ++step) {
      if (budget.TryConsume(100, At(seconds(0)) + std::chrono::milliseconds(10 * step))) sum += 100;
    }
    // The rate over 10 s, a burst of one second's worth and one message in excess of the budget.
    CPPUNIT_ASSERT(sum <= 11100);
    CPPUNIT_ASSERT(sum >= 9000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipBookTest);

}  // namespace damaskhollow
