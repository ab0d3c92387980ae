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

// In fleets up to this number of nodes, all nodes of a region are neighbours of each other.
inline constexpr std::size_t kFullMeshNodes = 20;

// The gossip overlay. Every node computes the same links from the same list of nodes, so neighbours
// need not be negotiated.
//
// Within a data centre the nodes form a ring, which keeps it connected. Each node adds a number of
// links that grows with the logarithm of the size of the data centre, which keeps paths short when
// nodes are lost. The number of links between two data centres of a region is the logarithm of the
// size of the smaller one. Regions are connected by few links, spread over their data centres,
// because these use the paid link.
class Overlay {
 public:
  using Neighbours = std::set<BackendServerId>;

  // Returns the neighbours of every node. The caller should omit nodes in state kGone from `nodes`.
  static std::map<BackendServerId, Neighbours> Build(std::span<const FleetNode> nodes);
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_OVERLAY_H_
