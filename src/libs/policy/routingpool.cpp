#include "policy/routingpool.h"

#include <algorithm>

namespace damaskhollow {

std::size_t ServiceSubset::Size() const {
  std::size_t size = 0;
  for (const std::vector<std::size_t>& tier : tiers) size += tier.size();
  return size;
}

bool ServiceSubset::Contains(std::size_t index) const {
  return std::any_of(tiers.begin(), tiers.end(), [index](const std::vector<std::size_t>& tier) {
    return std::find(tier.begin(), tier.end(), index) != tier.end();
  });
}

bool IsRegionAllowed(std::span<const RegionId> allowed, const RegionId& region) {
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

bool RoutingPool::IsOpen(std::size_t index) const {
  const ServerScore& score = m_scores[index];
  if (!IsRegionAllowed(m_request.allowed_regions, score.Region())) return false;
  return score.IsOpen() && std::find(m_request.excluded.begin(), m_request.excluded.end(),
                                     score.Id()) == m_request.excluded.end();
}

}  // namespace damaskhollow
