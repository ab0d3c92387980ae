#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

#include "auto/fleet/testfleet.h"
#include "configuration/readerduty.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionId near_region("near");

TimePoint At(milliseconds since_start) { return TimePoint(seconds(1000)) + since_start; }

bool Contains(const std::vector<BackendServerId>& nodes, const BackendServerId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

class ReaderDutyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderDutyTest);
  CPPUNIT_TEST(StartingFleetLeavesTheWatchToItsReaders);
  CPPUNIT_TEST(UnlistedNodeWatchesOnlyWithoutALinkToAReader);
  CPPUNIT_TEST(FailingReaderGivesWayAndComesBack);
  CPPUNIT_TEST(NodeThatIsNotListedDoesNotGiveWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Pattern: all nodes of a fleet start at once, and a list names a part of them. Each change of
  // the list ended a watch of each node that it did not name.
  void StartingFleetLeavesTheWatchToItsReaders() {
    for (const std::size_t size : {10U, 80U, 195U}) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      const std::vector<FleetNode> listed(fleet.begin(), fleet.begin() + 5);
      std::size_t watchers = 0;
      for (const FleetNode& node : fleet) {
        ReaderDuty duty(node, near_region, true);
        duty.Start(At(milliseconds(0)));
        const ReaderSurroundings surroundings{listed, nullptr, [](const auto&) { return true; }};
        const ReaderAssignment assignment = duty.Assign(surroundings, At(seconds(2)));
        watchers += assignment.role == ReaderRole::kWatcher ? 1 : 0;
      }
      CPPUNIT_ASSERT(watchers <= kReadersNearStore + 1);
    }
  }

  // Guards against a node that learns of no change, because no list has it and no reader is linked.
  void UnlistedNodeWatchesOnlyWithoutALinkToAReader() {
    const std::vector<FleetNode> fleet = test::MakeFleet(20);
    const FleetNode unlisted{BackendServerId("new"), near_region, DataCentreId("near-1")};
    const std::vector<BackendServerId> readers = RegionReaders(fleet, near_region, near_region);
    struct Row {
      milliseconds uptime;
      bool is_reader_linked;
      bool is_other_linked;
      ReaderRole role;
    };
    constexpr std::array kRows{
        Row{milliseconds(0), false, false, ReaderRole::kFollower},  // Links are coming up.
        Row{milliseconds(1500), true, true, ReaderRole::kFollower},
        Row{milliseconds(1500), false, true, ReaderRole::kWatcher},
        Row{milliseconds(1500), false, false, ReaderRole::kWatcher}};
    for (const Row& row : kRows) {
      ReaderDuty duty(unlisted, near_region, true);
      duty.Start(At(milliseconds(0)));
      const auto is_linked = [&](const BackendServerId& node) {
        return Contains(readers, node) ? row.is_reader_linked : row.is_other_linked;
      };
      const ReaderAssignment assignment =
          duty.Assign(ReaderSurroundings{fleet, nullptr, is_linked}, At(row.uptime));
      CPPUNIT_ASSERT(assignment.role == row.role);
      CPPUNIT_ASSERT(duty.HasToAskPeers());
    }
  }

  // Guards against a fleet whose readers are turned away by the service while others are not.
  void FailingReaderGivesWayAndComesBack() {
    const std::vector<FleetNode> fleet = test::MakeFleet(20);
    const std::vector<BackendServerId> order = ReaderOrder(fleet, near_region);
    const auto self = std::find_if(fleet.begin(), fleet.end(),
                                   [&](const FleetNode& node) { return node.id == order.front(); });
    ReaderDuty duty(*self, near_region, true);
    const ReaderSurroundings surroundings{
        fleet, [&](const auto& node) { return node == self->id && duty.IsUnable(); },
        [](const auto&) { return true; }};
    CPPUNIT_ASSERT(duty.Assign(surroundings, At(seconds(0))).role == ReaderRole::kWatcher);
    CPPUNIT_ASSERT(!duty.UpdateFailures(1, At(seconds(1))));
    CPPUNIT_ASSERT(duty.UpdateFailures(2, At(seconds(2))));
    CPPUNIT_ASSERT(duty.Assign(surroundings, At(seconds(2))).role == ReaderRole::kFollower);
    CPPUNIT_ASSERT(!duty.UpdateFailures(0, At(seconds(2) + kReaderRest - milliseconds(1))));
    CPPUNIT_ASSERT(duty.UpdateFailures(0, At(seconds(2) + kReaderRest)));
    CPPUNIT_ASSERT(duty.Assign(surroundings, At(seconds(13))).role == ReaderRole::kWatcher);
  }

  void NodeThatIsNotListedDoesNotGiveWay() {
    const std::vector<FleetNode> fleet = test::MakeFleet(20);
    const FleetNode unlisted{BackendServerId("new"), near_region, DataCentreId("near-1")};
    ReaderDuty duty(unlisted, near_region, true);
    duty.Assign(ReaderSurroundings{fleet, nullptr, [](const auto&) { return false; }},
                At(seconds(2)));
    CPPUNIT_ASSERT(!duty.UpdateFailures(5, At(seconds(3))));
    CPPUNIT_ASSERT(!duty.IsUnable());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderDutyTest);

}  // namespace damaskhollow
