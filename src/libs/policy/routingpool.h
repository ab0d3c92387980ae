#ifndef DAMASKHOLLOW_POLICY_ROUTINGPOOL_H_
#define DAMASKHOLLOW_POLICY_ROUTINGPOOL_H_

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "policy/serverscores.h"

namespace damaskhollow {

// Properties of a call that routing uses.
struct RoutingRequest {
  ServiceId service;
  bool idempotent = false;
  bool may_cross_regions = false;
  std::size_t bytes = 0;
  std::span<const BackendServerId> excluded;  // Servers already tried for this call.
  std::size_t priority_index = 0;             // 0 is the most urgent.
  Duration target_left{};                     // Time left to meet the target of the call.
  // Regions whose servers may receive the call; empty: all.
  std::span<const RegionId> allowed_regions{};
};

// Whether a call whose servers are restricted to `allowed` (empty: not restricted) may be sent to a
// server in `region`.
bool IsRegionAllowed(std::span<const RegionId> allowed, const RegionId& region);

// Servers of one service that this node uses.
struct ServiceSubset {
  std::array<std::vector<std::size_t>, kTierCount> tiers;  // Indices of scores.
  Duration typical_service_time{};                         // Smoothed over all responses.
  bool is_evacuated = false;  // Whether all servers are in evacuated data centres.

  std::size_t Size() const;
  bool Contains(std::size_t index) const;
};

// Servers from which a strategy selects for one call. Holds references to its constructor
// arguments, so it must not outlive the selection.
class RoutingPool {
 public:
  // `tier_count` is below kTierCount if the call must not leave the region.
  RoutingPool(std::vector<ServerScore>& scores, const ServiceSubset& subset,
              const RoutingRequest& request, std::size_t tier_count)
      : m_scores(scores), m_subset(subset), m_request(request), m_tier_count(tier_count) {}

  std::size_t TierCount() const { return m_tier_count; }
  std::span<const std::size_t> Tier(std::size_t tier) const { return m_subset.tiers[tier]; }
  ServerScore& Score(std::size_t index) const { return m_scores[index]; }
  const RoutingRequest& Request() const { return m_request; }
  Duration TypicalServiceTime() const { return m_subset.typical_service_time; }

  // Whether a message can be sent to the server, it is not draining, the call may be sent to its
  // region, and the call has not been sent to it before.
  bool IsOpen(std::size_t index) const;

 private:
  std::vector<ServerScore>& m_scores;
  const ServiceSubset& m_subset;
  const RoutingRequest& m_request;
  const std::size_t m_tier_count;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTINGPOOL_H_
