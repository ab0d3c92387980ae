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
// time, and whether a call should wait until the VM is back to its usual speed. A call runs
// throughout at the speed at which it starts, so a start while the VM is slow occupies the slot for
// longer. Not thread-safe.
class ServerPacer {
 public:
  // Stores the slowness of the VM as reported by the backend server: the time that work takes, as a
  // multiple of the usual time.
  void RecordSlowness(double slowness, TimePoint now);

  // Clears the reported slowness after another instance has replaced the server.
  void Reset();

  // Whether the slowness was reported recently enough to be still valid.
  bool IsFresh(TimePoint now) const;

  // Returns how many calls may run at the same time. Call once per round of dispatches: it
  // occasionally returns all slots, to measure whether the server slows down when it is full.
  std::size_t MaxInFlight(std::size_t slots);

  // Whether a call of this priority is expected to finish earlier if it waits until the VM is back
  // to its usual speed than if it starts now.
  bool IsHeld(const PriorityId& priority, TimePoint now) const;

  // Returns the expected time from the head of the queue to the response, for a call that would be
  // the `in_flight`th to run. Zero while there are no measurements.
  Duration ExpectedTimeToResponse(const PriorityId& priority, std::size_t in_flight,
                                  std::size_t slots, TimePoint now) const;

  // Returns the condition under which a call would start now.
  ServerCondition Condition(std::size_t in_flight, std::size_t slots) const;
  // Adds the run time of a completed call, with the condition under which it started, to the
  // estimate.
  void RecordCompletion(const PriorityId& priority, Duration time, const ServerCondition& at_start);

 private:
  RunEstimate m_estimate;
  double m_slowness = 1.0;
  std::optional<TimePoint> m_reported_at;
  std::optional<TimePoint> m_slow_since;            // Start of the current slow period.
  std::uint64_t m_responses_since_exploration = 0;  // Since all slots were last allowed.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SERVERPACER_H_
