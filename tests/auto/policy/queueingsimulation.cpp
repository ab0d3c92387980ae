#include "auto/policy/queueingsimulation.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace damaskhollow::test {

namespace {

constexpr std::size_t kSlots = 9;
constexpr Duration kFastFailureTime{1000};
constexpr Duration kNearOneWayLatency{500};
constexpr Duration kFarOneWayLatency{30000};
constexpr int kServiceTimeSmoothing = 8;

BackendServer MakeServer(const std::string& id, const std::string& region) {
  BackendServer server;
  server.id = BackendServerId(id);
  server.service = ServiceId("s");
  server.region = RegionId(region);
  server.data_centre = DataCentreId(region + "-1");
  server.slots = kSlots;
  return server;
}

}  // namespace

std::shared_ptr<const Declaration> SimulatedDeclaration(std::size_t near, std::size_t far,
                                                        std::size_t paid_link_bytes_per_second) {
  auto declaration = std::make_shared<Declaration>();
  Service service;
  service.id = ServiceId("s");
  declaration->services.push_back(service);
  for (std::size_t index = 0; index < near; ++index) {
    declaration->backend_servers.push_back(MakeServer("n" + std::to_string(index), "west"));
  }
  for (std::size_t index = 0; index < far; ++index) {
    declaration->backend_servers.push_back(MakeServer("f" + std::to_string(index), "east"));
  }
  declaration->budgets.paid_link_bytes_per_second = paid_link_bytes_per_second;
  return declaration;
}

QueueingSimulation::QueueingSimulation(std::string_view strategy,
                                       const std::shared_ptr<const Declaration>& declaration,
                                       std::size_t ingresses, std::uint64_t seed)
    : m_random(seed) {
  for (const BackendServer& declared : declaration->backend_servers) {
    Server server;
    server.id = declared.id;
    server.one_way_latency =
        declared.region == RegionId("west") ? kNearOneWayLatency : kFarOneWayLatency;
    m_index[server.id] = m_servers.size();
    m_servers.push_back(std::move(server));
  }
  for (std::size_t index = 0; index < ingresses; ++index) {
    const NodeLocation location{BackendServerId("ingress" + std::to_string(index)),
                                RegionId("west"), DataCentreId("west-1")};
    Router& router = m_ingresses.emplace_back(strategy, location, m_random.Next());
    router.SetDeclaration(declaration, m_now);
    for (const Server& server : m_servers) {
      router.RecordLoad(server.id, LoadOf(server), m_now);
      router.SetReachable(server.id, true, m_now);
    }
  }
}

void QueueingSimulation::SetBehaviour(std::size_t server, const ServerBehaviour& behaviour) {
  m_servers[server].behaviour = behaviour;
}

void QueueingSimulation::Restart(std::size_t index) {
  Server& server = m_servers[index];
  ++server.generation;
  server.running = 0;
  server.queue.clear();
  for (Router& router : m_ingresses) {
    router.SetReachable(server.id, false, m_now);
    router.RecordLoad(server.id, LoadOf(server), m_now);
    router.SetReachable(server.id, true, m_now);
  }
}

void QueueingSimulation::SetReachable(std::size_t index, bool reachable) {
  for (Router& router : m_ingresses) {
    if (reachable) router.RecordLoad(m_servers[index].id, LoadOf(m_servers[index]), m_now);
    router.SetReachable(m_servers[index].id, reachable, m_now);
  }
}

void QueueingSimulation::Run(Duration time, double per_second) {
  m_latencies.clear();
  m_refused.clear();
  for (Server& server : m_servers) server.sent = 0;
  const TimePoint end = m_now + time;
  TimePoint arrival = m_now;
  for (;;) {
    arrival += Duration(static_cast<Duration::rep>(Exponential(1e6 / per_second)));
    if (arrival >= end) break;
    Schedule(arrival, [this] { Send(); });
  }
  while (!m_events.empty() && m_events.top().at <= end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  m_now = end;
}

Duration QueueingSimulation::Percentile(double fraction) const {
  std::vector<Duration> sorted = m_latencies;
  std::sort(sorted.begin(), sorted.end());
  return sorted.at(static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1)));
}

std::size_t QueueingSimulation::TotalSent() const {
  std::size_t total = 0;
  for (const Server& server : m_servers) total += server.sent;
  return total;
}

std::size_t QueueingSimulation::Refused(Reason reason) const {
  const auto found = m_refused.find(reason);
  return found == m_refused.end() ? 0 : found->second;
}

void QueueingSimulation::Schedule(TimePoint time, std::function<void()> action) {
  m_events.push(Event{time, m_next_order++, std::move(action)});
}

void QueueingSimulation::Send() {
  Call call;
  call.ingress = m_random.Below(m_ingresses.size());
  call.id = CallId{m_next_call++};
  call.sent = m_now;
  Router& router = m_ingresses[call.ingress];
  const RoutingRequest request{ServiceId("s"), true, true, kCallBytes, {}};
  const RoutingChoice choice = router.Choose(request, m_now);
  if (choice.refusal != Reason::kNone) {
    ++m_refused[choice.refusal];
    return;
  }
  call.server = m_index.at(choice.server);
  Server& server = m_servers[call.server];
  call.generation = server.generation;
  ++server.sent;
  router.RecordSent(choice.server, call.id, 0, m_now);
  Schedule(m_now + server.one_way_latency, [this, call] { Arrive(call); });
}

void QueueingSimulation::Arrive(const Call& call) {
  Server& server = m_servers[call.server];
  if (call.generation != server.generation) {
    return SendResponse(call, LoadOf(server), AttemptResult::kFailed);
  }
  if (server.running < kSlots) return Start(call);
  server.queue.push_back(call);
}

void QueueingSimulation::Start(const Call& call) {
  Server& server = m_servers[call.server];
  ++server.running;
  const double mean = static_cast<double>(kServiceTime.count()) * server.behaviour.slowdown;
  const Duration time = server.behaviour.fails_fast
                            ? kFastFailureTime
                            : Duration(static_cast<Duration::rep>(Exponential(mean)));
  Schedule(m_now + time, [this, call, time] { Finish(call, time); });
}

void QueueingSimulation::Finish(const Call& call, Duration service_time) {
  Server& server = m_servers[call.server];
  if (call.generation != server.generation) {
    return SendResponse(call, LoadOf(server), AttemptResult::kFailed);
  }
  --server.running;
  server.service_time += (service_time - server.service_time) / kServiceTimeSmoothing;
  if (!server.queue.empty()) {
    const Call next = server.queue.front();
    server.queue.pop_front();
    Start(next);
  }
  SendResponse(call, LoadOf(server),
               server.behaviour.fails_fast ? AttemptResult::kError : AttemptResult::kAnswered);
}

void QueueingSimulation::SendResponse(const Call& call, const ReportedLoad& load,
                                      AttemptResult result) {
  Schedule(m_now + m_servers[call.server].one_way_latency, [this, call, load, result] {
    Router& router = m_ingresses[call.ingress];
    router.RecordLoad(m_servers[call.server].id, load, m_now);
    router.RecordEnded(m_servers[call.server].id, call.id, result, m_now);
    if (result == AttemptResult::kAnswered) m_latencies.push_back(m_now - call.sent);
  });
}

ReportedLoad QueueingSimulation::LoadOf(const Server& server) const {
  ReportedLoad load;
  load.incarnation = Incarnation{server.generation};
  load.in_flight = server.running;
  load.queued = server.queue.size();
  load.limit = kSlots;
  load.service_time = server.service_time;
  load.queue_delay =
      server.service_time * static_cast<int>(server.queue.size()) / static_cast<int>(kSlots);
  return load;
}

double QueueingSimulation::Exponential(double mean) {
  return -mean * std::log(1.0 - m_random.Unit());
}

}  // namespace damaskhollow::test
