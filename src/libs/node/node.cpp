#include "node/node.h"

#include <QFile>
#include <QJsonArray>
#include <algorithm>
#include <array>
#include <utility>

#include "fleet/linkplan.h"
#include "logging/logger.h"
#include "policy/descriptorbudget.h"
#include "runtime/descriptorlimit.h"
#include "runtime/errorboundary.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr int kCallerBacklog = 512;
// The limit of open descriptors can be changed from outside while the process runs.
constexpr std::chrono::seconds kDescriptorCheckInterval{1};
// How long a draining node must be idle before it stops. The final responses are handed to the peer
// thread before the owner is idle, and need this time to reach the network.
constexpr std::chrono::milliseconds kResponseFlushTime{250};
// How long before its last responses a draining node withdraws the calls that wait at other nodes.
// Covers the owners' replies over a link between regions that loses packets.
constexpr std::chrono::milliseconds kWithdrawalTime{500};

// The counter of each SocketEvent, in the order of the enumeration.
constexpr std::array<Metric, static_cast<std::size_t>(SocketEvent::kCount)> kSocketMetrics{
    Metric::kSocketInterruptions, Metric::kSocketQueueFull,   Metric::kSocketPeerGone,
    Metric::kRepliesDropped,      Metric::kSocketNoResources, Metric::kSocketInvalidArgument,
    Metric::kSocketFailures};

BytePurpose PurposeOf(const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kResponseChunk:
    case wire::Envelope::kRefused:
    case wire::Envelope::kCallFailed:
      return BytePurpose::kAnswers;
    case wire::Envelope::kLoadQuery:
    case wire::Envelope::kLoadAnswer:
      return BytePurpose::kLoadQueries;
    case wire::Envelope::kGossip:
      return BytePurpose::kGossip;
    case wire::Envelope::kConfigurationQuery:
    case wire::Envelope::kConfigurationPart:
      return BytePurpose::kDocuments;
    case wire::Envelope::kHello:
    case wire::Envelope::kHelloReply:
    case wire::Envelope::kPing:
    case wire::Envelope::kPong:
      return BytePurpose::kLinks;
    default:
      return BytePurpose::kCalls;
  }
}

Result<std::string> ReadFile(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure{FailureCode::kFileUnreadable, path, file.errorString().toStdString()};
  }
  return file.readAll().toStdString();
}

}  // namespace

Node::Node(NodeSettings settings, PlatformBindings bindings)
    : m_settings(std::move(settings)),
      m_bindings(std::move(bindings)),
      m_identity{m_settings.server_id, Incarnation{SystemSeed()}, WallNow()},
      m_body_budget(m_settings.body_memory_bytes),
      m_router(m_settings.routing_strategy,
               NodeLocation{m_settings.server_id, m_settings.region, m_settings.data_centre},
               SystemSeed()),
      m_crash_guard(m_settings.crash_guard),
      m_owner(m_identity, m_metrics, *this, m_crash_guard, m_bindings.convention, m_request_log),
      m_crash_reporter(m_identity.server, m_identity.incarnation, m_crash_guard, m_metrics, *this) {
  m_owner.SetViewGate(&m_view_gate);
  m_router.SetViewGate(&m_view_gate);
}

Node::~Node() {
  m_timer.stop();
  m_admin.reset();
  if (m_transport) m_transport->Stop();
  m_owner.SetLoadProbe(nullptr);
  if (m_backend_pool) m_backend_pool->Stop();
  if (m_ingress) m_ingress->Stop();
  for (const std::unique_ptr<EventThread>& worker : m_workers) worker->Stop();
}

Result<void> Node::Start() {
  Result<LinkKeys> keys = LoadKeys();
  if (!keys) return keys.error();
  RaiseDescriptorLimit(m_settings.max_descriptors);
  if (const std::size_t limit = DescriptorLimit(m_settings.max_descriptors);
      limit < kMinDescriptors) {
    return Failure{FailureCode::kInvalidSetting, "open descriptors",
                   std::to_string(limit) + " are allowed, at least " +
                       std::to_string(kMinDescriptors) + " are needed"};
  }
  UpdateDescriptorLimit();
  for (std::size_t index = 0; index < m_settings.workers; ++index) {
    m_workers.push_back(std::make_unique<EventThread>("worker-" + std::to_string(index)));
  }
  m_backend_pool = std::make_unique<BackendPool>(m_workers, m_owner);
  m_owner.SetBackendPool(m_backend_pool.get());
  m_transport = std::make_unique<PeerTransport>(
      TransportOptions{m_identity.server, m_identity.incarnation, m_settings.peer_listen,
                       keys.value(),
                       LinkTimings{.replace_silent_links = m_settings.silent_link_detection}},
      *this);
  const AbsentSince absent_since = [this](const BackendServerId& server) {
    return m_control->Members().AbsentSince(server);
  };
  m_owner.SetAbsentSince(absent_since);
  m_ingress = std::make_unique<IngressService>(
      IngressContext{m_identity, m_metrics, *this, m_router, m_crash_guard, m_body_budget,
                     m_declaration, m_caller_connections, m_caller_connection_limit,
                     m_refused_connection_limit, [this] { UpdateDescriptorLimit(); }, absent_since,
                     m_bindings.convention, m_bindings.own_service, m_request_log,
                     m_configuration_version, m_settings.memory_bytes, &m_held_bytes},
      m_workers);
  m_control = std::make_unique<ControlService>(
      ControlContext{m_settings, m_identity, m_metrics, *this, m_router, m_owner, *m_transport,
                     m_view_gate, m_bindings},
      [this](const auto& declaration, std::uint64_t version) {
        ApplyDeclaration(declaration, version);
      });
  if (m_bindings.convention.decode_load != nullptr) {
    m_load_probe = std::make_unique<LoadProbe>(m_bindings.convention, m_metrics, m_owner);
    m_owner.SetLoadProbe([this] { m_load_probe->Request(); });
  }
  if (Result<void> result = m_transport->Start(); !result) return result;
  if (Result<void> result = m_control->Start(); !result) return result;
  if (Result<void> result = m_ingress->Listen(m_settings.listen, kCallerBacklog); !result) {
    return result;
  }

  m_admin = std::make_unique<AdminServer>(
      m_metrics, m_bindings.ready_path, [this] { return Status(); }, [this] { return IsReady(); });
  if (Result<void> result = m_admin->Listen(m_settings.admin_listen); !result) return result;
  connect(&m_timer, &QTimer::timeout, this, &Node::Tick);
  m_timer.start(kTickInterval);
  EventLine(LogPart::kNode, LogLevel::kInfo, "started")
      .With("server", m_identity.server.Value())
      .With("region", m_settings.region.Value())
      .With("data_centre", m_settings.data_centre.Value())
      .With("listen", ToString(m_settings.listen))
      .With("peer_listen", ToString(m_settings.peer_listen))
      .With("admin_listen", ToString(m_settings.admin_listen))
      .With("workers", static_cast<std::int64_t>(m_settings.workers))
      .With("strategy", m_settings.routing_strategy);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<LinkKeys> Node::LoadKeys() const {
  if (m_settings.secret_key_file.empty()) return LinkKeys{};
  Result<std::string> text = ReadFile(m_settings.secret_key_file);
  if (!text) return text.error();
  const std::string& key = text.value();
  return LinkKeysFromSecret(key.substr(0, key.find_first_of("\r\n")));
}

void Node::ApplyDeclaration(const std::shared_ptr<const Declaration>& declaration,
                            std::uint64_t version) {
  m_declaration.store(declaration);
  m_configuration_version.store(version);
  m_metrics.Set(Metric::kConfigurationVersion, version);
  m_metrics.Set(Metric::kServers, declaration->backend_servers.size());
  m_router.SetDeclaration(declaration);
  m_owner.ApplyDeclaration(declaration, version);
  UpdateDescriptorLimit();
  if (m_load_probe) m_load_probe->Configure(*declaration, m_identity.server);
  m_router.RecordOwnerState(m_identity.server, m_owner.State());
  m_router.SetReachable(m_identity.server, true);
  EventLine(LogPart::kConfiguration, LogLevel::kInfo, "in_force")
      .With("version", static_cast<std::int64_t>(version))
      .With("servers", static_cast<std::int64_t>(declaration->backend_servers.size()));
}

void Node::UpdateDescriptorLimit() {
  const std::size_t descriptors = DescriptorLimit(m_settings.max_descriptors);
  DescriptorNeeds needs;
  if (const std::shared_ptr<const Declaration> declaration = m_declaration.load()) {
    needs.links = std::min(declaration->backend_servers.size(), kMaxLinks);
    const BackendServer* own = declaration->FindServer(m_identity.server);
    if (own != nullptr) needs.slots = own->slots;
  }
  const std::size_t limit =
      CallerConnectionLimit(m_settings.caller_connections, descriptors, needs);
  m_refused_connection_limit.store(RefusedConnectionLimit(limit, descriptors, needs));
  m_metrics.Set(Metric::kDescriptorLimit, descriptors);
  m_metrics.Set(Metric::kCallerConnectionLimit, limit);
  if (limit == m_caller_connection_limit.exchange(limit)) return;
  const bool is_enough = limit == m_settings.caller_connections;
  EventLine(LogPart::kNode, is_enough ? LogLevel::kInfo : LogLevel::kWarning, "connection_limit")
      .With("callers", static_cast<std::int64_t>(limit))
      .With("configured", static_cast<std::int64_t>(m_settings.caller_connections))
      .With("descriptors", static_cast<std::int64_t>(descriptors))
      .With("reserved", static_cast<std::int64_t>(ReservedDescriptors(needs)));
}

void Node::Tick() {
  const TimePoint now = MonotonicNow();
  // Must be first: closes the view gate after a pause.
  RunGuarded("control tick", [&] { m_control->Tick(now); });
  RunGuarded("owner tick", [&] { m_owner.Tick(now); });
  RunGuarded("crash check", [&] { CheckBackendCrashes(); });
  if (now - m_descriptors_checked >= kDescriptorCheckInterval) {
    m_descriptors_checked = now;
    UpdateDescriptorLimit();
    m_ingress->EnforceConnectionLimit();
  }
  m_metrics.Set(Metric::kCallerConnections, m_caller_connections.load());
  m_metrics.Set(Metric::kUnexpectedErrors, UnexpectedErrors());
  m_metrics.Set(Metric::kLogLinesDropped, DroppedLogLines());
  m_metrics.Set(Metric::kFailureLinesDropped, m_request_log.DroppedFailureLines());
  m_metrics.Set(Metric::kSlownessPercent, m_owner.State().slowness_percent());
  if (m_on_drained) CheckDrained();
}

void Node::CheckBackendCrashes() {
  const std::shared_ptr<const Declaration> declaration = m_declaration.load();
  const BackendServer* server = declaration ? declaration->FindServer(m_identity.server) : nullptr;
  if (server == nullptr) return;
  const Result<Endpoint> endpoint = ParseEndpoint(server->address);
  if (!endpoint) return;
  m_crash_reporter.Tick(
      endpoint.value(),
      [this](TimePoint before) { return m_owner.HasRunningCallDispatchedBefore(before); },
      [this] {
        const std::lock_guard lock(m_peers_lock);
        return std::vector<BackendServerId>(m_linked_peers.begin(), m_linked_peers.end());
      });
}

bool Node::IsReady() const {
  const std::shared_ptr<const Declaration> declaration = m_declaration.load();
  return declaration && !declaration->backend_servers.empty() && !m_on_drained && !m_is_closing;
}

void Node::StartDrain(std::function<void()> done) {
  if (m_on_drained) return;
  m_on_drained = std::move(done);
  m_drain_started = MonotonicNow();
  LogEvent(LogPart::kNode, LogLevel::kInfo, "stopping");
  m_owner.StartDrain();
}

void Node::CheckDrained() {
  const TimePoint now = MonotonicNow();
  const TimePoint closing =
      m_drain_started + std::chrono::milliseconds(m_settings.drain_announce_ms);
  const TimePoint end = closing + std::chrono::milliseconds(m_settings.drain_timeout_ms);
  if (now < closing) return;
  const TimePoint last_response = end - kResponseFlushTime;
  if (!std::exchange(m_is_closing, true)) m_ingress->StartClosing(last_response);
  if (now >= last_response - kWithdrawalTime && !std::exchange(m_is_withdrawing, true)) {
    m_ingress->WithdrawWaitingCalls();
    m_owner.RefuseWaitingCalls(Reason::kDraining);
  }
  if (now >= last_response && !std::exchange(m_has_ended_calls, true)) {
    m_ingress->EndRemainingCalls();
  }
  const bool has_work = !m_owner.IsIdle() || m_ingress->CallerConnections() > 0;
  if (has_work) m_idle_since.reset();
  if (!has_work && !m_idle_since) m_idle_since = now;
  const bool is_idle = m_idle_since && now - *m_idle_since > kResponseFlushTime;
  const bool is_timed_out = now > end;
  if (!is_idle && !is_timed_out) return;
  EventLine(LogPart::kNode, LogLevel::kInfo, "stopped")
      .With("outcome", is_idle ? "drained" : "timeout");
  std::exchange(m_on_drained, nullptr)();
}

void Node::Send(const BackendServerId& peer, wire::Envelope message) {
  if (peer == m_identity.server) {
    return m_owner.HandleMessage(ReplyRoute{peer, {}}, std::move(message));
  }
  m_transport->Send(peer, std::move(message));
}

void Node::Reply(const ReplyRoute& route, wire::Envelope message) {
  if (route.routing_id.empty()) {
    return m_ingress->HandleOwnerMessage(route.peer, std::move(message));
  }
  m_transport->Reply(route, std::move(message));
}

void Node::OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state) {
  m_router.RecordOwnerState(peer, state);
  m_owner.RecordPeerState(peer, state);
  m_router.SetReachable(peer, true);
  {
    const std::lock_guard lock(m_peers_lock);
    m_linked_peers.insert(peer);
    m_metrics.Set(Metric::kLinksUp, m_linked_peers.size());
  }
  m_control->OnLinkUp(peer, state);
  m_ingress->HandleLinkUp(peer);
}

void Node::OnLinkDown(const BackendServerId& peer) {
  m_metrics.Add(Metric::kLinksReplaced);
  m_router.SetReachable(peer, false);
  {
    const std::lock_guard lock(m_peers_lock);
    m_linked_peers.erase(peer);
    m_metrics.Set(Metric::kLinksUp, m_linked_peers.size());
  }
  m_control->OnLinkDown(peer);
  m_ingress->HandleLinkDown(peer);
}

void Node::OnMessage(const ReplyRoute& route, wire::Envelope message) {
  switch (message.body_case()) {
    case wire::Envelope::kCallRequest:
    case wire::Envelope::kCancel:
    case wire::Envelope::kStatusQuery:
    case wire::Envelope::kCredit:
    case wire::Envelope::kClaimRelease:
    case wire::Envelope::kClaimReleased:
    case wire::Envelope::kLoadQuery:
      m_owner.HandleMessage(route, std::move(message));
      return;
    case wire::Envelope::kPong:
      m_router.RecordOwnerState(route.peer, message.pong().state());
      m_owner.RecordPeerState(route.peer, message.pong().state());
      m_control->OnPeerState(route.peer, message.pong().state());
      return;
    case wire::Envelope::kGossip:
      for (const wire::CrashReport& report : message.gossip().crash_reports()) {
        m_crash_guard.RecordReport(route.peer, report);
      }
      // A message with crash reports carries no other gossip.
      if (message.gossip().crash_reports_size() == 0) {
        m_control->HandleMessage(route, std::move(message));
      }
      return;
    case wire::Envelope::kConfigurationQuery:
    case wire::Envelope::kConfigurationPart:
      m_control->HandleMessage(route, std::move(message));
      return;
    default:
      m_ingress->HandleOwnerMessage(route.peer, std::move(message));
      return;
  }
}

void Node::OnSendFailed(const BackendServerId& peer, wire::Envelope message) {
  const bool is_control =
      message.has_gossip() || message.has_configuration_query() || message.has_configuration_part();
  if (is_control) return m_control->OnSendFailed(peer, std::move(message));
  m_owner.HandleSendFailed(message);
  m_ingress->HandleSendFailed(message);
}

bool Node::HasOutstandingCalls(const BackendServerId& peer) const {
  return m_router.Outstanding(peer) > 0;
}

wire::OwnerState Node::LocalOwnerState() const { return m_owner.State(); }

bool Node::IsAllowedPeer(const BackendServerId& peer, const std::string& public_key) const {
  const std::shared_ptr<const Declaration> declaration = m_declaration.load();
  if (!declaration) return peer.IsEmpty() ? false : m_settings.secret_key_file.empty();
  const bool needs_key = !m_settings.secret_key_file.empty();
  // Changes of a live inventory reach nodes at different times, so a peer may be valid although it
  // is not in the local declaration.
  if (m_bindings.has_live_inventory && !needs_key) return !peer.IsEmpty();
  for (const BackendServer& server : declaration->backend_servers) {
    const bool key_matches = !needs_key || server.peer_public_key == public_key;
    if (key_matches && (peer.IsEmpty() || server.id == peer)) return true;
  }
  return false;
}

void Node::OnSent(const BackendServerId& peer, const wire::Envelope& message, std::size_t bytes) {
  m_control->CountSent(peer, PurposeOf(message), IsControlMessage(message), bytes);
}

void Node::OnControlReceived(const BackendServerId&, std::size_t bytes) {
  m_metrics.Add(Metric::kControlBytesReceived, bytes);
}

void Node::OnSocketEvents(SocketEvent event, std::uint64_t count) {
  m_metrics.Add(kSocketMetrics[static_cast<std::size_t>(event)], count);
}

std::string Node::LoadFields() const {
  return "in_flight=" + std::to_string(m_metrics.Value(Metric::kInFlightCalls)) +
         " queued=" + std::to_string(m_metrics.Value(Metric::kQueuedCalls)) +
         " caller_connections=" + std::to_string(m_metrics.Value(Metric::kCallerConnections)) +
         " version=" + std::to_string(m_configuration_version.load());
}

QJsonObject Node::Status() const {
  const wire::OwnerState state = m_owner.State();
  QJsonObject json;
  json.insert("server", QString::fromStdString(m_identity.server.Value()));
  json.insert("region", QString::fromStdString(m_settings.region.Value()));
  json.insert("data_centre", QString::fromStdString(m_settings.data_centre.Value()));
  json.insert("configuration_version", static_cast<qint64>(m_configuration_version.load()));
  json.insert("draining", state.draining());
  json.insert("in_flight", static_cast<int>(state.in_flight()));
  json.insert("queued", static_cast<int>(state.queued()));
  json.insert("limit", static_cast<int>(state.limit()));
  QJsonArray peers;
  const std::lock_guard lock(m_peers_lock);
  for (const BackendServerId& peer : m_linked_peers) {
    peers.append(QString::fromStdString(peer.Value()));
  }
  json.insert("linked_peers", peers);
  m_control->AddStatus(json);
  return json;
}

}  // namespace damaskhollow
