#include "policy/leastreportedstrategy.h"

#include <algorithm>

namespace damaskhollow {

namespace {

double CallsPerSlot(const ReportedLoad& load) {
  return static_cast<double>(load.in_flight + load.queued) /
         static_cast<double>(std::max<std::size_t>(load.limit, 1));
}

}  // namespace

std::optional<std::size_t> LeastReportedStrategy::Pick(const RoutingPool& pool,
                                                       RandomSource& random, TimePoint) {
  std::optional<std::size_t> picked;
  double lowest = 0.0;
  std::size_t equals = 0;
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
    for (const std::size_t index : pool.Tier(tier)) {
      if (!pool.IsOpen(index)) continue;
      const double load = CallsPerSlot(pool.Score(index).Load());
      if (picked && load > lowest) continue;
      equals = picked && load == lowest ? equals + 1 : 1;
      lowest = load;
      if (random.Below(equals) == 0) picked = index;
    }
  }
  return picked;
}

}  // namespace damaskhollow
