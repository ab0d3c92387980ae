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

// The calls of one priority.
struct Demand {
  double calls_per_second = 0.0;
  Duration service_time{};
  Duration deadline{};
};

// What one priority got after the warm-up.
struct PriorityStatistics {
  std::size_t offered = 0;
  std::size_t answered = 0;  // Completed within their deadline.
  std::size_t refused = 0;   // At arrival.
  std::size_t evicted = 0;
  std::size_t expired = 0;    // While queued.
  std::size_t overtaken = 0;  // Times that less urgent work was dispatched while this was queued.
  double slot_time_share = 0.0;
  Duration longest_wait{0};
};

struct SimulationOptions {
  std::uint64_t seed = 1;
  std::size_t slots = 9;
  // Times between arrivals and service times vary by these parts, evenly, in both directions.
  double arrival_jitter = 1.0;
  double service_jitter = 0.0;
  // The expected wait relies on the shares of the last second, so calls that are queued at the very
  // start of a flood may wait longer than their bound. They have left the queue by then.
  Duration warm_up = std::chrono::seconds(6);
  Duration measurement_time = std::chrono::seconds(10);
};

struct SimulationResult {
  std::vector<PriorityStatistics> priorities;
  double used_slot_time = 0.0;  // Slot time of calls answered in time, as part of all slot time.
};

// Runs an admission queue and a backend server with exact slots on a simulated clock.
SimulationResult SimulateAdmission(const SimulationOptions& options,
                                   std::span<const Priority> priorities,
                                   std::span<const Demand> demands);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_ADMISSIONSIMULATION_H_
