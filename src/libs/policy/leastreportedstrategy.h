#ifndef DAMASKHOLLOW_POLICY_LEASTREPORTEDSTRATEGY_H_
#define DAMASKHOLLOW_POLICY_LEASTREPORTEDSTRATEGY_H_

#include <cstddef>
#include <optional>

#include "policy/routingstrategy.h"

namespace damaskhollow {

// Selects the open server with the fewest calls per slot in its last report, regardless of the age
// of the report. A baseline for comparison.
class LeastReportedStrategy : public RoutingStrategy {
 public:
  std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                  TimePoint now) override;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_LEASTREPORTEDSTRATEGY_H_
