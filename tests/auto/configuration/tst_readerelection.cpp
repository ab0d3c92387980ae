#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "auto/fleet/testfleet.h"
#include "configuration/readerelection.h"

namespace damaskhollow {

class ReaderElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderElectionTest);
  CPPUNIT_TEST(ReadersDependOnNeitherNodesNorDataCentres);
  CPPUNIT_TEST(SpreadsReadersOverDataCentres);
  CPPUNIT_TEST(LossOfReaderMovesOnlySuccessors);
  CPPUNIT_TEST(AllWatchWhenStoreRegionIsUnknown);
  CPPUNIT_TEST(SuccessorsRestAfterChange);
  CPPUNIT_TEST(PausesLeaveTimeForAChange);
  CPPUNIT_TEST(NodesTurnedAwayGiveWay);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a number of readers that grows with the fleet.
  void ReadersDependOnNeitherNodesNorDataCentres() {
    for (const std::size_t size : {10U, 80U, 195U, 1200U}) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      int watchers_near = 0;
      int watchers_far = 0;
      int standbys = 0;
      for (const FleetNode& node : fleet) {
        const ReaderRole role = ReaderAssignmentOf(fleet, node, RegionId("near")).role;
        if (role == ReaderRole::kStandby) ++standbys;
        if (role != ReaderRole::kWatcher) continue;
        ++(node.region == RegionId("near") ? watchers_near : watchers_far);
      }
      CPPUNIT_ASSERT_EQUAL(3, watchers_near);
      CPPUNIT_ASSERT_EQUAL(1, watchers_far);
      CPPUNIT_ASSERT_EQUAL(1, standbys);
    }
  }

  // Guards against a region that loses all its readers with one data centre.
  void SpreadsReadersOverDataCentres() {
    const std::vector<FleetNode> fleet = test::MakeFleet(200);
    std::set<DataCentreId> data_centres;
    for (const BackendServerId& reader : RegionReaders(fleet, RegionId("near"), RegionId("near"))) {
      const auto node = std::find_if(fleet.begin(), fleet.end(),
                                     [&](const FleetNode& other) { return other.id == reader; });
      data_centres.insert(node->data_centre);
    }
    CPPUNIT_ASSERT_EQUAL(kReadersNearStore, data_centres.size());
  }

  // Guards against a new set of readers, each of which reads the service at its start, whenever one
  // is lost.
  void LossOfReaderMovesOnlySuccessors() {
    const RegionId region("near");
    std::vector<FleetNode> fleet = test::MakeFleet(200);
    const std::vector<BackendServerId> before = RegionReaders(fleet, region, region);
    std::erase_if(fleet, [&](const FleetNode& node) { return node.id == before.front(); });
    const std::vector<BackendServerId> after = RegionReaders(fleet, region, region);
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    const auto stayed = std::count_if(before.begin(), before.end(), [&](const auto& reader) {
      return std::find(after.begin(), after.end(), reader) != after.end();
    });
    CPPUNIT_ASSERT_EQUAL(static_cast<long>(before.size()) - 1, static_cast<long>(stayed));
  }

  void AllWatchWhenStoreRegionIsUnknown() {
    const std::vector<FleetNode> fleet = test::MakeFleet(200);
    const auto watchers = std::count_if(fleet.begin(), fleet.end(), [&](const FleetNode& node) {
      return ReaderAssignmentOf(fleet, node, RegionId()).role == ReaderRole::kWatcher;
    });
    CPPUNIT_ASSERT_EQUAL(6L, static_cast<long>(watchers));
  }

  // Guards against pauses longer than the time within which a configuration change must be active.
  // If the entries of all nodes have expired, each node depends on its own reads.
  void PausesLeaveTimeForAChange() {
    // The platform's bound, and the time for a read and gossip over two hops.
    constexpr std::chrono::milliseconds kConfigurationBound{2500};
    constexpr std::chrono::milliseconds kPropagationTime{1000};
    CPPUNIT_ASSERT(kUnlistedPause + kPropagationTime <= kConfigurationBound);
    CPPUNIT_ASSERT(kSuccessorPause + kPropagationTime <= kConfigurationBound);
  }

  // Guards against a fleet that learns of no change because the service turns away just its
  // readers.
  void NodesTurnedAwayGiveWay() {
    const RegionId region("near");
    const std::vector<FleetNode> fleet = test::MakeFleet(200);
    const std::vector<BackendServerId> order = ReaderOrder(fleet, region);
    for (std::size_t unable = 0; unable <= 2 * kReadersNearStore; ++unable) {
      const std::set<BackendServerId> turned_away(
          order.begin(), order.begin() + static_cast<std::ptrdiff_t>(unable));
      const auto is_unable = [&](const auto& node) { return turned_away.contains(node); };
      for (const BackendServerId& reader : RegionReaders(fleet, region, region, is_unable)) {
        CPPUNIT_ASSERT(!turned_away.contains(reader));
      }
    }
    // The service is down: the readers do not move through the whole fleet.
    CPPUNIT_ASSERT(RegionReaders(fleet, region, region, [](const auto&) { return true; }) ==
                   RegionReaders(fleet, region, region));
  }

  // Guards against all readers of a region reading each change of a series (for example during a
  // release, or while many servers warm up) without a pause.
  void SuccessorsRestAfterChange() {
    const std::vector<FleetNode> fleet = test::MakeFleet(200);
    const auto at_full_pace = std::count_if(fleet.begin(), fleet.end(), [&](const FleetNode& node) {
      const ReaderAssignment assignment = ReaderAssignmentOf(fleet, node, RegionId());
      return assignment.role == ReaderRole::kWatcher && assignment.pause.count() == 0;
    });
    CPPUNIT_ASSERT_EQUAL(2L, static_cast<long>(at_full_pace));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderElectionTest);

}  // namespace damaskhollow
