#ifndef DAMASKHOLLOW_POLICY_SERVERSCORES_H_
#define DAMASKHOLLOW_POLICY_SERVERSCORES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "policy/serversubset.h"

namespace damaskhollow {

// What an owner reported of its load.
struct ReportedLoad {
  Incarnation incarnation;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  Duration queue_delay{};
  Duration service_time{};
  bool draining = false;
};

// How one attempt ended, as the ingress sees it.
enum class AttemptResult {
  kAnswered,   // An answer below 500.
  kError,      // An answer of 500 or above.
  kRefused,    // The owner refused it before it ran.
  kFailed,     // It broke off or timed out.
  kNoBackend,  // The owner could not connect to its backend server.
  kCancelled,  // The caller left.
};

// What is known of one server, and what follows for its share of the calls.
class ServerScore {
 public:
  // Whether a server takes calls. A suspended server comes back by a trial: one call that it must
  // answer.
  enum class State { kNormal, kSuspended, kTrialDue, kTrialRunning };

  ServerScore(BackendServerId id, ServerTier tier, bool is_self);

  void SetReachable(bool reachable, TimePoint now);

  // A server whose incarnation is new gets slow start. `ramp_first` says whether that holds for the
  // first incarnation seen as well.
  void RecordLoad(const ReportedLoad& load, bool ramp_first, TimePoint now);
  void RecordSent(CallId attempt, std::size_t priority_index, TimePoint now);

  // `may_suspend` is false when too many servers of the service are suspended already.
  void RecordEnded(CallId attempt, AttemptResult result, bool may_suspend, TimePoint now);

  // Ends a suspension whose time is over.
  void Refresh(TimePoint now);

  // Expected time from sending a call of this priority to its answer. Less urgent calls of this
  // ingress do not count, as the owner serves the more urgent first. `typical` is the usual service
  // time of the service, which stands in for what is not known of this server any more.
  Duration ExpectedDelay(std::size_t priority_index, Duration typical, TimePoint now) const;

  // Part of its normal share that the server may get, 0 to 1; below 1 during slow start.
  double RampShare(TimePoint now) const;

  const BackendServerId& Id() const { return m_id; }
  ServerTier Tier() const { return m_tier; }
  State CurrentState() const { return m_state; }
  // Whether the server counts as ejected for its failures.
  bool IsEjected() const { return m_ejected; }
  // Whether a message can be sent to it and it does not drain.
  bool IsOpen() const { return m_reachable && !m_load.draining; }
  // Since when a trial is due.
  TimePoint TrialDueSince() const { return m_state_until; }
  const ReportedLoad& Load() const { return m_load; }
  Duration RoundTrip() const { return m_round_trip; }
  Duration ReportAge(TimePoint now) const { return now - m_load_at; }

 private:
  struct SentCall {
    CallId attempt;
    std::size_t priority_index = 0;
    TimePoint sent{};
  };

  void RecordSuccess(bool was_trial, TimePoint now);
  void RecordFailure(bool was_trial, bool may_suspend, TimePoint now);
  void RecordNoBackend(TimePoint now);
  void Suspend(Duration first, TimePoint now);
  double ServiceTime(Duration typical, TimePoint now) const;
  double StalledTime(TimePoint now) const;

  BackendServerId m_id;
  ServerTier m_tier;
  Duration m_round_trip;
  bool m_reachable = false;
  bool m_was_reachable = false;
  ReportedLoad m_load;
  TimePoint m_load_at{};
  TimePoint m_service_time_at{};        // When the reported service time last changed.
  std::vector<SentCall> m_outstanding;  // Oldest first.
  TimePoint m_last_response{};
  double m_success_rate = 1.0;  // Smoothed part of calls that did not fail.
  unsigned m_consecutive_failures = 0;
  unsigned m_suspensions = 0;  // Without a full slow start in between.
  State m_state = State::kNormal;
  TimePoint m_state_until{};  // End of the suspension; later, since when a trial is due.
  CallId m_trial;
  bool m_ejected = false;
  std::optional<TimePoint> m_ramp_from;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERSCORES_H_
