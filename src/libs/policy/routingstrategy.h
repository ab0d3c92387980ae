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

// Chooses one server of a pool.
class RoutingStrategy {
 public:
  virtual ~RoutingStrategy() = default;

  // The index of the chosen score; empty if no server of the pool is open.
  virtual std::optional<std::size_t> Pick(const RoutingPool& pool, RandomSource& random,
                                          TimePoint now) = 0;
};

// The strategy of a setting's value: adaptive, round_robin, random or least_reported. Settings are
// checked before, so any other name means adaptive.
std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTINGSTRATEGY_H_
