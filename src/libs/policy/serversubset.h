#ifndef DAMASKHOLLOW_POLICY_SERVERSUBSET_H_
#define DAMASKHOLLOW_POLICY_SERVERSUBSET_H_

#include <cstddef>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Location of this node.
struct NodeLocation {
  BackendServerId server;
  RegionId region;
  DataCentreId data_centre;
};

// Distance of a server from this node, nearest first.
enum class ServerTier { kOwnDataCentre, kOwnRegion, kOtherRegion };

constexpr std::size_t kTierCount = 3;

ServerTier TierOf(const NodeLocation& location, const BackendServer& server);

// Returns how many servers of a service one ingress uses, where `fleet` is the number of servers of
// the service.
std::size_t SubsetSize(const Service& service, std::size_t fleet);

// Selects the servers that this node uses, by rendezvous hashing with the id of the node. A server
// that joins or leaves changes the subset by about one server. The own server of the node is always
// included. Some slots are reserved for each tier, so that calls can spill over; slots that a tier
// cannot fill go to the nearest tier that can.
std::vector<const BackendServer*> SelectSubset(const NodeLocation& location, std::size_t size,
                                               std::span<const BackendServer* const> servers);

// Adds servers to a subset of `servers` until it has a few of each of the regions, so that calls
// which may only go there find one that has room.
void AddServersOfRegions(const std::set<RegionId>& regions, const NodeLocation& location,
                         std::span<const BackendServer* const> servers,
                         std::vector<const BackendServer*>& subset);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERSUBSET_H_
