#include "policy/serversubset.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

// Services of both served systems have at most 6 servers, so all of them are in the subset.
constexpr std::size_t kFullSubset = 12;
constexpr double kServersPerDoubling = 2.0;
constexpr std::size_t kOtherRegionDivisor = 4;    // A quarter of the subset.
constexpr std::size_t kOwnDataCentreDivisor = 2;  // Half of what is left.
// As many as an ingress asks for their load before it chooses among near servers.
constexpr std::size_t kServersPerRegion = 3;

using Ranked = std::pair<std::uint64_t, const BackendServer*>;
using Tiers = std::array<std::vector<Ranked>, kTierCount>;

// Groups the servers by tier and sorts each tier by hash; the own server ranks first.
Tiers RankByTier(const NodeLocation& location, std::span<const BackendServer* const> servers) {
  Tiers tiers;
  for (const BackendServer* server : servers) {
    const std::uint64_t rank = server->id == location.server
                                   ? std::numeric_limits<std::uint64_t>::max()
                                   : StableHash(location.server.Value(), server->id.Value());
    tiers[static_cast<std::size_t>(TierOf(location, *server))].emplace_back(rank, server);
  }
  for (std::vector<Ranked>& tier : tiers) {
    std::sort(tier.begin(), tier.end(), [](const Ranked& left, const Ranked& right) {
      if (left.first != right.first) return left.first > right.first;
      return left.second->id < right.second->id;
    });
  }
  return tiers;
}

// Returns how many servers of each tier are in a subset of this size.
std::array<std::size_t, kTierCount> DistributeSlots(const Tiers& tiers, std::size_t size) {
  const std::size_t other_region = size / kOtherRegionDivisor;
  const std::size_t own_data_centre = (size - other_region) / kOwnDataCentreDivisor;
  std::array<std::size_t, kTierCount> slots{own_data_centre, size - other_region - own_data_centre,
                                            other_region};
  std::size_t left = 0;
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const std::size_t usable = std::min(slots[tier], tiers[tier].size());
    left += slots[tier] - usable;
    slots[tier] = usable;
  }
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    const std::size_t more = std::min(left, tiers[tier].size() - slots[tier]);
    slots[tier] += more;
    left -= more;
  }
  return slots;
}

}  // namespace

ServerTier TierOf(const NodeLocation& location, const BackendServer& server) {
  if (server.region != location.region) return ServerTier::kOtherRegion;
  return server.data_centre == location.data_centre ? ServerTier::kOwnDataCentre
                                                    : ServerTier::kOwnRegion;
}

std::size_t SubsetSize(const Service& service, std::size_t fleet) {
  if (service.subset_size > 0) return std::min(service.subset_size, fleet);
  if (fleet <= kFullSubset) return fleet;
  const double doublings = std::log2(static_cast<double>(fleet) / static_cast<double>(kFullSubset));
  return std::min(
      fleet, kFullSubset + static_cast<std::size_t>(std::ceil(kServersPerDoubling * doublings)));
}

std::vector<const BackendServer*> SelectSubset(const NodeLocation& location, std::size_t size,
                                               std::span<const BackendServer* const> servers) {
  const Tiers tiers = RankByTier(location, servers);
  const std::array<std::size_t, kTierCount> slots = DistributeSlots(tiers, size);
  std::vector<const BackendServer*> subset;
  subset.reserve(size);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    for (std::size_t index = 0; index < slots[tier]; ++index) {
      subset.push_back(tiers[tier][index].second);
    }
  }
  return subset;
}

void AddServersOfRegions(const std::set<RegionId>& regions, const NodeLocation& location,
                         std::span<const BackendServer* const> servers,
                         std::vector<const BackendServer*>& subset) {
  const Tiers tiers = RankByTier(location, servers);
  for (const RegionId& region : regions) {
    auto count = static_cast<std::size_t>(
        std::count_if(subset.begin(), subset.end(),
                      [&](const BackendServer* server) { return server->region == region; }));
    for (const auto& [rank, server] : tiers[static_cast<std::size_t>(ServerTier::kOtherRegion)]) {
      if (count >= kServersPerRegion) break;
      if (server->region != region) continue;
      if (std::find(subset.begin(), subset.end(), server) != subset.end()) continue;
      subset.push_back(server);
      ++count;
    }
  }
}

}  // namespace damaskhollow
