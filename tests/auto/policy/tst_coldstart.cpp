#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "policy/admissionqueue.h"
#include "policy/coldstartlimiter.h"
#include "policy/occupiedslots.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A cold instance of the served system tolerates 11 calls a second and, in any second, 8 more. Its
// users' rule allows 1.5 times the rate and 8 more.
constexpr ColdStartLimiter::Tolerance kTolerance{11.0, 8.0};
constexpr double kRuleExcess = 1.5;
constexpr milliseconds kStep{5};
const TimePoint start_time = TimePoint() + seconds(1000);

// How a server comes to be cold, and when its owner learns of it.
struct ColdRow {
  std::string_view name;
  milliseconds cold_from;   // From when on the server is cold; it stays so.
  milliseconds known_from;  // When the owner is told for the first time that it is cold.
  bool warm_before;         // Whether the owner was told before that the server is warm.
  milliseconds calls_from;  // From when on calls wait all the time.
};

const std::array cold_rows{
    ColdRow{"owner and server start together", milliseconds(0), milliseconds(0), false,
            milliseconds(0)},
    ColdRow{"owner restarts beside a cold server", milliseconds(0), milliseconds(200), false,
            milliseconds(0)},
    ColdRow{"server turns cold in a flood", milliseconds(2000), milliseconds(2250), true,
            milliseconds(0)},
    ColdRow{"flood begins on a cold server", milliseconds(0), milliseconds(100), false,
            milliseconds(3000)},
    ColdRow{"server restarted while there were no calls", milliseconds(1500), milliseconds(4000),
            true, milliseconds(3000)},
    ColdRow{"state never told", milliseconds(0), seconds(60), false, milliseconds(500)},
};

// Returns the most starts in any second of those from `from` on.
std::size_t MostInASecond(const std::vector<TimePoint>& starts, TimePoint from) {
  std::size_t most = 0;
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    if (*first < from) continue;
    const auto last = std::upper_bound(first, starts.end(), *first + seconds(1));
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

// Guards against a cold server that gets more calls in a second than it tolerates while calls wait
// all the time, as when a data centre comes back as a whole. The server here is sent 40 calls a
// second as long as it counts as warm.
void TestColdServer(const ColdRow& row) {
  ColdStartLimiter limiter;
  limiter.SetTolerance(kTolerance, start_time);
  std::vector<TimePoint> starts;
  milliseconds next_warm_start{0};
  for (milliseconds time{0}; time < seconds(8); time += kStep) {
    const TimePoint now = start_time + time;
    const bool has_calls = time >= row.calls_from;
    // A probe is sent only beside calls; its response tells the state.
    if (has_calls && time >= row.known_from) {
      limiter.RecordState(seconds(3), now);
    } else if (row.warm_before && time < row.cold_from && limiter.NeedsState(now)) {
      limiter.RecordState(Duration(0), now);
    }
    if (!has_calls) continue;
    const std::optional<StartLimit> limit = limiter.Limit(now);
    const bool may_start = limit ? limit->available >= 1.0 : time >= next_warm_start;
    if (!may_start) continue;
    if (!limit) next_warm_start = time + milliseconds(25);
    limiter.RecordStart(now);
    starts.push_back(now);
  }
  const double allowed = kTolerance.per_second * kRuleExcess + kTolerance.burst;
  const std::size_t most = MostInASecond(starts, start_time + row.cold_from);
  CPPUNIT_ASSERT(static_cast<double>(most) <= allowed);
  // What the server tolerates is not left unused.
  const auto in_last_seconds = std::count_if(starts.begin(), starts.end(), [](TimePoint start) {
    return start > start_time + seconds(6);
  });
  CPPUNIT_ASSERT(in_last_seconds >= 20);
}

const test::TableTest<ColdRow> cold_test("ColdServer", cold_rows, TestColdServer);

struct ColdAdmissionRow {
  std::string_view name;
  double available;  // Calls that may start at once.
  int queued;        // Calls offered before, of which those that may start do.
  int deadline_ms;   // Of the next call.
  bool is_refused;
};

const std::array cold_admission_rows{
    ColdAdmissionRow{"room for a burst", 8.0, 4, 300, false},
    ColdAdmissionRow{"starts within the deadline", 1.0, 3, 1000, false},
    ColdAdmissionRow{"cannot start within the deadline", 1.0, 8, 300, true},
    ColdAdmissionRow{"nothing left and no time", 0.0, 0, 50, true},
};

// Guards against calls that wait at a cold server until their deadline although other servers have
// room: what the bound lets start too late is refused at once.
void TestColdAdmission(const ColdAdmissionRow& row) {
  Priority priority;
  priority.id = PriorityId("normal");
  AdmissionLimits limits;
  limits.slots = 20;
  AdmissionQueue queue(limits, std::array{priority});
  queue.SetStartLimit(StartLimit{row.available, kTolerance.per_second});
  std::uint64_t id = 0;
  for (int call = 0; call < row.queued; ++call) {
    const AdmissionCall offered{.id = OwnedCallId{++id}, .deadline = start_time + seconds(10)};
    CPPUNIT_ASSERT(queue.Offer(offered, start_time).refusal == Reason::kNone);
    queue.PopDispatchable(start_time);
  }
  AdmissionCall call;
  call.id = OwnedCallId{++id};
  call.deadline = start_time + milliseconds(row.deadline_ms);
  CPPUNIT_ASSERT_EQUAL(row.is_refused, queue.WouldRefuse(call, start_time));
  const Reason expected = row.is_refused ? Reason::kQueueFullTime : Reason::kNone;
  CPPUNIT_ASSERT(queue.Offer(call, start_time).refusal == expected);
  const auto startable = static_cast<std::size_t>(std::min<double>(row.available, row.queued));
  CPPUNIT_ASSERT(queue.Load().in_flight == startable);
}

const test::TableTest<ColdAdmissionRow> cold_admission_test("ColdAdmission", cold_admission_rows,
                                                            TestColdAdmission);

struct Report {
  std::size_t reported;
  std::size_t own;
};

struct OccupiedRow {
  std::string_view name;
  std::vector<Report> reports;
  std::size_t occupied;
};

const std::array occupied_rows{
    OccupiedRow{"no report", {}, 0},
    OccupiedRow{"idle server", {{0, 0}}, 0},
    OccupiedRow{"requests of an earlier process", {{4, 0}}, 4},
    OccupiedRow{"they end while own calls run", {{4, 0}, {5, 3}}, 2},
    OccupiedRow{"all have ended", {{4, 0}, {3, 3}}, 0},
    OccupiedRow{"own calls that the count has left", {{1, 0}, {6, 3}}, 1},
    OccupiedRow{"report older than a call", {{2, 0}, {0, 1}}, 0},
};

// Guards against an owner that, after its restart, offers slots that are still taken to a server
// that never answers what it cannot queue.
void TestOccupiedSlots(const OccupiedRow& row) {
  OccupiedSlots slots;
  slots.Reset();
  CPPUNIT_ASSERT(slots.AwaitsReport(start_time));
  for (const Report& report : row.reports) slots.RecordReport(report.reported, report.own);
  CPPUNIT_ASSERT_EQUAL(row.occupied, slots.Count());
  CPPUNIT_ASSERT_EQUAL(row.reports.empty(), slots.AwaitsReport(start_time));
  CPPUNIT_ASSERT(!slots.AwaitsReport(start_time + seconds(1)));
}

const test::TableTest<OccupiedRow> occupied_test("OccupiedSlots", occupied_rows, TestOccupiedSlots);

}  // namespace

}  // namespace damaskhollow
