#include "auto/policy/ownersimulation.h"

#include <string>

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBurstPeriod{300};

struct Call {
  std::size_t load = 0;
  TimePoint arrived{};
  TimePoint ends{};
  TimePoint started{};
  ServerCondition condition;
};

std::vector<Priority> PrioritiesOf(const std::vector<LoadModel>& loads) {
  std::vector<Priority> priorities;
  for (std::size_t index = 0; index < loads.size(); ++index) {
    Priority priority;
    priority.id = PriorityId("p" + std::to_string(index));
    priority.rank = index;
    priority.target = loads[index].target;
    priority.queue_bound = loads[index].deadline;
    priorities.push_back(priority);
  }
  return priorities;
}

class Simulation {
 public:
  Simulation(const ServerModel& server, const std::vector<LoadModel>& loads,
             const OwnerPolicy& policy, std::uint64_t seed)
      : m_server(server),
        m_loads(loads),
        m_policy(policy),
        m_random(seed),
        m_priorities(PrioritiesOf(loads)),
        m_queue(AdmissionLimits{server.slots}, m_priorities),
        m_results(loads.size()) {}

  std::vector<LoadResult> Run(Duration time) {
    const TimePoint end = m_now + time;
    for (; m_now < end; m_now += milliseconds(1)) Step();
    return m_results;
  }

 private:
  void Step() {
    if ((m_now.time_since_epoch() % kBurstPeriod).count() == 0) {
      m_slowness = m_random.Unit() < m_server.burst_fraction ? m_server.burst_factor : 1.0;
    }
    if ((m_now.time_since_epoch() % milliseconds(20)).count() == 0) {
      m_pacer.RecordSlowness(m_slowness, m_now);
    }
    FinishCalls();
    for (std::size_t index = 0; index < m_loads.size(); ++index) {
      if (m_random.Unit() < m_loads[index].per_second / 1000.0) Arrive(index);
    }
    m_queue.PopExpired(m_now);
    Dispatch();
  }

  void FinishCalls() {
    for (auto entry = m_running.begin(); entry != m_running.end();) {
      const Call& call = entry->second;
      if (call.ends > m_now) {
        ++entry;
        continue;
      }
      m_queue.OnCallFinished(entry->first, SlotResult::kCompleted, m_now);
      m_pacer.RecordCompletion(m_priorities[call.load].id, m_now - call.started, call.condition);
      const bool in_time = m_now - call.arrived <= m_loads[call.load].target;
      ++(in_time ? m_results[call.load].in_time : m_results[call.load].late);
      entry = m_running.erase(entry);
    }
  }

  void Arrive(std::size_t load) {
    ++m_results[load].offered;
    AdmissionCall call;
    call.id = OwnedCallId{m_next_id++};
    call.priority_index = m_loads[load].priority_index;
    call.deadline = m_now + m_loads[load].deadline;
    if (m_policy.demotes_late_calls) call.target = m_now + m_loads[load].target;
    m_calls[call.id] = Call{load, m_now, {}, {}, {}};
    m_queue.Offer(call, m_now);
  }

  void Dispatch() {
    const std::size_t max_in_flight = m_pacer.MaxInFlight(m_server.slots);
    m_queue.SetMaxInFlight(m_policy.limits_in_flight ? max_in_flight : m_server.slots);
    const auto is_held = [&](const PriorityId& priority) {
      return m_policy.holds_when_slow && m_pacer.IsHeld(priority, m_now);
    };
    for (const OwnedCallId id : m_queue.PopDispatchable(m_now, is_held)) {
      Call call = m_calls.at(id);
      call.started = m_now;
      call.condition = m_pacer.Condition(m_running.size() + 1, m_server.slots);
      const bool is_nearly_full = (m_running.size() + 1) * 10 > m_server.slots * 8;
      const double factor = m_slowness * (is_nearly_full ? m_server.nearly_full_factor : 1.0);
      const auto time = static_cast<double>(m_loads[call.load].service_time.count()) * factor *
                        (0.7 + 0.6 * m_random.Unit());
      call.ends = m_now + Duration(static_cast<Duration::rep>(time));
      m_running.emplace(id, call);
    }
  }

  const ServerModel m_server;
  const std::vector<LoadModel> m_loads;
  const OwnerPolicy m_policy;
  RandomSource m_random;
  const std::vector<Priority> m_priorities;
  AdmissionQueue m_queue;
  ServerPacer m_pacer;
  std::vector<LoadResult> m_results;
  TimePoint m_now{std::chrono::seconds(900)};
  double m_slowness = 1.0;
  std::uint64_t m_next_id = 1;
  std::map<OwnedCallId, Call> m_calls;
  std::map<OwnedCallId, Call> m_running;
};

}  // namespace

std::vector<LoadResult> SimulateOwner(const ServerModel& server,
                                      const std::vector<LoadModel>& loads,
                                      const OwnerPolicy& policy, Duration time,
                                      std::uint64_t seed) {
  return Simulation(server, loads, policy, seed).Run(time);
}

}  // namespace damaskhollow::test
