#ifndef DAMASKHOLLOW_POLICY_SERVERSCORES_H_
#define DAMASKHOLLOW_POLICY_SERVERSCORES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "policy/serversubset.h"

namespace damaskhollow {

// Load report of an owner.
struct ReportedLoad {
  Incarnation incarnation;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  Duration queue_delay{};
  Duration service_time{};
  bool draining = false;
};

// Result of one attempt as seen by the ingress.
enum class AttemptResult {
  kAnswered,    // Status below 500.
  kError,       // Status 500 or above.
  kRefused,     // The owner refused it before it ran.
  kOverloaded,  // The same, because the owner could not serve it in time.
  kFailed,      // Interrupted or timed out.
  kNoBackend,   // The owner could not connect to its backend server.
  kCancelled,   // The caller disconnected.
};

// Load, health and outstanding attempts of one server as seen by this ingress, from which its share
// of the calls follows.
class ServerScore {
 public:
  // Whether a server gets calls. A suspended server returns to service through a trial: one call
  // that it must complete.
  enum class State { kNormal, kSuspended, kTrialDue, kTrialRunning };

  ServerScore(BackendServerId id, ServerTier tier, bool is_self, RegionId region = {});

  // Sets whether messages can be sent to the owner. A server that becomes reachable again is due
  // for a trial unless it is suspended.
  void SetReachable(bool reachable, TimePoint now);

  // Stores a load report. A server with a new incarnation gets slow start; `ramp_first` says
  // whether that applies to the first incarnation seen as well.
  void RecordLoad(const ReportedLoad& load, bool ramp_first, TimePoint now);
  // Adds an outstanding attempt, which becomes the trial if one is due.
  void RecordSent(CallId attempt, std::size_t priority_index, TimePoint now);

  // Removes an outstanding attempt and updates the health. `may_suspend` is false if too many
  // servers of the service are already suspended.
  void RecordEnded(CallId attempt, AttemptResult result, bool may_suspend, TimePoint now);

  // Share of calls of this priority that the server may get after it has refused one of the same or
  // a more urgent priority as overloaded: grows from 0 to 1 within a second. Load reports do not
  // show such an overload, as they tell the queue of the most urgent priority.
  double ShareAfterOverload(std::size_t priority_index, TimePoint now) const;

  // Ends a suspension whose time is over; a trial is then due.
  void Refresh(TimePoint now);

  // Returns the expected time from sending a call of this priority to its response. Less urgent
  // calls of this ingress do not count, as the owner serves more urgent calls first. `typical` is
  // the typical service time of the service; it replaces outdated reports of this server.
  Duration ExpectedDelay(std::size_t priority_index, Duration typical, TimePoint now) const;

  // Share of its normal calls that the server may get, 0 to 1; below 1 during slow start.
  double RampShare(TimePoint now) const;

  const BackendServerId& Id() const { return m_id; }
  ServerTier Tier() const { return m_tier; }
  const RegionId& Region() const { return m_region; }
  State CurrentState() const { return m_state; }
  // Whether the server is ejected because of its failures.
  bool IsEjected() const { return m_ejected; }
  // Whether a message can be sent to the server and it is not draining.
  bool IsOpen() const { return m_reachable && !m_load.draining; }
  // Time since which a trial is due.
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
  RegionId m_region;
  Duration m_round_trip;
  bool m_reachable = false;
  bool m_was_reachable = false;
  ReportedLoad m_load;
  TimePoint m_load_at{};
  TimePoint m_service_time_at{};        // When the reported service time last changed.
  std::vector<SentCall> m_outstanding;  // Oldest first.
  TimePoint m_last_response{};
  double m_success_rate = 1.0;  // Smoothed share of calls that did not fail.
  unsigned m_consecutive_failures = 0;
  unsigned m_suspensions = 0;  // Since the last completed slow start.
  State m_state = State::kNormal;
  TimePoint m_state_until{};  // End of the suspension, or time since which a trial is due.
  CallId m_trial;
  bool m_ejected = false;
  // When the server last refused a call of a priority for overload, by priority index. Entries that
  // a later refusal of a more urgent priority makes irrelevant are removed.
  std::map<std::size_t, TimePoint> m_overloaded_at;
  std::optional<TimePoint> m_ramp_from;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERSCORES_H_
