#include "policy/routingstrategy.h"

#include <array>

#include "policy/adaptivestrategy.h"
#include "policy/leastreportedstrategy.h"
#include "policy/randomstrategy.h"
#include "policy/roundrobinstrategy.h"

namespace damaskhollow {

namespace {

template <class Strategy>
std::unique_ptr<RoutingStrategy> Make() {
  return std::make_unique<Strategy>();
}

struct StrategyEntry {
  std::string_view name;
  std::unique_ptr<RoutingStrategy> (*make)();
};

constexpr std::array kStrategies{
    StrategyEntry{"adaptive", Make<AdaptiveStrategy>},
    StrategyEntry{"round_robin", Make<RoundRobinStrategy>},
    StrategyEntry{"random", Make<RandomStrategy>},
    StrategyEntry{"least_reported", Make<LeastReportedStrategy>},
};

}  // namespace

std::unique_ptr<RoutingStrategy> MakeRoutingStrategy(std::string_view name) {
  for (const StrategyEntry& entry : kStrategies) {
    if (entry.name == name) return entry.make();
  }
  return Make<AdaptiveStrategy>();
}

}  // namespace damaskhollow
