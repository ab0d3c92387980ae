#ifndef DAMASKHOLLOW_POLICY_RUNESTIMATE_H_
#define DAMASKHOLLOW_POLICY_RUNESTIMATE_H_

#include <cstddef>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// The state of a backend server at one moment, as far as it decides how long a call takes.
struct ServerCondition {
  double slowness = 1.0;      // How long work takes on its VM, as a multiple of the usual time.
  std::size_t in_flight = 0;  // Calls that run, the one in question included.
  std::size_t slots = 1;
};

// Learns how long the calls of each priority take on a backend server whose VM works at its usual
// speed, and tells how long one takes under given conditions. Not thread-safe.
class RunEstimate {
 public:
  RunEstimate();

  void RecordCompletion(const PriorityId& priority, Duration time, const ServerCondition& at_start);

  // Zero while nothing is known.
  Duration ExpectedRunTime(const PriorityId& priority, const ServerCondition& condition) const;

  // The calls that are to run at the same time. A server that slows down when it is nearly full
  // gets more done with some of its slots left free.
  std::size_t BestInFlight(std::size_t slots) const;

  // How much longer a call takes that starts on a nearly full server.
  double NearlyFullFactor() const { return m_nearly_full_factor; }

 private:
  double FactorOf(const ServerCondition& condition) const;

  std::unordered_map<PriorityId, double> m_base_time;  // Microseconds, smoothed.
  double m_base_time_overall = 0.0;
  double m_nearly_full_factor;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_RUNESTIMATE_H_
