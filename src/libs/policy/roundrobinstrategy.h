#ifndef DAMASKHOLLOW_POLICY_ROUNDROBINSTRATEGY_H_
#define DAMASKHOLLOW_POLICY_ROUNDROBINSTRATEGY_H_

#include <cstddef>
#include <optional>

#include "policy/routingstrategy.h"

namespace damaskhollow {

// Selects the open servers in turn, regardless of their load. A baseline for comparison.
class RoundRobinStrategy : public RoutingStrategy {
 public:
  std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                  TimePoint now) override;

 private:
  std::size_t m_next = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUNDROBINSTRATEGY_H_
