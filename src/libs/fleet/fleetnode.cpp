#include "fleet/fleetnode.h"

namespace damaskhollow {

std::vector<FleetNode> NodesOf(const Declaration& declaration) {
  std::vector<FleetNode> nodes;
  nodes.reserve(declaration.backend_servers.size());
  for (const BackendServer& server : declaration.backend_servers) {
    nodes.push_back({server.id, server.region, server.data_centre});
  }
  return nodes;
}

}  // namespace damaskhollow
