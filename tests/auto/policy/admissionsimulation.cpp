#include "admissionsimulation.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>

#include "base/randomsource.h"

namespace damaskhollow::test {

namespace {

struct SimulatedCall {
  std::size_t priority = 0;
  TimePoint arrived{};
  TimePoint dispatched{};
  TimePoint deadline{};
  Duration service_time{};
};

class Simulation {
 public:
  Simulation(const SimulationOptions& options, std::span<const Priority> priorities,
             std::span<const Demand> demands)
      : m_options(options),
        m_demands(demands),
        m_random(options.seed),
        m_queue(AdmissionLimits{.slots = options.slots}, priorities),
        m_queued(demands.size()) {
    m_result.priorities.resize(demands.size());
  }

  SimulationResult Run() {
    for (std::size_t index = 0; index < m_demands.size(); ++index) ScheduleArrival(index);
    const TimePoint end = m_start + m_options.warm_up + m_options.measurement_time;
    while (!m_events.empty() && std::get<0>(m_events.top()) < end) {
      const auto [time, is_arrival, value] = m_events.top();
      m_events.pop();
      m_now = time;
      if (is_arrival) {
        Arrive(value);
      } else {
        Complete(OwnedCallId{value});
      }
      for (const OwnedCallId id : m_queue.PopExpired(m_now)) {
        RemoveQueued(id, &PriorityStatistics::expired);
      }
      for (const OwnedCallId id : m_queue.PopDispatchable(m_now)) Dispatch(id);
    }
    const double slot_time = static_cast<double>(m_options.measurement_time.count()) *
                             static_cast<double>(m_options.slots);
    m_result.used_slot_time /= slot_time;
    for (PriorityStatistics& statistics : m_result.priorities) {
      statistics.slot_time_share /= slot_time;
    }
    return m_result;
  }

 private:
  bool IsMeasured(TimePoint time) const { return time >= m_start + m_options.warm_up; }

  void ScheduleArrival(std::size_t index) {
    if (m_demands[index].calls_per_second <= 0.0) return;
    const double interval_us = 1e6 / m_demands[index].calls_per_second;
    const double factor = 1.0 + m_options.arrival_jitter * (2.0 * m_random.Unit() - 1.0);
    const Duration gap(static_cast<Duration::rep>(interval_us * factor));
    m_events.emplace(m_now + std::max(gap, Duration(1)), true, index);
  }

  void Arrive(std::size_t index) {
    ScheduleArrival(index);
    const Demand& demand = m_demands[index];
    const double factor = 1.0 + m_options.service_jitter * (2.0 * m_random.Unit() - 1.0);
    const auto service_us = static_cast<double>(demand.service_time.count()) * factor;
    const OwnedCallId id{m_next_id++};
    const SimulatedCall call{index,
                             m_now,
                             {},
                             m_now + demand.deadline,
                             Duration(static_cast<Duration::rep>(service_us))};
    PriorityStatistics& statistics = m_result.priorities[index];
    if (IsMeasured(m_now)) ++statistics.offered;
    const Admission admission = m_queue.Offer({id, index, call.deadline, 100}, m_now);
    for (const OwnedCallId evicted : admission.evicted) {
      RemoveQueued(evicted, &PriorityStatistics::evicted);
    }
    if (admission.refusal != Reason::kNone) {
      if (IsMeasured(m_now)) ++statistics.refused;
      return;
    }
    m_calls[id] = call;
    ++m_queued[index];
  }

  void RemoveQueued(OwnedCallId id, std::size_t PriorityStatistics::*counter) {
    const auto found = m_calls.find(id);
    --m_queued[found->second.priority];
    if (IsMeasured(m_now)) ++(m_result.priorities[found->second.priority].*counter);
    m_calls.erase(found);
  }

  void Dispatch(OwnedCallId id) {
    SimulatedCall& call = m_calls.at(id);
    call.dispatched = m_now;
    --m_queued[call.priority];
    if (IsMeasured(m_now)) {
      PriorityStatistics& statistics = m_result.priorities[call.priority];
      statistics.longest_wait = std::max(statistics.longest_wait, m_now - call.arrived);
      for (std::size_t index = 0; index < call.priority; ++index) {
        if (m_queued[index] > 0) ++m_result.priorities[index].overtaken;
      }
    }
    m_events.emplace(m_now + call.service_time, false, id.value);
  }

  void Complete(OwnedCallId id) {
    const SimulatedCall call = m_calls.at(id);
    m_calls.erase(id);
    m_queue.OnCallFinished(id, SlotResult::kCompleted, m_now);
    if (!IsMeasured(call.dispatched)) return;
    PriorityStatistics& statistics = m_result.priorities[call.priority];
    const auto slot_time = static_cast<double>(call.service_time.count());
    statistics.slot_time_share += slot_time;
    if (m_now > call.deadline) return;
    ++statistics.answered;
    m_result.used_slot_time += slot_time;
  }

  // The time, whether it is an arrival, and the index of the priority that arrives or the id of the
  // call that completes.
  using Event = std::tuple<TimePoint, bool, std::uint64_t>;

  const SimulationOptions m_options;
  const std::span<const Demand> m_demands;
  RandomSource m_random;
  AdmissionQueue m_queue;
  const TimePoint m_start{std::chrono::seconds(1000)};
  TimePoint m_now = m_start;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::map<OwnedCallId, SimulatedCall> m_calls;
  std::vector<std::size_t> m_queued;
  std::uint64_t m_next_id = 1;
  SimulationResult m_result;
};

}  // namespace

SimulationResult SimulateAdmission(const SimulationOptions& options,
                                   std::span<const Priority> priorities,
                                   std::span<const Demand> demands) {
  return Simulation(options, priorities, demands).Run();
}

}  // namespace damaskhollow::test
