#ifndef DAMASKHOLLOW_FLEET_OVERLAY_H_
#define DAMASKHOLLOW_FLEET_OVERLAY_H_

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "fleet/fleetnode.h"

namespace damaskhollow {

// Fleets up to this size gossip between all nodes of a region.
inline constexpr std::size_t kFullMeshNodes = 20;

// The gossip overlay. It is computed from the same nodes to the same links everywhere, so no node
// has to tell another whom it gossips with.
//
// Within a data centre the nodes form a ring, which keeps it connected, and each adds links that
// grow in number with the logarithm of the data centre, which keeps the paths short when nodes are
// lost. Between two data centres of a region as many links run as the logarithm of the smaller one.
// Between two regions there are few, spread over their data centres, as they use the paid link.
class Overlay {
 public:
  using Neighbours = std::set<BackendServerId>;

  // The neighbours of every node. Nodes that are known to be gone should be left out of `nodes`.
  static std::map<BackendServerId, Neighbours> Build(std::span<const FleetNode> nodes);
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_OVERLAY_H_
