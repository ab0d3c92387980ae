#ifndef DAMASKHOLLOW_TESTS_AUTO_FLEET_TESTFLEET_H_
#define DAMASKHOLLOW_TESTS_AUTO_FLEET_TESTFLEET_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "fleet/fleetnode.h"

namespace damaskhollow::test {

// Returns `count` nodes spread evenly over five data centres: three in region "near" and two in
// region "far".
inline std::vector<FleetNode> MakeFleet(std::size_t count) {
  static constexpr std::array<const char*, 5> kDataCentres{"near-1", "near-2", "near-3", "far-1",
                                                           "far-2"};
  std::vector<FleetNode> nodes;
  for (std::size_t index = 0; index < count; ++index) {
    const std::string data_centre = kDataCentres[index % kDataCentres.size()];
    nodes.push_back({BackendServerId("server-" + std::to_string(index)),
                     RegionId(data_centre.substr(0, data_centre.find('-'))),
                     DataCentreId(data_centre)});
  }
  return nodes;
}

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_FLEET_TESTFLEET_H_
