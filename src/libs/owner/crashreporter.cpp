#include "owner/crashreporter.h"

#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// The connections of a process that died are reset at once. Calls that still run after this time
// show that the process lives.
constexpr std::chrono::milliseconds kAbortWindow{500};
// A connection that is neither accepted nor refused in this time proves nothing.
constexpr std::chrono::milliseconds kProbeWindow{1500};

}  // namespace

CrashReporter::CrashReporter(BackendServerId self, Incarnation incarnation, SharedCrashGuard& guard,
                             MetricsRegistry& metrics, Messenger& messenger)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_guard(guard),
      m_metrics(metrics),
      m_messenger(messenger) {}

CrashReporter::~CrashReporter() = default;

void CrashReporter::Tick(const Endpoint& server, const RunsCallFrom& runs_call_from,
                         const LinkedPeers& linked_peers) {
  const std::vector<std::string> cleared = m_guard.TakeCleared();
  if (!cleared.empty()) Report(cleared, true, linked_peers);
  CheckAborted(server, runs_call_from, linked_peers);
}

void CrashReporter::CheckAborted(const Endpoint& server, const RunsCallFrom& runs_call_from,
                                 const LinkedPeers& linked_peers) {
  const std::optional<AbortedCalls> aborted = m_guard.Aborted();
  if (!aborted) return;
  const Duration age = MonotonicNow() - aborted->first;
  if (m_probe == Probe::kNone) {
    if (!runs_call_from(aborted->first)) return StartProbe(server);
    if (age > kAbortWindow) m_guard.DismissAborted();
    return;
  }
  if (m_probe == Probe::kRunning && age < kProbeWindow) return;
  const bool is_crash = m_probe == Probe::kRefused;
  m_socket.reset();
  m_probe = Probe::kNone;
  if (!is_crash) return m_guard.DismissAborted();
  const std::vector<std::string> digests = m_guard.ConfirmCrash();
  m_metrics.Add(Metric::kBackendCrashes);
  EventLine(LogPart::kOwner, LogLevel::kWarning, "server_crashed")
      .With("in_flight", static_cast<std::int64_t>(digests.size()));
  Report(digests, false, linked_peers);
}

void CrashReporter::StartProbe(const Endpoint& server) {
  m_probe = Probe::kRunning;
  m_socket = std::make_unique<QTcpSocket>();
  QObject::connect(m_socket.get(), &QTcpSocket::connected, m_socket.get(),
                   [this] { EndProbe(Probe::kConnected); });
  QObject::connect(m_socket.get(), &QTcpSocket::errorOccurred, m_socket.get(),
                   [this](QAbstractSocket::SocketError error) {
                     const bool refused = error == QAbstractSocket::ConnectionRefusedError;
                     EndProbe(refused ? Probe::kRefused : Probe::kConnected);
                   });
  m_socket->connectToHost(QString::fromStdString(server.address), server.port);
}

void CrashReporter::EndProbe(Probe result) {
  if (m_probe == Probe::kRunning) m_probe = result;
}

void CrashReporter::Report(std::span<const std::string> digests, bool completed,
                           const LinkedPeers& linked_peers) {
  wire::Envelope message;
  wire::CrashReport& report = *message.mutable_gossip()->add_crash_reports();
  report.set_owner_id(m_self.Value());
  report.set_owner_incarnation(m_incarnation.value);
  report.set_sequence(m_next_sequence++);
  report.set_completed(completed);
  for (const std::string& digest : digests) report.add_digests(digest);
  for (const BackendServerId& peer : linked_peers()) m_messenger.Send(peer, message);
}

}  // namespace damaskhollow
