#ifndef DAMASKHOLLOW_TESTS_AUTO_POLICY_OWNERSIMULATION_H_
#define DAMASKHOLLOW_TESTS_AUTO_POLICY_OWNERSIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/randomsource.h"
#include "policy/admissionqueue.h"
#include "policy/serverpacer.h"

namespace damaskhollow::test {

// One backend server that slows down when it is nearly full and whose VM has noisy neighbours.
struct ServerModel {
  std::size_t slots = 9;
  double nearly_full_factor = 1.0;  // From 8 of 9 slots on.
  double burst_factor = 1.0;        // During a burst of a neighbour.
  double burst_fraction = 0.0;      // Of the 300 ms periods that are bursts.
};

// Calls of one priority that arrive at random times.
struct LoadModel {
  std::size_t priority_index = 0;
  double per_second = 0.0;
  Duration service_time{};
  Duration target{};
  Duration deadline{};
};

// Which decisions the simulated owner takes.
struct OwnerPolicy {
  bool limits_in_flight = false;
  bool holds_when_slow = false;
  bool demotes_late_calls = false;
};

// What became of the calls of one priority.
struct LoadResult {
  std::size_t offered = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
};

// An owner with its queue and its backend server in simulated time, in steps of one millisecond.
// The same seed gives the same run.
std::vector<LoadResult> SimulateOwner(const ServerModel& server,
                                      const std::vector<LoadModel>& loads,
                                      const OwnerPolicy& policy, Duration time, std::uint64_t seed);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_OWNERSIMULATION_H_
