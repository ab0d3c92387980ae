#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

#include "auto/fleet/testfleet.h"
#include "configuration/fetchplan.h"
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
  CPPUNIT_TEST(UnlistedNodeFetchesWhatPeersOfItsRegionHold);
  CPPUNIT_TEST(FailingReaderGivesWayAndComesBack);
  CPPUNIT_TEST(FailuresBeforeTheRestEndedDoNotCount);
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

  // Guards against a node that goes on with old rules while its backend server leaves: it asked
  // peers of both regions alike, but may fetch only from its own one, and never read the service.
  void UnlistedNodeFetchesWhatPeersOfItsRegionHold() {
    const std::vector<FleetNode> fleet = test::MakeFleet(20);
    const FleetNode leaving{BackendServerId("leaving"), near_region, DataCentreId("near-1")};
    ReaderDuty duty(leaving, near_region, true);
    for (const BackendServerId& peer : duty.PeersToAsk(fleet)) {
      const auto node = std::find_if(fleet.begin(), fleet.end(),
                                     [&](const FleetNode& other) { return other.id == peer; });
      CPPUNIT_ASSERT(node->region == near_region);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, duty.PeersToAsk(fleet).size());
    // Of peers in the other region only, all are asked.
    std::vector<FleetNode> far = fleet;
    std::erase_if(far, [](const FleetNode& node) { return node.region == near_region; });
    CPPUNIT_ASSERT_EQUAL(far.size(), duty.PeersToAsk(far).size());

    // What a far peer has reported is read from the service within the bound of the platform, even
    // if no peer of the region has it.
    const auto is_linked = [](const auto&) { return true; };
    FetchPlan plan(leaving);
    plan.RecordHeld(1);
    plan.SetAssignment(duty.Assign(ReaderSurroundings{fleet, nullptr, is_linked}, At(seconds(2))),
                       At(seconds(2)));
    plan.RecordPeerVersion(far.front(), 2, At(seconds(3)));
    CPPUNIT_ASSERT(!plan.StoreReadDue(At(seconds(3))));
    CPPUNIT_ASSERT(plan.StoreReadDue(At(seconds(3) + milliseconds(1500))));
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

  // Guards against a reader that gives way again as soon as its rest is over, although its watch
  // waits in good order and no read has failed since.
  void FailuresBeforeTheRestEndedDoNotCount() {
    struct Row {
      unsigned failed_reads;
      bool gives_way;
    };
    const std::array<std::vector<Row>, 3> sequences{
        std::vector<Row>{{3, false}, {4, false}, {5, true}},
        std::vector<Row>{{3, false}, {0, false}, {1, false}, {2, true}},
        std::vector<Row>{{3, false}, {1, false}, {2, false}, {3, true}}};
    const std::vector<FleetNode> fleet = test::MakeFleet(20);
    for (const std::vector<Row>& rows : sequences) {
      ReaderDuty duty(fleet.front(), near_region, true);
      duty.Assign(ReaderSurroundings{fleet, nullptr, [](const auto&) { return true; }},
                  At(seconds(1)));
      CPPUNIT_ASSERT(duty.UpdateFailures(2, At(seconds(2))));
      milliseconds time = seconds(2) + kReaderRest;
      CPPUNIT_ASSERT(duty.UpdateFailures(3, At(time)));
      for (const Row& row : rows) {
        time += milliseconds(20);
        CPPUNIT_ASSERT_EQUAL(row.gives_way, duty.UpdateFailures(row.failed_reads, At(time)));
        CPPUNIT_ASSERT_EQUAL(row.gives_way, duty.IsUnable());
      }
    }
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
