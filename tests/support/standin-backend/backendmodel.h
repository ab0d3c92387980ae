#ifndef DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_BACKEND_BACKENDMODEL_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_BACKEND_BACKENDMODEL_H_

#include <QElapsedTimer>
#include <QJsonObject>
#include <QObject>
#include <cstddef>
#include <deque>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

#include "support/httpserver.h"
#include "support/queryoptions.h"

namespace damaskhollow::test {

// The initial behaviour of a backend server; /control/set changes parts of it.
struct BackendSettings {
  std::size_t slots = 9;
  std::size_t queue_limit = 1000;      // Requests waiting for a slot; more are shed.
  double service_ms = 5.0;             // Mean.
  std::string distribution = "fixed";  // Or "exponential".
  std::uint64_t seed = 1;
  int shed_status = 503;
  int drain_status = 503;
  double cold_factor = 1.0;  // Slowdown at the start; falls to 1 over `cold_ms`.
  double cold_ms = 0.0;
  // File that preserves the runs by test id across a crash of the process; empty for none.
  std::string run_log;
};

// Simulates a backend server with slots, a queue and injected faults. Test requests accept the
// options `ms`, `bytes`, `status`, `chunked`, `abort` and `crash` in the query string or in the
// header X-Test-Options; the query string takes precedence. /control/set changes the behaviour of
// the server, and /control/runs returns its run statistics as JSON.
class BackendModel : public QObject {
 public:
  explicit BackendModel(const BackendSettings& settings);

  // Returns false if the server cannot listen on the address.
  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }

 private:
  struct Work {
    ConnectionId connection;
    std::string test_id;
    std::string test_class;
    QueryOptions options;
    double planned_ms = 0.0;
  };

  struct Counts {
    int ran = 0;
    int completed = 0;
    int cut = 0;
    double busy_ms = 0.0;  // Sum of the planned service times of completed runs.

    QJsonObject ToJson() const;
  };

  void HandleRequest(ConnectionId connection, HttpRequest request);
  void HandleControl(ConnectionId connection, const HttpRequest& request);
  void HandleHealth(ConnectionId connection);
  void HandleConnectionClosed(ConnectionId connection);
  void StartNext();
  void Run(Work work);
  void Complete(ConnectionId connection);
  void RespondTo(const Work& work);
  void ApplyOptions(const QueryOptions& options);
  double PlannedMs(const QueryOptions& options);
  QJsonObject RunsJson() const;
  void ReadRunLog();
  void LogRun(char event, const std::string& test_id);

  BackendSettings m_settings;
  HttpServer m_server;
  std::ofstream m_run_log;
  std::mt19937_64 m_random;
  QElapsedTimer m_since_start;
  std::deque<Work> m_queue;
  std::unordered_map<ConnectionId, Work> m_running;
  std::map<std::string, Counts> m_by_id;
  std::map<std::string, Counts> m_by_class;
  Counts m_total;
  int m_shed = 0;
  int m_failed = 0;
  std::size_t m_peak_in_flight = 0;
  double m_slowdown = 1.0;
  int m_fail_status = 0;  // Requests fail immediately with it; 0: off.
  bool m_drain_status_on = false;
  bool m_drain_header_on = false;
  bool m_hold = false;  // While set, runs do not complete.
  std::deque<ConnectionId> m_held;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_STANDIN_BACKEND_BACKENDMODEL_H_
