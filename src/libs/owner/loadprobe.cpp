#include "owner/loadprobe.h"

#include <QMetaObject>
#include <algorithm>
#include <charconv>
#include <string_view>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// The health path answers immediately; a later response does not reflect the present load.
constexpr std::chrono::milliseconds kProbeTimeout{20};
constexpr std::size_t kProbeBodyBytes = 64UL * 1024UL;
// Longer times would not fit; no server stays cold for a day.
constexpr double kMaxColdMs = 86400000.0;

// Returns how long the server stays cold according to a response of its health path; zero if the
// response does not tell.
Duration ColdTimeOf(const HttpResponseHead& head, const CallConvention& convention) {
  if (convention.cold.empty()) return Duration(0);
  const std::string_view text = FindHeader(head.headers, convention.cold);
  double milliseconds = 0.0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  if (!is_number || !(milliseconds > 0.0)) return Duration(0);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::min(milliseconds, kMaxColdMs)));
}

}  // namespace

LoadProbe::LoadProbe(const CallConvention& convention, MetricsRegistry& metrics,
                     OwnerService& owner)
    : m_convention(convention), m_metrics(metrics), m_owner(owner) {}

LoadProbe::~LoadProbe() { DiscardConnection(); }

void LoadProbe::Configure(const Declaration& declaration, const BackendServerId& self) {
  const BackendServer* server = declaration.FindServer(self);
  const Service* service = server == nullptr ? nullptr : declaration.FindService(server->service);
  m_path.clear();
  if (service == nullptr || !service->health) return;
  m_path = service->health->path;
  const Result<Endpoint> address = ParseEndpoint(server->address);
  if (!address || address.value() == m_server) return;
  m_server = address.value();
  if (!m_is_running) DiscardConnection();
}

void LoadProbe::Request() {
  QMetaObject::invokeMethod(
      this, [this] { Start(); }, Qt::QueuedConnection);
}

void LoadProbe::Start() {
  if (m_is_running) return;
  if (m_path.empty()) return m_owner.OnProbeFailed();
  m_metrics.Add(Metric::kProbes);
  m_is_running = true;
  m_load.clear();
  if (!m_connection || !m_connection->IsIdle() || m_connection->HasUnreadInput()) {
    DiscardConnection();
    m_connection =
        std::make_unique<BackendConnection>(ConnectionId{m_next_connection++}, m_server, *this);
  }
  HttpRequest request;
  request.method = "GET";
  request.target = m_path;
  request.headers.push_back({"Host", ToString(m_server)});
  m_connection->Send(request, kProbeBodyBytes, kProbeTimeout);
}

void LoadProbe::OnBackendResponsePart(ConnectionId, ResponsePart part, bool reusable) {
  if (part.head) {
    m_load = std::string(FindHeader(part.head->headers, m_convention.load));
    m_cold_left = ColdTimeOf(*part.head, m_convention);
  }
  if (!part.last) return;
  m_is_running = false;
  if (!reusable) DiscardConnection();
  const std::optional<ServerLoad> load = m_convention.decode_load(m_load);
  if (load) return m_owner.OnProbedLoad(*load, m_cold_left);
  m_owner.OnProbeFailed();
}

void LoadProbe::OnBackendFailed(ConnectionId, Reason reason, bool) {
  EventLine(LogPart::kOwner, LogLevel::kDebug, "load_probe_failed")
      .With("reason", InfoOf(reason).name)
      .With("rule", FaultName(m_connection->Fault()));
  m_is_running = false;
  DiscardConnection();
  m_owner.OnProbeFailed();
}

void LoadProbe::OnBackendIdleClosed(ConnectionId) { DiscardConnection(); }

// The connection may be the sender of the event that is being handled, so it is deleted later.
void LoadProbe::DiscardConnection() {
  if (!m_connection) return;
  m_connection->Abort();
  m_connection.release()->deleteLater();
}

}  // namespace damaskhollow
