#ifndef DAMASKHOLLOW_POLICY_RUNESTIMATE_H_
#define DAMASKHOLLOW_POLICY_RUNESTIMATE_H_

#include <cstddef>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// State of a backend server at one moment, as far as it affects how long a call takes.
struct ServerCondition {
  double slowness = 1.0;      // Time that work takes on the VM, as a multiple of the usual time.
  std::size_t in_flight = 0;  // Running calls, including the one in question.
  std::size_t slots = 1;
};

// Estimates how long a call takes under given conditions, from the run times of completed calls of
// the same priority, which it scales to a VM at its usual speed. Not thread-safe.
class RunEstimate {
 public:
  RunEstimate();

  // Adds the run time of a completed call, with the condition under which it started.
  void RecordCompletion(const PriorityId& priority, Duration time, const ServerCondition& at_start);

  // Returns the expected run time of a call. Zero while no call has completed.
  Duration ExpectedRunTime(const PriorityId& priority, const ServerCondition& condition) const;

  // Returns how many calls should run at the same time. A server that slows down when it is nearly
  // full achieves more throughput with some slots left free.
  std::size_t BestInFlight(std::size_t slots) const;

  // Factor by which the run time of a call grows if it starts on a nearly full server.
  double NearlyFullFactor() const { return m_nearly_full_factor; }

 private:
  // Factor by which a call takes longer under this condition than on a VM at its usual speed and
  // with free slots.
  double FactorOf(const ServerCondition& condition) const;

  std::unordered_map<PriorityId, double> m_base_time;  // Microseconds at usual speed, smoothed.
  double m_base_time_overall = 0.0;
  double m_nearly_full_factor;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_RUNESTIMATE_H_
