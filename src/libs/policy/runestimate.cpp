#include "policy/runestimate.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr double kSmoothing = 1.0 / 16.0;
// Some backend servers slow down when more than this share of their slots is in use, as documented
// by the platform. Until calls have shown by how much, the factor of both served systems is
// assumed.
constexpr double kNearlyFullShare = 0.8;
constexpr double kAssumedFactor = 1.7;
constexpr double kFactorSmoothing = 1.0 / 32.0;
constexpr double kMinFactor = 1.0;
constexpr double kMaxFactor = 4.0;
constexpr double kMinSlowness = 0.1;

// Number of calls that a server with this many slots runs without slowing down.
std::size_t UncongestedSlots(std::size_t slots) {
  return std::max<std::size_t>(
      static_cast<std::size_t>(kNearlyFullShare * static_cast<double>(slots)), 1);
}

bool IsNearlyFull(const ServerCondition& condition) {
  return condition.in_flight > UncongestedSlots(condition.slots);
}

void Smooth(double& average, double value) {
  average = average == 0.0 ? value : average + (value - average) * kSmoothing;
}

}  // namespace

RunEstimate::RunEstimate() : m_nearly_full_factor(kAssumedFactor) {}

double RunEstimate::FactorOf(const ServerCondition& condition) const {
  return std::max(condition.slowness, kMinSlowness) *
         (IsNearlyFull(condition) ? m_nearly_full_factor : 1.0);
}

void RunEstimate::RecordCompletion(const PriorityId& priority, Duration time,
                                   const ServerCondition& at_start) {
  const auto known = m_base_time.find(priority);
  if (IsNearlyFull(at_start) && known != m_base_time.end()) {
    const double expected = known->second * std::max(at_start.slowness, kMinSlowness);
    const double factor = std::clamp(static_cast<double>(time.count()) / std::max(expected, 1.0),
                                     kMinFactor, kMaxFactor);
    m_nearly_full_factor += (factor - m_nearly_full_factor) * kFactorSmoothing;
    return;
  }
  const double usual = static_cast<double>(time.count()) / FactorOf(at_start);
  Smooth(m_base_time[priority], usual);
  Smooth(m_base_time_overall, usual);
}

std::size_t RunEstimate::BestInFlight(std::size_t slots) const {
  const std::size_t uncongested = UncongestedSlots(slots);
  // Compares all slots at the slower speed with fewer slots at the usual one.
  const double gain = static_cast<double>(slots) / static_cast<double>(uncongested);
  return m_nearly_full_factor > gain ? uncongested : slots;
}

Duration RunEstimate::ExpectedRunTime(const PriorityId& priority,
                                      const ServerCondition& condition) const {
  const auto known = m_base_time.find(priority);
  const double usual = known == m_base_time.end() ? m_base_time_overall : known->second;
  return Duration(static_cast<Duration::rep>(usual * FactorOf(condition)));
}

}  // namespace damaskhollow
