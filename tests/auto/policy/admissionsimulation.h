#ifndef DAMASKHOLLOW_TESTS_AUTO_POLICY_ADMISSIONSIMULATION_H_
#define DAMASKHOLLOW_TESTS_AUTO_POLICY_ADMISSIONSIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"
#include "declaration/declaration.h"
#include "policy/admissionqueue.h"

namespace damaskhollow::test {

// The load that one priority offers: its call rate, the service time of each call, and the time
// from arrival to deadline.
struct Demand {
  double calls_per_second = 0.0;
  Duration service_time{};
  Duration deadline{};
};

// Counts and times of the calls of one priority after the warm-up.
struct PriorityStatistics {
  std::size_t offered = 0;
  std::size_t answered = 0;  // Completed within their deadline.
  std::size_t refused = 0;   // Not admitted at arrival.
  std::size_t evicted = 0;   // Removed from the queue for a more urgent call.
  std::size_t expired = 0;   // Reached their deadline while queued.
  // Dispatches of less urgent calls while calls of this priority were queued.
  std::size_t overtaken = 0;
  double slot_time_share = 0.0;  // Part of all slot time, calls completed too late included.
  Duration longest_wait{0};
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  std::size_t slots = 9;
  // Inter-arrival times and service times are multiplied by a factor drawn uniformly from
  // [1 - jitter, 1 + jitter].
  double arrival_jitter = 1.0;
  double service_jitter = 0.0;
  // Results count only after this time. The expected wait is derived from the shares of the last
  // second, so calls queued at the very start of a flood may wait longer than their bound; they
  // have left the queue when the warm-up ends.
  Duration warm_up = std::chrono::seconds(6);
  Duration measurement_time = std::chrono::seconds(10);
};

struct SimulationResult {
  std::vector<PriorityStatistics> priorities;
  // Slot time of calls answered in time, as a fraction of all slot time.
  double used_slot_time = 0.0;
};

// Runs an AdmissionQueue in front of a backend server that never runs more calls than it has slots,
// on a simulated clock. The same seed gives the same result.
SimulationResult SimulateAdmission(const SimulationOptions& options,
                                   std::span<const Priority> priorities,
                                   std::span<const Demand> demands);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_ADMISSIONSIMULATION_H_
