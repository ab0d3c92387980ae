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

// A backend server that slows down when it is nearly full, on a VM whose host other VMs load in
// bursts.
struct ServerModel {
  std::size_t slots = 9;
  double nearly_full_factor = 1.0;  // Factor on service times, from 8 of 9 slots on.
  double burst_factor = 1.0;        // Factor on service times during a burst.
  double burst_fraction = 0.0;      // Fraction of the 300 ms periods that are bursts.
};

// Calls of one priority that arrive at random times, `per_second` on average. `target` and
// `deadline` count from the arrival.
struct LoadModel {
  std::size_t priority_index = 0;
  double per_second = 0.0;
  Duration service_time{};
  Duration target{};
  Duration deadline{};
};

// Which of its pacing decisions the simulated owner applies.
struct OwnerPolicy {
  bool limits_in_flight = false;    // Leaves slots free if the server then completes more.
  bool holds_when_slow = false;     // Holds calls back while the VM is slow.
  bool demotes_late_calls = false;  // Passes on the calls' targets, so that late calls yield.
};

// Outcome counts of the calls of one priority; `late` ones completed after their target.
struct LoadResult {
  std::size_t offered = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
};

// Simulates an owner with its admission queue and its backend server in steps of one millisecond.
// Returns one result for each of `loads`, in their order. The same seed gives the same result.
std::vector<LoadResult> SimulateOwner(const ServerModel& server,
                                      const std::vector<LoadModel>& loads,
                                      const OwnerPolicy& policy, Duration time, std::uint64_t seed);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_OWNERSIMULATION_H_
