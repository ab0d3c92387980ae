#ifndef DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_
#define DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_

#include <cstddef>
#include <optional>

#include "policy/routingstrategy.h"

namespace damaskhollow {

// Default strategy. Compares two random servers of each tier by expected delay; a more distant tier
// is selected only if its delay is lower. Suspended servers return to service through a trial call,
// and servers in slow start are sampled less often.
class AdaptiveStrategy : public RoutingStrategy {
 public:
  std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                  TimePoint now) override;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_
