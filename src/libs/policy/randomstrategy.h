#ifndef DAMASKHOLLOW_POLICY_RANDOMSTRATEGY_H_
#define DAMASKHOLLOW_POLICY_RANDOMSTRATEGY_H_

#include <cstddef>
#include <optional>

#include "policy/routingstrategy.h"

namespace damaskhollow {

// Selects a random open server, each equally likely. A baseline for comparison.
class RandomStrategy : public RoutingStrategy {
 public:
  std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                  TimePoint now) override;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_RANDOMSTRATEGY_H_
