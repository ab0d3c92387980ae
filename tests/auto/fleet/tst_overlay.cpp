#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <bit>
#include <deque>
#include <string>

#include "auto/fleet/testfleet.h"
#include "fleet/overlay.h"

namespace damaskhollow {

namespace {

using Links = std::map<BackendServerId, Overlay::Neighbours>;

// Returns the number of hops from `from` to each node that is reachable without the nodes in
// `lost`.
std::map<BackendServerId, int> HopsFrom(const BackendServerId& from, const Links& links,
                                        const std::set<BackendServerId>& lost) {
  std::map<BackendServerId, int> hops{{from, 0}};
  std::deque<BackendServerId> next{from};
  while (!next.empty()) {
    const BackendServerId node = next.front();
    next.pop_front();
    for (const BackendServerId& neighbour : links.at(node)) {
      if (lost.contains(neighbour) || hops.contains(neighbour)) continue;
      hops[neighbour] = hops[node] + 1;
      next.push_back(neighbour);
    }
  }
  return hops;
}

std::set<BackendServerId> MembersOf(std::span<const FleetNode> fleet,
                                    const DataCentreId& data_centre) {
  std::set<BackendServerId> members;
  for (const FleetNode& node : fleet) {
    if (node.data_centre == data_centre) members.insert(node.id);
  }
  return members;
}

constexpr std::array<std::size_t, 4> kSizes{9, 20, 200, 1200};

}  // namespace

class OverlayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverlayTest);
  CPPUNIT_TEST(ReachesAllInFewHops);
  CPPUNIT_TEST(StaysConnectedWithoutOneDataCentre);
  CPPUNIT_TEST(StaysConnectedWithoutOneInTen);
  CPPUNIT_TEST(DegreeGrowsWithLogarithm);
  CPPUNIT_TEST(FewLinksCrossRegions);
  CPPUNIT_TEST(LossMovesFewLinks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReachesAllInFewHops() {
    for (const std::size_t size : kSizes) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      const Links links = Overlay::Build(fleet);
      int diameter = 0;
      for (std::size_t from = 0; from < fleet.size(); from += 1 + fleet.size() / 50) {
        const auto hops = HopsFrom(fleet[from].id, links, {});
        CPPUNIT_ASSERT_EQUAL(size, hops.size());
        for (const auto& [node, count] : hops) diameter = std::max(diameter, count);
      }
      // Two paths across a data centre, one hop to another data centre and one to another region.
      const int bound = 2 * static_cast<int>(std::bit_width(size / 5)) + 2;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + ": " + std::to_string(diameter),
                             diameter <= bound);
    }
  }

  // Guards against the loss of a data centre disconnecting the remaining ones.
  void StaysConnectedWithoutOneDataCentre() {
    for (const std::size_t size : kSizes) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      const Links links = Overlay::Build(fleet);
      for (std::size_t index = 0; index < 5; ++index) {
        const std::set<BackendServerId> lost = MembersOf(fleet, fleet[index].data_centre);
        const auto survivor = std::find_if(fleet.begin(), fleet.end(), [&](const FleetNode& node) {
          return !lost.contains(node.id);
        });
        CPPUNIT_ASSERT_EQUAL(size - lost.size(), HopsFrom(survivor->id, links, lost).size());
      }
    }
  }

  void StaysConnectedWithoutOneInTen() {
    for (const std::size_t size : {200U, 1200U}) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      const Links links = Overlay::Build(fleet);
      for (std::size_t offset = 1; offset < 10; offset += 2) {
        std::set<BackendServerId> lost;
        for (std::size_t index = offset; index < size; index += 10) lost.insert(fleet[index].id);
        CPPUNIT_ASSERT_EQUAL(size - lost.size(), HopsFrom(fleet[0].id, links, lost).size());
      }
    }
  }

  void DegreeGrowsWithLogarithm() {
    for (const std::size_t size : {200U, 1200U}) {
      const Links links = Overlay::Build(test::MakeFleet(size));
      for (const auto& [node, neighbours] : links) {
        // Two links for each power of two up to half the size of the data centre, plus the links to
        // other data centres.
        const std::size_t bound = 2 * std::bit_width(size / 5) + 4;
        CPPUNIT_ASSERT_MESSAGE(node.Value() + ": " + std::to_string(neighbours.size()),
                               neighbours.size() <= bound);
        CPPUNIT_ASSERT(neighbours.size() >= 3);
      }
    }
  }

  // Guards against gossip traffic on the paid link that grows with the size of the fleet.
  void FewLinksCrossRegions() {
    for (const std::size_t size : kSizes) {
      const std::vector<FleetNode> fleet = test::MakeFleet(size);
      std::map<BackendServerId, RegionId> regions;
      for (const FleetNode& node : fleet) regions[node.id] = node.region;
      std::size_t crossing = 0;
      for (const auto& [node, neighbours] : Overlay::Build(fleet)) {
        for (const BackendServerId& neighbour : neighbours) {
          if (regions.at(node) != regions.at(neighbour)) ++crossing;
        }
      }
      CPPUNIT_ASSERT(crossing / 2 >= 3);
      CPPUNIT_ASSERT(crossing / 2 <= 6);
    }
  }

  // Removing a node must not change most links of its region and of the other data centres.
  void LossMovesFewLinks() {
    std::vector<FleetNode> fleet = test::MakeFleet(1200);
    const Links before = Overlay::Build(fleet);
    const DataCentreId data_centre = fleet.front().data_centre;
    fleet.erase(fleet.begin());
    std::size_t moved = 0;
    for (const auto& [node, neighbours] : Overlay::Build(fleet)) {
      for (const BackendServerId& neighbour : neighbours) {
        if (!before.at(node).contains(neighbour)) ++moved;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved <= 300);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverlayTest);

}  // namespace damaskhollow
