#ifndef DAMASKHOLLOW_POLICY_COLDSTARTLIMITER_H_
#define DAMASKHOLLOW_POLICY_COLDSTARTLIMITER_H_

#include <optional>

#include "base/time.h"

namespace damaskhollow {

// How many calls may start at present, and how many more with each second.
struct StartLimit {
  double available = 0.0;
  double per_second = 0.0;
};

// Bounds the rate at which calls start on a cold backend server, which a higher rate would crash.
// The owner of the server is the only sender to it, so that no other node has to be asked. Used by
// the owner. Not thread-safe.
class ColdStartLimiter {
 public:
  // What a cold server tolerates: a rate of calls, and a number of them in addition to it in any
  // second. A rate of 0 means that there is no bound.
  struct Tolerance {
    double per_second = 0.0;
    double burst = 0.0;

    bool operator==(const Tolerance&) const = default;
  };

  // Sets the tolerance. When a bound is first set there is no room for a burst, as a process of
  // this node that ended before may just have used it.
  void SetTolerance(const Tolerance& tolerance, TimePoint now);

  // Records that the server stays cold for `cold_left`, or is warm if that is zero.
  void RecordState(Duration cold_left, TimePoint now);

  // Records that the server may be cold: it has started anew, was unreachable or may have crashed,
  // or its evacuation has ended.
  void SetUnknown() { m_known_at.reset(); }

  // Counts a call that starts. Calls count whether or not the server is cold, as it may have become
  // so before it could be known.
  void RecordStart(TimePoint now);

  // Returns the limit that applies now; empty while the server is known to be warm.
  std::optional<StartLimit> Limit(TimePoint now);

  // Whether the state of the server should be asked for again.
  bool NeedsState(TimePoint now) const;

 private:
  bool MayBeCold(TimePoint now) const;
  void Refill(TimePoint now);

  Tolerance m_tolerance;
  double m_tokens = 0.0;
  TimePoint m_refilled_at{};
  TimePoint m_cold_until{};
  std::optional<TimePoint> m_known_at;  // When the state was last reported.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_COLDSTARTLIMITER_H_
