#include "policy/serverpacer.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// Maximum age of a reported slowness. The speed of a VM that shares its host changes several times
// a second.
constexpr std::chrono::milliseconds kSlownessMaxAge{25};
// After this many responses, all slots may be used once to measure whether the server slows down
// when it is full.
constexpr std::uint64_t kExplorationInterval = 64;
// Calls wait for a VM only if it is at least this much slower than usual. A VM that has just
// started takes about twice the usual time for some seconds, for which calls should not wait.
constexpr double kSlownessThreshold = 2.5;
// A load burst of another VM on the same host lasts about 300 ms in the served systems. A VM that
// stays slow for longer is slow for another reason, which does not end soon.
constexpr std::chrono::milliseconds kMaxBurst{350};
constexpr std::chrono::milliseconds kMeanRemainingBurst{150};

}  // namespace

void ServerPacer::RecordSlowness(double slowness, TimePoint now) {
  m_slowness = slowness;
  m_reported_at = now;
  if (slowness < kSlownessThreshold) {
    m_slow_since.reset();
  } else if (!m_slow_since) {
    m_slow_since = now;
  }
}

void ServerPacer::Reset() {
  m_slowness = 1.0;
  m_reported_at.reset();
  m_slow_since.reset();
}

bool ServerPacer::IsFresh(TimePoint now) const {
  return m_reported_at && now - *m_reported_at <= kSlownessMaxAge;
}

std::size_t ServerPacer::MaxInFlight(std::size_t slots) {
  if (m_responses_since_exploration < kExplorationInterval) return m_estimate.BestInFlight(slots);
  m_responses_since_exploration = 0;
  return slots;
}

bool ServerPacer::IsHeld(const PriorityId& priority, TimePoint now) const {
  if (!m_slow_since || now - *m_slow_since > kMaxBurst) return false;
  const Duration usual = m_estimate.ExpectedRunTime(priority, ServerCondition{});
  const auto slow = static_cast<double>(usual.count()) * m_slowness;
  return slow > static_cast<double>((usual + kMeanRemainingBurst).count());
}

Duration ServerPacer::ExpectedTimeToResponse(const PriorityId& priority, std::size_t in_flight,
                                             std::size_t slots, TimePoint now) const {
  ServerCondition condition = Condition(in_flight, slots);
  if (!IsHeld(priority, now)) return m_estimate.ExpectedRunTime(priority, condition);
  condition.slowness = 1.0;
  return m_estimate.ExpectedRunTime(priority, condition) + kMeanRemainingBurst;
}

ServerCondition ServerPacer::Condition(std::size_t in_flight, std::size_t slots) const {
  return ServerCondition{m_slowness, in_flight, std::max<std::size_t>(slots, 1)};
}

void ServerPacer::RecordCompletion(const PriorityId& priority, Duration time,
                                   const ServerCondition& at_start) {
  ++m_responses_since_exploration;
  m_estimate.RecordCompletion(priority, time, at_start);
}

}  // namespace damaskhollow
