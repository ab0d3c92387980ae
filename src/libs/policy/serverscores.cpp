#include "policy/serverscores.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace damaskhollow {

namespace {

// Assumed round trips by tier; twice the one-way delays of the served systems (0.5 ms between data
// centres, 30 ms between regions).
constexpr std::array<Duration, kTierCount> kRoundTrips{Duration(300), Duration(1000),
                                                       Duration(60000)};

// Decay time of a reported queue delay: a queue drains or grows within about this time.
constexpr double kQueueDelayDecayUs = 250e3;
// Decay time of a reported service time. A server with a long service time gets no calls and thus
// no new measurement; after a few times this long it gets a call again.
constexpr double kServiceTimeDecayUs = 5e6;

constexpr double kSuccessSmoothing = 1.0 / 16.0;
constexpr double kMinSuccessRate = 0.02;

constexpr unsigned kFailuresToSuspend = 5;
constexpr std::chrono::seconds kFirstSuspension{1};
// A backend server that refuses connections is often restarted immediately, so the first suspension
// is short.
constexpr std::chrono::milliseconds kNoBackendSuspension{250};
constexpr unsigned kMaxDoublings = 6;  // Up to 64 s.

constexpr std::chrono::seconds kRampTime{10};
// An overload of a service lasts for seconds.
constexpr double kOverloadMemoryUs = 1e6;
constexpr double kRampFloor = 0.05;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

}  // namespace

ServerScore::ServerScore(BackendServerId id, ServerTier tier, bool is_self, RegionId region)
    : m_id(std::move(id)),
      m_tier(tier),
      m_region(std::move(region)),
      m_round_trip(is_self ? Duration(0) : kRoundTrips[static_cast<std::size_t>(tier)]) {}

void ServerScore::SetReachable(bool reachable, TimePoint now) {
  if (reachable == m_reachable) return;
  m_reachable = reachable;
  if (!reachable) return;
  const bool is_return = m_was_reachable;
  m_was_reachable = true;
  if (!is_return || m_state == State::kSuspended) return;
  m_state = State::kTrialDue;
  m_state_until = now;
}

void ServerScore::RecordLoad(const ReportedLoad& load, bool ramp_first, TimePoint now) {
  const bool is_first = m_load.incarnation.value == 0;
  const bool is_new = load.incarnation != m_load.incarnation;
  if (is_new && (!is_first || ramp_first)) m_ramp_from = now;
  if (is_new) {
    m_consecutive_failures = 0;
    m_success_rate = 1.0;
  }
  // A Pong repeats the service time even if no call has completed, so only a changed value is a new
  // measurement.
  if (is_new || load.service_time != m_load.service_time) m_service_time_at = now;
  m_load = load;
  m_load_at = now;
}

void ServerScore::RecordSent(CallId attempt, std::size_t priority_index, TimePoint now) {
  m_outstanding.push_back(SentCall{attempt, priority_index, now});
  if (m_state != State::kTrialDue) return;
  m_state = State::kTrialRunning;
  m_trial = attempt;
}

void ServerScore::RecordEnded(CallId attempt, AttemptResult result, bool may_suspend,
                              TimePoint now) {
  const auto found = std::find_if(m_outstanding.begin(), m_outstanding.end(),
                                  [&](const auto& entry) { return entry.attempt == attempt; });
  if (found == m_outstanding.end()) return;
  const std::size_t priority_index = found->priority_index;
  m_outstanding.erase(found);
  const bool was_trial = m_state == State::kTrialRunning && m_trial == attempt;
  switch (result) {
    case AttemptResult::kAnswered:
      return RecordSuccess(was_trial, now);
    case AttemptResult::kError:
    case AttemptResult::kFailed:
      return RecordFailure(was_trial, may_suspend, now);
    case AttemptResult::kNoBackend:
      return RecordNoBackend(now);
    case AttemptResult::kOverloaded:
      m_overloaded_at.erase(m_overloaded_at.lower_bound(priority_index), m_overloaded_at.end());
      m_overloaded_at.emplace(priority_index, now);
      [[fallthrough]];
    case AttemptResult::kRefused:
    case AttemptResult::kCancelled:
      if (was_trial) {
        m_state = State::kTrialDue;
        m_state_until = now;
      }
      return;
  }
}

void ServerScore::RecordSuccess(bool was_trial, TimePoint now) {
  m_last_response = now;
  m_consecutive_failures = 0;
  m_success_rate += (1.0 - m_success_rate) * kSuccessSmoothing;
  if (was_trial) {
    m_state = State::kNormal;
    m_ejected = false;
    m_ramp_from = now;
    m_success_rate = 1.0;
  } else if (m_state == State::kNormal && m_ramp_from && now - *m_ramp_from > kRampTime) {
    m_ramp_from.reset();
    m_suspensions = 0;
  }
}

void ServerScore::RecordFailure(bool was_trial, bool may_suspend, TimePoint now) {
  ++m_consecutive_failures;
  m_success_rate -= m_success_rate * kSuccessSmoothing;
  if (was_trial) {
    m_ejected = true;
    return Suspend(kFirstSuspension, now);
  }
  const bool is_due = m_state == State::kNormal && m_consecutive_failures >= kFailuresToSuspend;
  if (!is_due || !may_suspend) return;
  m_ejected = true;
  Suspend(kFirstSuspension, now);
}

// A single refused connection suspends the server regardless of the state of the others, as the
// server cannot take calls. It does not count as an ejection for failures.
void ServerScore::RecordNoBackend(TimePoint now) {
  m_success_rate -= m_success_rate * kSuccessSmoothing;
  if (m_state != State::kSuspended) Suspend(kNoBackendSuspension, now);
}

void ServerScore::Suspend(Duration first, TimePoint now) {
  m_state = State::kSuspended;
  m_state_until = now + first * (1U << std::min(m_suspensions, kMaxDoublings));
  ++m_suspensions;
}

void ServerScore::Refresh(TimePoint now) {
  if (m_state == State::kSuspended && now >= m_state_until) {
    m_state = State::kTrialDue;
  }
}

double ServerScore::RampShare(TimePoint now) const {
  if (!m_ramp_from || now - *m_ramp_from >= kRampTime) return 1.0;
  const double part = Microseconds(now - *m_ramp_from) / Microseconds(kRampTime);
  return std::max(part, kRampFloor);
}

double ServerScore::ShareAfterOverload(std::size_t priority_index, TimePoint now) const {
  // Of the priorities up to this one, the least urgent entry is the newest.
  const auto next = m_overloaded_at.upper_bound(priority_index);
  if (next == m_overloaded_at.begin()) return 1.0;
  const double age = Microseconds(now - std::prev(next)->second);
  return std::min(1.0, age / kOverloadMemoryUs);
}

double ServerScore::ServiceTime(Duration typical, TimePoint now) const {
  const double usual = Microseconds(typical);
  if (m_load.service_time.count() == 0) return usual;
  const double age = Microseconds(now - m_service_time_at);
  return usual + (Microseconds(m_load.service_time) - usual) * std::exp(-age / kServiceTimeDecayUs);
}

// Time since the last response of the server, while it has outstanding calls of this ingress. One
// long call beside short ones that are answered does not count as a stall.
double ServerScore::StalledTime(TimePoint now) const {
  if (m_outstanding.empty()) return 0.0;
  const TimePoint since = std::max(m_outstanding.front().sent + m_round_trip, m_last_response);
  return now <= since ? 0.0 : Microseconds(now - since);
}

Duration ServerScore::ExpectedDelay(std::size_t priority_index, Duration typical,
                                    TimePoint now) const {
  const double age = Microseconds(now - m_load_at);
  const double queue = Microseconds(m_load.queue_delay) * std::exp(-age / kQueueDelayDecayUs);
  const double service = std::max(ServiceTime(typical, now), StalledTime(now));
  const double limit = static_cast<double>(std::max<std::size_t>(m_load.limit, 1));
  const auto ahead =
      std::count_if(m_outstanding.begin(), m_outstanding.end(),
                    [&](const SentCall& call) { return call.priority_index <= priority_index; });
  const double own = static_cast<double>(ahead) * service / limit;
  const double run = (queue + own + service) / std::max(m_success_rate, kMinSuccessRate);
  return Duration(static_cast<Duration::rep>(run)) + m_round_trip;
}

}  // namespace damaskhollow
