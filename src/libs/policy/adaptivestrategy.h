#ifndef DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_
#define DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_

#include <cstddef>
#include <optional>

#include "policy/routingstrategy.h"

namespace damaskhollow {

// The product's strategy: of two random servers of the nearest tier the one with the lower expected
// delay, or that of a further tier if it is lower still. Suspended servers come back by a trial,
// and servers in slow start are drawn less often.
class AdaptiveStrategy : public RoutingStrategy {
 public:
  std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                  TimePoint now) override;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ADAPTIVESTRATEGY_H_
