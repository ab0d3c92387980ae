#ifndef DAMASKHOLLOW_TESTS_AUTO_POLICY_QUEUEINGSIMULATION_H_
#define DAMASKHOLLOW_TESTS_AUTO_POLICY_QUEUEINGSIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string_view>
#include <vector>

#include "policy/router.h"

namespace damaskhollow::test {

// Injected behaviour of a simulated server.
struct ServerBehaviour {
  double slowdown = 1.0;    // Factor on service times.
  bool fails_fast = false;  // Answers 500 after 1 ms.
};

// Returns a declaration of one service "s" with `near` servers (n0, n1, ...) in region "west" and
// `far` servers (f0, f1, ...) in region "east", nine slots each.
std::shared_ptr<const Declaration> SimulatedDeclaration(std::size_t near, std::size_t far,
                                                        std::size_t paid_link_bytes_per_second);

// Simulates ingresses, each with a Router of its own, that send calls to backend servers with FIFO
// queues, in simulated time. All ingresses are in region "west". The same seed gives the same run.
class QueueingSimulation {
 public:
  // Mean service time of a healthy server.
  static constexpr Duration kServiceTime{10000};

  QueueingSimulation(std::string_view strategy,
                     const std::shared_ptr<const Declaration>& declaration, std::size_t ingresses,
                     std::uint64_t seed);

  // Applies to calls that start from now on.
  void SetBehaviour(std::size_t server, const ServerBehaviour& behaviour);
  // Replaces the server by a new process. Queued calls are lost without a response; running calls
  // and calls already sent to the old process fail.
  void Restart(std::size_t server);
  void SetReachable(std::size_t server, bool reachable);

  // Sends calls for `time` with exponential inter-arrival times, `per_second` on average. Clears
  // the latencies and counts of earlier runs first.
  void Run(Duration time, double per_second);

  // Returns the given percentile, 0 to 1, of the latencies of this run's answered calls.
  Duration Percentile(double fraction) const;
  // Returns the number of calls sent to the server in this run.
  std::size_t Sent(std::size_t server) const { return m_servers[server].sent; }
  std::size_t TotalSent() const;
  // Returns the number of calls of this run that no server was chosen for, for this reason.
  std::size_t Refused(Reason reason) const;
  TimePoint Now() const { return m_now; }

  // Size of each call in bytes; counts towards the paid link budget for far servers.
  static constexpr std::size_t kCallBytes = 2000;

 private:
  struct Call {
    std::size_t ingress = 0;
    std::size_t server = 0;
    CallId id;
    TimePoint sent{};
    std::uint64_t generation = 0;  // Of the server process that the call was sent to.
  };
  struct Server {
    BackendServerId id;
    Duration one_way_latency{};
    ServerBehaviour behaviour;
    std::uint64_t generation = 1;
    std::size_t running = 0;
    std::deque<Call> queue;
    Duration service_time{kServiceTime};
    std::size_t sent = 0;
  };
  struct Event {
    TimePoint at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Schedule(TimePoint time, std::function<void()> action);
  void Send();
  void Arrive(const Call& call);
  void Start(const Call& call);
  void Finish(const Call& call, Duration service_time);
  void SendResponse(const Call& call, const ReportedLoad& load, AttemptResult result);
  ReportedLoad LoadOf(const Server& server) const;
  double Exponential(double mean);

  TimePoint m_now{std::chrono::seconds(1000)};
  RandomSource m_random;
  std::vector<Router> m_ingresses;
  std::vector<Server> m_servers;
  std::map<BackendServerId, std::size_t> m_index;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::uint64_t m_next_order = 0;
  std::uint64_t m_next_call = 1;
  std::vector<Duration> m_latencies;
  std::map<Reason, std::size_t> m_refused;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_QUEUEINGSIMULATION_H_
