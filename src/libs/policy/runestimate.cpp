#include "policy/runestimate.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr double kSmoothing = 1.0 / 16.0;
// Some backend servers slow down when more than this part of their slots is taken (page of the
// platform); the factor is that of both served systems.
constexpr double kNearlyFull = 0.8;
constexpr double kNearlyFullFactor = 1.7;

double FactorOf(const ServerCondition& condition) {
  const double limit = kNearlyFull * static_cast<double>(condition.slots);
  const bool is_nearly_full = static_cast<double>(condition.in_flight) > limit;
  return std::max(condition.slowness, 0.1) * (is_nearly_full ? kNearlyFullFactor : 1.0);
}

void Smooth(double& average, double value) {
  average = average == 0.0 ? value : average + (value - average) * kSmoothing;
}

}  // namespace

void RunEstimate::NoteCompleted(const PriorityId& priority, Duration time,
                                const ServerCondition& at_start) {
  const double usual = static_cast<double>(time.count()) / FactorOf(at_start);
  Smooth(m_usual[priority], usual);
  Smooth(m_usual_of_all, usual);
}

Duration RunEstimate::Expected(const PriorityId& priority, const ServerCondition& condition) const {
  const auto known = m_usual.find(priority);
  const double usual = known == m_usual.end() ? m_usual_of_all : known->second;
  return Duration(static_cast<Duration::rep>(usual * FactorOf(condition)));
}

}  // namespace damaskhollow
