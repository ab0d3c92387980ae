#include "control/healthprobe.h"

#include <algorithm>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout{1000};
constexpr std::size_t kProbeBodyBytes = 64UL * 1024UL;

}  // namespace

HealthProbe::HealthProbe(MetricsRegistry& metrics, ResultFunction result)
    : m_metrics(metrics), m_result(std::move(result)) {}

HealthProbe::~HealthProbe() = default;

void HealthProbe::Configure(const std::optional<HealthCheck>& health, const Endpoint& server,
                            double probes_per_second) {
  if (server != m_server) CloseConnection();
  m_server = server;
  m_health.reset();
  if (!health || probes_per_second <= 0.0) return;
  m_health = health;
  const Duration min_interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / probes_per_second));
  m_interval = std::max(health->interval, min_interval);
}

void HealthProbe::Tick(TimePoint now) {
  if (!m_health || m_running) return;
  if (now - m_last_probe < m_interval || now - m_last_drain_header < m_interval) return;
  Start(now);
}

void HealthProbe::Start(TimePoint now) {
  m_last_probe = now;
  m_running = true;
  m_status = 0;
  m_metrics.Add(Metric::kProbes);
  if (!m_connection || !m_connection->IsIdle()) {
    CloseConnection();
    m_connection =
        std::make_unique<BackendConnection>(ConnectionId{m_next_connection++}, m_server, *this);
  }
  HttpRequest request;
  request.method = "GET";
  request.target = m_health->path;
  request.headers.push_back({"Host", ToString(m_server)});
  m_running = true;
  m_connection->Send(request, kProbeBodyBytes, kProbeTimeout);
}

// Deletion is deferred because this can run inside an event of the connection itself.
void HealthProbe::CloseConnection() {
  m_running = false;
  if (!m_connection) return;
  m_connection->Abort();
  m_connection.release()->deleteLater();
}

void HealthProbe::OnBackendResponsePart(ConnectionId, ResponsePart part, bool reusable) {
  if (part.head) m_status = part.head->status;
  if (!part.last) return;
  m_running = false;
  if (!reusable) CloseConnection();
  const bool is_leaving = m_health && m_status == m_health->drain_status;
  m_result(is_leaving ? ProbeResult::kLeaving : ProbeResult::kHealthy);
}

void HealthProbe::OnBackendFailed(ConnectionId, Reason reason, bool may_have_run) {
  const bool is_inconclusive = m_connection && m_connection->LacksDescriptor();
  const ResponseFault fault = m_connection ? m_connection->Fault() : ResponseFault::kNone;
  EventLine(LogPart::kFleet, LogLevel::kDebug, "health_probe_failed")
      .With("reason", InfoOf(reason).name)
      .With("rule", FaultName(fault));
  CloseConnection();
  const bool is_refused = !is_inconclusive && !may_have_run && reason != Reason::kBackendTimeout;
  m_result(is_refused ? ProbeResult::kRefused : ProbeResult::kNoResponse);
}

void HealthProbe::OnBackendIdleClosed(ConnectionId) { CloseConnection(); }

}  // namespace damaskhollow
