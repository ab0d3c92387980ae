#include "policy/runestimate.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr double kSmoothing = 1.0 / 16.0;
// Some backend servers slow down when more than this part of their slots is taken (page of the
// platform). Until calls have shown how much, the factor of both served systems is assumed.
constexpr double kNearlyFull = 0.8;
constexpr double kAssumedFactor = 1.7;
constexpr double kFactorSmoothing = 1.0 / 32.0;
constexpr double kLeastFactor = 1.0;
constexpr double kMostFactor = 4.0;
constexpr double kLeastSlowness = 0.1;

std::size_t CalmSlots(std::size_t slots) {
  return std::max<std::size_t>(static_cast<std::size_t>(kNearlyFull * static_cast<double>(slots)),
                               1);
}

bool IsNearlyFull(const ServerCondition& condition) {
  return condition.in_flight > CalmSlots(condition.slots);
}

void Smooth(double& average, double value) {
  average = average == 0.0 ? value : average + (value - average) * kSmoothing;
}

}  // namespace

RunEstimate::RunEstimate() : m_nearly_full_factor(kAssumedFactor) {}

double RunEstimate::FactorOf(const ServerCondition& condition) const {
  return std::max(condition.slowness, kLeastSlowness) *
         (IsNearlyFull(condition) ? m_nearly_full_factor : 1.0);
}

void RunEstimate::NoteCompleted(const PriorityId& priority, Duration time,
                                const ServerCondition& at_start) {
  const auto known = m_usual.find(priority);
  if (IsNearlyFull(at_start) && known != m_usual.end()) {
    const double expected = known->second * std::max(at_start.slowness, kLeastSlowness);
    const double factor = std::clamp(static_cast<double>(time.count()) / std::max(expected, 1.0),
                                     kLeastFactor, kMostFactor);
    m_nearly_full_factor += (factor - m_nearly_full_factor) * kFactorSmoothing;
    return;
  }
  const double usual = static_cast<double>(time.count()) / FactorOf(at_start);
  Smooth(m_usual[priority], usual);
  Smooth(m_usual_of_all, usual);
}

std::size_t RunEstimate::BestInFlight(std::size_t slots) const {
  const std::size_t calm = CalmSlots(slots);
  // All slots at the slower pace against fewer at the usual one.
  const double gain = static_cast<double>(slots) / static_cast<double>(calm);
  return m_nearly_full_factor > gain ? calm : slots;
}

Duration RunEstimate::Expected(const PriorityId& priority, const ServerCondition& condition) const {
  const auto known = m_usual.find(priority);
  const double usual = known == m_usual.end() ? m_usual_of_all : known->second;
  return Duration(static_cast<Duration::rep>(usual * FactorOf(condition)));
}

}  // namespace damaskhollow
