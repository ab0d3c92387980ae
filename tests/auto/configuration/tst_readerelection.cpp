#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "auto/fleet/testfleet.h"
#include "configuration/readerelection.h"

namespace damaskhollow {

class ReaderElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReaderElectionTest);
  CPPUNIT_TEST(ElectsTwoReadersPerDataCentre);
  CPPUNIT_TEST(LossOfReaderMovesOnlySuccessors);
  CPPUNIT_TEST(AllWatchWhenStoreRegionIsUnknown);
  CPPUNIT_TEST(SuccessorsRestAfterChange);
  CPPUNIT_TEST(PausesLeaveTimeForAChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a number of readers that grows with the fleet.
  void ElectsTwoReadersPerDataCentre() {
    for (const std::size_t size : {10U, 200U, 1200U}) {
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
      CPPUNIT_ASSERT_EQUAL(6, watchers_near);
      CPPUNIT_ASSERT_EQUAL(1, watchers_far);
      CPPUNIT_ASSERT_EQUAL(3, standbys);
    }
  }

  void LossOfReaderMovesOnlySuccessors() {
    std::vector<FleetNode> fleet = test::MakeFleet(200);
    const DataCentreId data_centre("near-2");
    const std::vector<BackendServerId> before = ReaderOrder(fleet, data_centre);
    std::erase_if(fleet, [&](const FleetNode& node) { return node.id == before.front(); });
    const std::vector<BackendServerId> after = ReaderOrder(fleet, data_centre);
    CPPUNIT_ASSERT(std::equal(before.begin() + 1, before.end(), after.begin(), after.end()));
  }

  void AllWatchWhenStoreRegionIsUnknown() {
    const std::vector<FleetNode> fleet = test::MakeFleet(200);
    const auto watchers = std::count_if(fleet.begin(), fleet.end(), [&](const FleetNode& node) {
      return ReaderAssignmentOf(fleet, node, RegionId()).role == ReaderRole::kWatcher;
    });
    CPPUNIT_ASSERT_EQUAL(10L, static_cast<long>(watchers));
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
