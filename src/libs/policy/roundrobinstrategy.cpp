#include "policy/roundrobinstrategy.h"

namespace damaskhollow {

std::optional<std::size_t> RoundRobinStrategy::Pick(const RoutingPool& pool, RandomSource&,
                                                    TimePoint) {
  std::size_t total = 0;
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) total += pool.Tier(tier).size();
  for (std::size_t tries = 0; tries < total; ++tries) {
    std::size_t position = m_next++ % total;
    std::size_t tier = 0;
    while (position >= pool.Tier(tier).size()) position -= pool.Tier(tier++).size();
    const std::size_t index = pool.Tier(tier)[position];
    if (pool.IsOpen(index)) return index;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
