#ifndef DAMASKHOLLOW_FLEET_FLEETNODE_H_
#define DAMASKHOLLOW_FLEET_FLEETNODE_H_

#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// A node and where it stands.
struct FleetNode {
  BackendServerId id;
  RegionId region;
  DataCentreId data_centre;
};

// The nodes of an inventory, in declared order.
std::vector<FleetNode> NodesOf(const Declaration& declaration);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_FLEETNODE_H_
