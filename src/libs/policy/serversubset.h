#ifndef DAMASKHOLLOW_POLICY_SERVERSUBSET_H_
#define DAMASKHOLLOW_POLICY_SERVERSUBSET_H_

#include <cstddef>
#include <span>
#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Where this node stands.
struct NodeLocation {
  BackendServerId server;
  RegionId region;
  DataCentreId data_centre;
};

// How far a server is from this node, nearest first.
enum class ServerTier { kOwnDataCentre, kOwnRegion, kOtherRegion };

constexpr std::size_t kTierCount = 3;

ServerTier TierOf(const NodeLocation& location, const BackendServer& server);

// How many servers of a service one ingress uses, of `fleet` that the service has.
std::size_t SubsetSize(const Service& service, std::size_t fleet);

// The servers that this node uses of those given, by rendezvous hashing with the node's id. A
// server that joins or leaves changes the subset by about one server. The node's own server is
// always in it. Some places are kept for each tier, so that calls can spill over; places that a
// tier cannot fill go to the nearest tier that can.
std::vector<const BackendServer*> SelectSubset(const NodeLocation& location, std::size_t size,
                                               std::span<const BackendServer* const> servers);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERSUBSET_H_
