#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auto/fleet/testfleet.h"
#include "configuration/fetchplan.h"
#include "configuration/watchschedule.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kResponseTime{10};
// The platform's `stability` of 4 s, less 1 s for the way from a reader to the last node.
constexpr milliseconds kMaxDeafness{3000};

TimePoint At(milliseconds time) { return TimePoint(std::chrono::seconds(1000)) + time; }

// What a store in trouble does with a call.
enum class Trouble { kNoResponse, kRefusal };

struct Outage {
  Trouble trouble = Trouble::kNoResponse;
  milliseconds from{};
  milliseconds to{};

  bool Contains(milliseconds time) const { return time >= from && time < to; }
};

// One reader of a region: its real plan and schedule against a simulated store.
class SimulatedReader {
 public:
  SimulatedReader(const FleetNode& node, const ReaderAssignment& assignment, std::uint64_t seed)
      : m_plan(node), m_random(seed) {
    m_plan.SetAssignment(assignment, At(milliseconds(0)));
  }

  // Simulates the time until `now`. `has_change` states that the store has changed at this moment.
  void Step(milliseconds now, const Outage& outage, bool has_change) {
    if (m_call) Advance(now, outage, has_change);
    if (const auto read = m_plan.StoreReadDue(At(now))) {
      m_plan.OnStoreReadStarted(At(now), read->wait);
      m_schedule.Start(*read, At(now));
      m_is_reading = true;
    }
    if (m_is_reading && !m_call && At(now) >= m_schedule.NextStart()) {
      m_call = Call{now, m_schedule.WaitAt(At(now)), outage.Contains(now)};
    }
  }

  // Whether a call runs that began at `time` or later. The store answers it when it has news.
  bool HasCallSince(milliseconds time) const { return m_call && m_call->start >= time; }

 private:
  struct Call {
    milliseconds start{};
    milliseconds wait{};
    bool is_in_trouble = false;
  };

  void Advance(milliseconds now, const Outage& outage, bool has_change) {
    m_call->is_in_trouble = m_call->is_in_trouble || outage.Contains(now);
    if (m_call->is_in_trouble) {
      const bool is_refused =
          outage.trouble == Trouble::kRefusal && now >= m_call->start + kResponseTime;
      if (!is_refused && now < m_call->start + m_call->wait + kStoreResponseTimeout) return;
      m_call.reset();
      m_is_reading = false;
      m_schedule.OnFailure();
      return m_plan.OnStoreReadFailed(m_random, At(now));
    }
    const bool is_answered = has_change || now >= m_call->start + m_call->wait + kResponseTime;
    if (!is_answered) return;
    m_call.reset();
    m_schedule.OnResponse(has_change, At(now));
    if (!has_change && !m_schedule.IsOver(At(now))) return;
    m_is_reading = false;
    if (has_change) return m_plan.OnStoreReadChanged(At(now));
    m_plan.OnStoreReadUnchanged(At(now));
  }

  FetchPlan m_plan;
  WatchSchedule m_schedule;
  RandomSource m_random;
  std::optional<Call> m_call;
  bool m_is_reading = false;
};

struct OutageRow {
  std::string_view name;
  Trouble trouble;
  milliseconds length;
  std::optional<std::size_t> lost_reader;
};

const std::array rows{
    OutageRow{"no response for 0.5 s", Trouble::kNoResponse, milliseconds(500), {}},
    OutageRow{"no response for 1 s", Trouble::kNoResponse, milliseconds(1000), {}},
    OutageRow{"no response for 3 s", Trouble::kNoResponse, milliseconds(3000), {}},
    OutageRow{"no response for 8 s", Trouble::kNoResponse, milliseconds(8000), {}},
    OutageRow{"no response for 20 s", Trouble::kNoResponse, milliseconds(20000), {}},
    OutageRow{"no response for 0.5 s, first reader lost", Trouble::kNoResponse, milliseconds(500),
              0},
    OutageRow{"no response for 0.5 s, second reader lost", Trouble::kNoResponse, milliseconds(500),
              1},
    OutageRow{"no response for 3 s, first reader lost", Trouble::kNoResponse, milliseconds(3000),
              0},
    OutageRow{"no response for 3 s, second reader lost", Trouble::kNoResponse, milliseconds(3000),
              1},
    OutageRow{"refusals for 0.5 s", Trouble::kRefusal, milliseconds(500), {}},
    OutageRow{"refusals for 3 s", Trouble::kRefusal, milliseconds(3000), {}},
    OutageRow{"refusals for 20 s", Trouble::kRefusal, milliseconds(20000), {}},
    OutageRow{"refusals for 20 s, first reader lost", Trouble::kRefusal, milliseconds(20000), 0},
};

std::vector<SimulatedReader> MakeReaders(std::optional<std::size_t> lost, std::uint64_t seed) {
  const std::vector<FleetNode> fleet = test::MakeFleet(16);
  const RegionId region("near");
  const std::vector<BackendServerId> ids = RegionReaders(fleet, region, region);
  std::vector<SimulatedReader> readers;
  for (std::size_t index = 0; index < ids.size(); ++index) {
    if (lost == index) continue;
    const auto node = std::find_if(fleet.begin(), fleet.end(),
                                   [&](const FleetNode& other) { return other.id == ids[index]; });
    readers.emplace_back(*node, ReaderAssignmentOf(fleet, *node, region), seed + index);
  }
  return readers;
}

// Runs the readers through a change and an outage, and returns how long after the outage a reader
// begins a call.
milliseconds DeafnessAfter(const Outage& outage, milliseconds change,
                           std::optional<std::size_t> lost) {
  std::vector<SimulatedReader> readers =
      MakeReaders(lost, static_cast<std::uint64_t>(outage.from.count()));
  const milliseconds end = outage.to + milliseconds(15000);
  for (milliseconds now{0}; now < end; now += kStep) {
    for (SimulatedReader& reader : readers) reader.Step(now, outage, now == change);
    for (const SimulatedReader& reader : readers) {
      if (reader.HasCallSince(outage.to)) return now - outage.to;
    }
  }
  return end - outage.to;
}

// Guards against readers that all wait, after the return of a store that did not answer, for
// responses that never come: a change made meanwhile would bind no node in time.
void TestOutage(const OutageRow& row) {
  constexpr milliseconds kChange{5000};
  for (milliseconds begin = kChange; begin < kChange + milliseconds(4000);
       begin += milliseconds(50)) {
    const milliseconds deafness =
        DeafnessAfter({row.trouble, begin, begin + row.length}, kChange, row.lost_reader);
    CPPUNIT_ASSERT_MESSAGE("outage begins " + std::to_string((begin - kChange).count()) +
                               " ms after a change; no reader answered for " +
                               std::to_string(deafness.count()) + " ms",
                           deafness <= kMaxDeafness);
  }
}

const test::TableTest<OutageRow> registration("SilentStore", rows, TestOutage);

}  // namespace

}  // namespace damaskhollow
