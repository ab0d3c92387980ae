#ifndef DAMASKHOLLOW_POLICY_SERVERPACER_H_
#define DAMASKHOLLOW_POLICY_SERVERPACER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "policy/runestimate.h"

namespace damaskhollow {

// Decides how fast an owner may dispatch to its backend server: how many calls run at the same
// time, and whether a call should wait for the VM to regain its speed. A call keeps the pace at
// which it starts, so a start at a bad moment costs the slot for as long as the call runs. Not
// thread-safe.
class ServerPacer {
 public:
  // What the backend server says of its VM's speed, as a multiple of the usual time of work.
  void RecordSlowness(double slowness, TimePoint now);

  // Forgets the speed, as another instance has taken the server's place.
  void Reset();

  // Whether the speed was told so recently that it still holds.
  bool IsFresh(TimePoint now) const;

  // The calls that may run at the same time; to be asked once for each round of dispatches.
  std::size_t MaxInFlight(std::size_t slots);

  // Whether a call of this priority is better off waiting for the VM to regain its speed than
  // starting now.
  bool IsHeld(const PriorityId& priority, TimePoint now) const;

  // Time from being first in the queue to the answer, for a call that would be the `in_flight`th
  // to run. Zero while nothing is known.
  Duration ExpectedTimeToResponse(const PriorityId& priority, std::size_t in_flight,
                                  std::size_t slots, TimePoint now) const;

  // The condition that a call starts under now, and how long a call took that started under it.
  ServerCondition Condition(std::size_t in_flight, std::size_t slots) const;
  void RecordCompletion(const PriorityId& priority, Duration time, const ServerCondition& at_start);

 private:
  RunEstimate m_estimate;
  double m_slowness = 1.0;
  std::optional<TimePoint> m_reported_at;
  std::optional<TimePoint> m_slow_since;            // Without a break.
  std::uint64_t m_responses_since_exploration = 0;  // Since the server was last filled.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERPACER_H_
