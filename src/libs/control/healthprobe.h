#ifndef DAMASKHOLLOW_CONTROL_HEALTHPROBE_H_
#define DAMASKHOLLOW_CONTROL_HEALTHPROBE_H_

#include <functional>
#include <memory>
#include <optional>

#include "base/endpoint.h"
#include "declaration/declaration.h"
#include "fleet/draintracker.h"
#include "http/backendconnection.h"
#include "metrics/metricsregistry.h"

namespace damaskhollow {

// Asks the own backend server on its health path whether it is leaving. Lives on the main thread.
class HealthProbe : public BackendEvents {
 public:
  using ResultFunction = std::function<void(ProbeResult)>;

  HealthProbe(MetricsRegistry& metrics, ResultFunction result);
  ~HealthProbe() override;

  // Sets the server and how often it may be asked; without `health` no probes are made.
  void Configure(const std::optional<HealthCheck>& health, const Endpoint& server,
                 double probes_per_second);

  // A call told whether the server is leaving, so the next probe can wait.
  void OnDrainHeader(TimePoint now) { m_last_drain_header = now; }

  // Starts a probe if one is due.
  void Tick(TimePoint now);

 private:
  void OnBackendPart(ConnectionId connection, AnswerPart part, bool reusable) override;
  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override;
  void OnBackendIdleClosed(ConnectionId connection) override;

  void Start(TimePoint now);
  void CloseConnection();

  MetricsRegistry& m_metrics;
  ResultFunction m_result;
  std::optional<HealthCheck> m_health;
  Endpoint m_server;
  Duration m_interval{};
  std::unique_ptr<BackendConnection> m_connection;
  std::uint64_t m_next_connection = 1;
  bool m_running = false;
  int m_status = 0;
  TimePoint m_last_probe{};
  TimePoint m_last_drain_header{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_HEALTHPROBE_H_
