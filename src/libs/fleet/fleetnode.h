#ifndef DAMASKHOLLOW_FLEET_FLEETNODE_H_
#define DAMASKHOLLOW_FLEET_FLEETNODE_H_

#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// A node and its location.
struct FleetNode {
  BackendServerId id;
  RegionId region;
  DataCentreId data_centre;
};

// Returns the nodes of the declared backend servers, in declaration order.
std::vector<FleetNode> NodesOf(const Declaration& declaration);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_FLEETNODE_H_
