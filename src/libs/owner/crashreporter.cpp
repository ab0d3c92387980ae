#include "owner/crashreporter.h"

#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// The operating system resets all connections of a crashed process at once. Calls that still run
// after this time show that the process has not crashed.
constexpr std::chrono::milliseconds kConnectionResetWindow{500};
// A connection attempt that is neither accepted nor refused within this time is inconclusive.
constexpr std::chrono::milliseconds kConnectTimeout{1500};

}  // namespace

CrashReporter::CrashReporter(BackendServerId self, Incarnation incarnation,
                             SharedCrashGuard& crash_guard, MetricsRegistry& metrics,
                             Messenger& messenger)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_crash_guard(crash_guard),
      m_metrics(metrics),
      m_messenger(messenger) {}

CrashReporter::~CrashReporter() = default;

void CrashReporter::Tick(const Endpoint& server,
                         const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
                         const LinkedPeers& linked_peers) {
  const std::vector<std::string> cleared = m_crash_guard.PopClearedSuspects();
  if (!cleared.empty()) SendReport(cleared, true, linked_peers);
  CheckAborted(server, has_running_call_dispatched_before, linked_peers);
}

void CrashReporter::CheckAborted(
    const Endpoint& server,
    const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
    const LinkedPeers& linked_peers) {
  const std::optional<AbortedCalls> aborted = m_crash_guard.Aborted();
  if (!aborted) return;
  const Duration age = MonotonicNow() - aborted->first;
  if (m_probe == Probe::kNone) {
    if (!has_running_call_dispatched_before(aborted->first)) return StartProbe(server);
    if (age > kConnectionResetWindow) m_crash_guard.DismissAborted();
    return;
  }
  if (m_probe == Probe::kRunning && age < kConnectTimeout) return;
  const bool is_crash = m_probe == Probe::kRefused;
  m_socket.reset();
  m_probe = Probe::kNone;
  if (!is_crash) return m_crash_guard.DismissAborted();
  const std::vector<std::string> digests = m_crash_guard.ConfirmCrash();
  m_metrics.Add(Metric::kBackendCrashes);
  EventLine(LogPart::kOwner, LogLevel::kWarning, "server_crashed")
      .With("in_flight", static_cast<std::int64_t>(digests.size()));
  SendReport(digests, false, linked_peers);
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

void CrashReporter::SendReport(std::span<const std::string> digests, bool completed,
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
