#ifndef DAMASKHOLLOW_POLICY_ROUTINGSTRATEGY_H_
#define DAMASKHOLLOW_POLICY_ROUTINGSTRATEGY_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "base/randomsource.h"
#include "base/time.h"
#include "policy/routingpool.h"

namespace damaskhollow {

// Interface of the algorithms that select one server from a pool. Called by Router.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;

  // Returns the index of the selected score; empty if no server in the pool is open.
  virtual std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                          TimePoint now) = 0;
};

// Creates the strategy for the value of a setting: adaptive, round_robin, random or least_reported.
// Settings are validated earlier, so any other name gives the adaptive strategy.
std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTINGSTRATEGY_H_
