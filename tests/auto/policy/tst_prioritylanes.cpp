#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "policy/admissionqueue.h"
#include "policy/prioritylanes.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};

// Returns the priorities of groups with these numbers of members, most urgent first.
std::vector<Priority> PrioritiesOf(const std::vector<std::size_t>& group_sizes) {
  std::vector<Priority> priorities;
  for (std::size_t group = 0; group < group_sizes.size(); ++group) {
    for (std::size_t member = 0; member < group_sizes[group]; ++member) {
      Priority priority;
      priority.id = PriorityId(std::to_string(group) + "/" + std::to_string(member));
      priority.rank = priorities.size();
      priority.group = group;
      priority.target = std::chrono::seconds(60);
      priorities.push_back(priority);
    }
  }
  return priorities;
}

struct LaneRow {
  std::string_view name;
  std::vector<std::size_t> group_sizes;
  std::size_t max_lanes;
  std::vector<std::size_t> lanes;
};

const std::array lane_rows{
    LaneRow{"none", {}, 4, {}},
    LaneRow{"as many as lanes", {1, 2, 1}, 4, {0, 1, 2, 3}},
    LaneRow{"members of the larger group share", {1, 4}, 4, {0, 1, 2, 3, 3}},
    LaneRow{"two large groups share alike", {3, 3}, 4, {0, 1, 1, 2, 3, 3}},
    LaneRow{"as many groups as lanes", {2, 2, 1, 1}, 4, {0, 0, 1, 1, 2, 3}},
    LaneRow{"the least urgent groups share first", {1, 1, 1, 1, 1}, 4, {0, 1, 2, 3, 3}},
    LaneRow{"groups share evenly", {1, 1, 1, 1, 1, 1, 1, 1}, 4, {0, 0, 1, 1, 2, 2, 3, 3}},
    LaneRow{"members stay with their group", {1, 2, 1, 1, 1}, 4, {0, 1, 1, 2, 3, 3}},
    LaneRow{"one lane", {2, 1, 3}, 1, {0, 0, 0, 0, 0, 0}},
};

// Guards against less urgent priorities that get ahead of more urgent ones, and against priorities
// that share a lane although others could.
void TestLanes(const LaneRow& row) {
  CPPUNIT_ASSERT(row.lanes == AssignLanes(PrioritiesOf(row.group_sizes), row.max_lanes));
}

const test::TableTest<LaneRow> lane_test("PriorityLanes", lane_rows, TestLanes);

struct CountRow {
  std::string_view name;
  std::size_t groups;
  std::size_t members;
};

const std::array count_rows{
    CountRow{"32 groups", 32, 1},        CountRow{"33 groups", 33, 1},
    CountRow{"10 groups of 10", 10, 10}, CountRow{"1 group of 1000", 1, 1000},
    CountRow{"6500 groups", 6500, 1},    CountRow{"500 groups of 5", 500, 5}};

// Guards against an admission queue that loses the order of priorities when there are more than it
// can hold apart: calls that wait together are dispatched by lane, the most urgent first.
void TestDispatchOrder(const CountRow& row) {
  const std::vector<Priority> priorities =
      PrioritiesOf(std::vector<std::size_t>(row.groups, row.members));
  const std::vector<std::size_t> lanes = AssignLanes(priorities);
  CPPUNIT_ASSERT(std::is_sorted(lanes.begin(), lanes.end()));
  CPPUNIT_ASSERT_EQUAL(std::min(priorities.size(), kMaxLanes), lanes.back() + 1);
  AdmissionLimits limits;
  limits.queue_count = priorities.size() + 1;
  AdmissionQueue queue(limits, priorities);
  const TimePoint deadline = kStart + std::chrono::hours(1);
  std::uint64_t next_id = 1;
  CPPUNIT_ASSERT(queue.Offer({OwnedCallId{next_id++}, 0, deadline}, kStart).refusal ==
                 Reason::kNone);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.PopDispatchable(kStart).size());
  std::map<OwnedCallId, std::size_t> lane_of_call;
  for (std::size_t index = priorities.size(); index-- > 0;) {
    const OwnedCallId id{next_id++};
    lane_of_call[id] = lanes[index];
    CPPUNIT_ASSERT_EQUAL(index, queue.PriorityIndexOf(priorities[index].id));
    CPPUNIT_ASSERT(queue.Offer({id, index, deadline}, kStart).refusal == Reason::kNone);
  }
  OwnedCallId running{1};
  std::size_t last_lane = 0;
  for (std::size_t count = 0; count < priorities.size(); ++count) {
    queue.OnCallFinished(running, SlotResult::kCompleted, kStart);
    const std::vector<OwnedCallId> dispatched = queue.PopDispatchable(kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatched.size());
    running = dispatched.front();
    CPPUNIT_ASSERT(lane_of_call[running] >= last_lane);
    last_lane = lane_of_call[running];
  }
}

const test::TableTest<CountRow> order_test("SharedLanes", count_rows, TestDispatchOrder);

struct ChangeRow {
  std::string_view name;
  std::vector<std::size_t> before;
  std::vector<std::size_t> after;
};

const std::array change_rows{
    ChangeRow{"fewer priorities", std::vector<std::size_t>(100, 1), {1, 1, 1}},
    ChangeRow{"more priorities", {1, 1, 1}, std::vector<std::size_t>(100, 1)},
    ChangeRow{"groups come apart", {40, 40}, {10, 10}},
};

// Guards against queued calls that a change of the priorities puts under another priority than
// their own, or that are lost with their lane.
void TestChangedPriorities(const ChangeRow& row) {
  const std::vector<Priority> before = PrioritiesOf(row.before);
  const std::vector<Priority> after = PrioritiesOf(row.after);
  AdmissionQueue queue(AdmissionLimits{}, before);
  const TimePoint deadline = kStart + std::chrono::hours(1);
  queue.Offer({OwnedCallId{1}, 0, deadline}, kStart);
  queue.PopDispatchable(kStart);
  for (std::size_t index = 0; index < before.size(); ++index) {
    queue.Offer({OwnedCallId{index + 2}, index, deadline}, kStart);
  }
  queue.Reconfigure(AdmissionLimits{}, after);
  CPPUNIT_ASSERT_EQUAL(before.size(), queue.Load().queued);
  const std::vector<std::size_t> lanes = AssignLanes(after);
  std::size_t last_lane = 0;
  OwnedCallId running{1};
  for (std::size_t count = 0; count < before.size(); ++count) {
    queue.OnCallFinished(running, SlotResult::kCompleted, kStart);
    running = queue.PopDispatchable(kStart).at(0);
    const std::size_t lane = lanes[queue.PriorityIndexOf(before[running.value - 2].id)];
    CPPUNIT_ASSERT(lane >= last_lane);
    last_lane = lane;
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.Load().queued);
}

const test::TableTest<ChangeRow> change_test("ChangedLanes", change_rows, TestChangedPriorities);

}  // namespace

}  // namespace damaskhollow
