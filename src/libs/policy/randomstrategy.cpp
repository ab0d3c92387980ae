#include "policy/randomstrategy.h"

namespace damaskhollow {

std::optional<std::size_t> RandomStrategy::Pick(const RoutingPool& pool, RandomSource& random,
                                                TimePoint) {
  std::optional<std::size_t> picked;
  std::size_t seen = 0;
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
    for (const std::size_t index : pool.Tier(tier)) {
      if (pool.IsOpen(index) && random.Below(++seen) == 0) picked = index;
    }
  }
  return picked;
}

}  // namespace damaskhollow
