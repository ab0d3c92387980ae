#include "policy/splitpicker.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxRoutes = 4096;

bool IsSame(const RoutePart& left, const RoutePart& right) {
  return left.service == right.service && left.weight == right.weight;
}

}  // namespace

const ServiceId& SplitPicker::Pick(const RouteId& route, std::span<const RoutePart> parts) {
  if (parts.size() == 1) return parts.front().service;
  // Routes change with configurations, so the number of entries is bounded. Clearing the credits
  // shifts the distribution by one call per route.
  if (m_credits.size() >= kMaxRoutes && !m_credits.contains(route)) m_credits.clear();
  Credits& state = m_credits[route];
  if (!std::equal(parts.begin(), parts.end(), state.parts.begin(), state.parts.end(), IsSame)) {
    state.parts.assign(parts.begin(), parts.end());
    state.credits.assign(parts.size(), 0.0);
  }
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t index = 0; index < parts.size(); ++index) {
    state.credits[index] += parts[index].weight;
    total += parts[index].weight;
    if (state.credits[index] > state.credits[best]) best = index;
  }
  state.credits[best] -= total;
  return parts[best].service;
}

}  // namespace damaskhollow
