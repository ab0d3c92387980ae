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

// Probes the health path of the node's own backend server for its drain status. Used by
// ControlService on the main thread.
class HealthProbe : public BackendEvents {
 public:
  using ResultFunction = std::function<void(ProbeResult)>;

  HealthProbe(MetricsRegistry& metrics, ResultFunction result);
  ~HealthProbe() override;

  // Sets the server and the highest probe rate. Without `health`, or with a rate of 0, no probes
  // are sent.
  void Configure(const std::optional<HealthCheck>& health, const Endpoint& server,
                 double probes_per_second);

  // Records that a response of the server carried a drain header. This replaces a probe: the next
  // one is sent one interval later at the earliest.
  void OnDrainHeader(TimePoint now) { m_last_drain_header = now; }

  // Sends a probe if one is due and none is running.
  void Tick(TimePoint now);

 private:
  void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) override;
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
