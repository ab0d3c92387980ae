#include "wire/peertransport.h"

#include <QSocketNotifier>
#include <QTimer>
#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

#include "base/time.h"
#include "logging/logger.h"
#include "runtime/eventthread.h"
#include "wire/acceptedlinks.h"
#include "wire/dialledlink.h"
#include "wire/peerauthenticator.h"
#include "wire/sendqueue.h"
#include "wire/zmqsocket.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kTickInterval{25};
// Links with outstanding calls or an unanswered ping are checked ten times a second. The descriptor
// of a socket signals a lost connection, so that other links are only checked for due pings, once a
// second.
constexpr unsigned kTicksPerBusyCheck = 4;
constexpr unsigned kTicksPerIdleCheck = 40;

// Interruptions and peers that left are part of normal operation; the others need attention.
LogLevel LevelOf(SocketEvent event) {
  const bool is_expected = event == SocketEvent::kInterrupted || event == SocketEvent::kPeerGone;
  return is_expected ? LogLevel::kInfo : LogLevel::kWarning;
}

// Extracts the server id from a routing id "ID#incarnation#number".
BackendServerId PeerFromRoutingId(const std::string& routing_id) {
  return BackendServerId(routing_id.substr(0, routing_id.find('#')));
}

}  // namespace

bool IsControlMessage(const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kHello:
    case wire::Envelope::kHelloReply:
    case wire::Envelope::kPing:
    case wire::Envelope::kPong:
    case wire::Envelope::kGossip:
    case wire::Envelope::kConfigurationQuery:
    case wire::Envelope::kConfigurationPart:
      return true;
    default:
      return false;
  }
}

class PeerTransport::Worker {
 public:
  Worker(TransportOptions options, PeerHandler& handler)
      : m_options(std::move(options)), m_handler(handler) {}

  EventThread& Thread() { return m_thread; }
  // Runs `send` on the thread, in the order of SendQueue. May be called from any thread.
  void PostSend(bool is_control, SendQueue::Task send);
  Result<void> Start();
  void Stop();
  void OpenLink(const BackendServerId& peer, const Endpoint& endpoint,
                const std::string& public_key);
  void CloseLink(const BackendServerId& peer);
  void Send(const BackendServerId& peer, wire::Envelope message);
  void Reply(const ReplyRoute& route, const wire::Envelope& message);

 private:
  void Connect(const BackendServerId& peer, DialledLink& link);
  void Replace(const BackendServerId& peer, DialledLink& link);
  bool SendOnLink(const BackendServerId& peer, DialledLink& link, const wire::Envelope& message);
  void ReadLink(const BackendServerId& peer);
  void ReadAccepted();
  void HandleAcceptedMessage(const AcceptedMessage& accepted);
  void HandleDialledMessage(const BackendServerId& peer, DialledLink& link,
                            const zmq::message_t& bytes);
  void Tick();
  bool IsCheckDue(const BackendServerId& peer, const DialledLink& link) const;
  void CheckLink(const BackendServerId& peer, DialledLink& link, TimePoint now);
  void CheckConnection(const BackendServerId& peer);
  void ReportSocketEvents();

  TransportOptions m_options;
  PeerHandler& m_handler;
  SendQueue m_sends;
  SocketEvents m_events;
  std::optional<zmq::context_t> m_context;
  std::unique_ptr<PeerAuthenticator> m_authenticator;
  std::unique_ptr<QSocketNotifier> m_authenticator_notifier;
  std::unique_ptr<AcceptedLinks> m_accepted;
  std::unique_ptr<QSocketNotifier> m_accepted_notifier;
  std::unique_ptr<QTimer> m_timer;
  std::map<BackendServerId, DialledLink> m_links;
  std::uint64_t m_next_link_number = 1;
  std::uint64_t m_next_ping = 1;
  unsigned m_tick_number = 0;
  bool m_is_stopped = false;
  EventThread m_thread{"peers"};  // Declared last, so that it ends before the members that its
                                  // tasks use are destroyed.
};

void PeerTransport::Worker::PostSend(bool is_control, SendQueue::Task send) {
  m_sends.Push(is_control, std::move(send));
  m_thread.Post([this] {
    if (const SendQueue::Task next = m_sends.Pop()) next();
  });
}

Result<void> PeerTransport::Worker::Start() {
  try {
    m_context.emplace(1);
  } catch (const zmq::error_t& error) {
    return Failure{FailureCode::kSocket, ToString(m_options.listen), error.what()};
  }
  if (m_options.keys.IsSet()) {
    m_authenticator = std::make_unique<PeerAuthenticator>(
        [this](const std::string& public_key) {
          return m_handler.IsAllowedPeer(BackendServerId(), public_key);
        },
        m_events);
    if (Result<void> result = m_authenticator->Listen(*m_context); !result) return result;
    m_authenticator_notifier =
        std::make_unique<QSocketNotifier>(m_authenticator->Descriptor(), QSocketNotifier::Read);
    QObject::connect(m_authenticator_notifier.get(), &QSocketNotifier::activated,
                     m_authenticator_notifier.get(), [this] { m_authenticator->AnswerRequests(); });
  }
  m_accepted = std::make_unique<AcceptedLinks>(m_events);
  if (Result<void> result = m_accepted->Listen(*m_context, m_options.keys, m_options.listen);
      !result) {
    return result;
  }
  m_accepted_notifier =
      std::make_unique<QSocketNotifier>(m_accepted->Descriptor(), QSocketNotifier::Read);
  QObject::connect(m_accepted_notifier.get(), &QSocketNotifier::activated,
                   m_accepted_notifier.get(), [this] { ReadAccepted(); });
  m_timer = std::make_unique<QTimer>();
  m_timer->setTimerType(Qt::PreciseTimer);
  QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] { Tick(); });
  m_timer->start(kTickInterval);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PeerTransport::Worker::Stop() {
  m_is_stopped = true;
  ReportSocketEvents();
  m_timer.reset();
  m_links.clear();
  m_accepted_notifier.reset();
  m_accepted.reset();
  m_authenticator_notifier.reset();
  m_authenticator.reset();
}

void PeerTransport::Worker::OpenLink(const BackendServerId& peer, const Endpoint& endpoint,
                                     const std::string& public_key) {
  if (m_is_stopped) return;
  const auto existing = m_links.find(peer);
  if (existing != m_links.end()) {
    if (existing->second.RemoteEndpoint() == endpoint &&
        existing->second.PublicKey() == public_key) {
      return;
    }
    CloseLink(peer);
  }
  DialledLink& link = m_links.emplace(peer, DialledLink(endpoint, public_key)).first->second;
  Connect(peer, link);
}

void PeerTransport::Worker::CloseLink(const BackendServerId& peer) {
  const auto found = m_links.find(peer);
  if (found == m_links.end()) return;
  const bool was_up = found->second.CurrentState() == DialledLink::State::kUp;
  m_links.erase(found);
  if (was_up) m_handler.OnLinkDown(peer);
}

void PeerTransport::Worker::Connect(const BackendServerId& peer, DialledLink& link) {
  const std::string routing_id = m_options.self.Value() + "#" +
                                 std::to_string(m_options.incarnation.value) + "#" +
                                 std::to_string(m_next_link_number++);
  const SocketResult<void> connected = link.Connect(
      *m_context, routing_id, m_options.keys, MonotonicNow(),
      [this, peer] {
        ReadLink(peer);
        CheckConnection(peer);
      },
      m_events);
  if (connected) return;
  EventLine(LogPart::kLink, LogLevel::kWarning, "link_not_opened")
      .With("server", peer.Value())
      .With("endpoint", ToString(link.RemoteEndpoint()))
      .With("detail", SocketErrorText(connected.error()));
}

void PeerTransport::Worker::Replace(const BackendServerId& peer, DialledLink& link) {
  const bool was_up = link.CurrentState() == DialledLink::State::kUp;
  Connect(peer, link);
  if (!was_up) return;
  EventLine(LogPart::kLink, LogLevel::kWarning, "link_replaced").With("server", peer.Value());
  m_handler.OnLinkDown(peer);
}

bool PeerTransport::Worker::SendOnLink(const BackendServerId& peer, DialledLink& link,
                                       const wire::Envelope& message) {
  const std::string bytes = message.SerializeAsString();
  if (!link.Send(bytes)) return false;
  m_handler.OnSent(peer, message, bytes.size());
  return true;
}

void PeerTransport::Worker::Send(const BackendServerId& peer, wire::Envelope message) {
  const auto found = m_links.find(peer);
  const bool is_up =
      found != m_links.end() && found->second.CurrentState() == DialledLink::State::kUp;
  if (!is_up || !SendOnLink(peer, found->second, message)) {
    m_handler.OnSendFailed(peer, std::move(message));
    return;
  }
  // The descriptor of a ZeroMQ socket is edge-triggered, and sending may have consumed the edge for
  // received messages.
  ReadLink(peer);
}

void PeerTransport::Worker::Reply(const ReplyRoute& route, const wire::Envelope& message) {
  if (m_is_stopped) return;
  const std::string bytes = message.SerializeAsString();
  const std::size_t size = bytes.size();
  if (m_accepted->Send(route.routing_id, bytes)) m_handler.OnSent(route.peer, message, size);
  ReadAccepted();
}

void PeerTransport::Worker::ReadLink(const BackendServerId& peer) {
  // Handling a message may close or replace the link, so it is looked up for each message.
  for (;;) {
    const auto found = m_links.find(peer);
    if (found == m_links.end()) return;
    const std::optional<zmq::message_t> bytes = found->second.Receive(MonotonicNow());
    if (!bytes) return;
    HandleDialledMessage(peer, found->second, *bytes);
  }
}

void PeerTransport::Worker::HandleDialledMessage(const BackendServerId& peer, DialledLink& link,
                                                 const zmq::message_t& bytes) {
  wire::Envelope message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    EventLine(LogPart::kLink, LogLevel::kWarning, "malformed_message").With("server", peer.Value());
    return;
  }
  if (IsControlMessage(message)) m_handler.OnControlReceived(peer, bytes.size());
  if (message.has_hello_reply() && link.CurrentState() == DialledLink::State::kAwaitingHelloReply) {
    link.OnHelloReply();
    m_handler.OnLinkUp(peer, message.hello_reply().state());
    return;
  }
  m_handler.OnMessage(ReplyRoute{peer, {}}, std::move(message));
}

void PeerTransport::Worker::ReadAccepted() {
  while (std::optional<AcceptedMessage> accepted = m_accepted->Receive()) {
    HandleAcceptedMessage(*accepted);
  }
}

void PeerTransport::Worker::HandleAcceptedMessage(const AcceptedMessage& accepted) {
  const ReplyRoute route{PeerFromRoutingId(accepted.routing_id), accepted.routing_id};
  if (!m_handler.IsAllowedPeer(route.peer, accepted.public_key)) {
    EventLine(LogPart::kLink, LogLevel::kWarning, "unknown_peer")
        .With("server", route.peer.Value());
    return;
  }
  wire::Envelope message;
  if (!message.ParseFromArray(accepted.body.data(), static_cast<int>(accepted.body.size()))) {
    EventLine(LogPart::kLink, LogLevel::kWarning, "malformed_message")
        .With("server", route.peer.Value());
    return;
  }
  if (IsControlMessage(message)) m_handler.OnControlReceived(route.peer, accepted.body.size());
  wire::Envelope answer;
  if (message.has_hello()) {
    *answer.mutable_hello_reply()->mutable_state() = m_handler.LocalOwnerState();
    Reply(route, answer);
  } else if (message.has_ping()) {
    answer.mutable_pong()->set_sequence(message.ping().sequence());
    *answer.mutable_pong()->mutable_state() = m_handler.LocalOwnerState();
    Reply(route, answer);
  } else {
    m_handler.OnMessage(route, std::move(message));
  }
}

bool PeerTransport::Worker::IsCheckDue(const BackendServerId& peer, const DialledLink& link) const {
  if (link.CurrentState() != DialledLink::State::kUp) return true;
  if (m_tick_number % kTicksPerIdleCheck == 0) return true;
  if (m_tick_number % kTicksPerBusyCheck != 0) return false;
  return link.IsAwaitingReply() || m_handler.HasOutstandingCalls(peer);
}

void PeerTransport::Worker::Tick() {
  const TimePoint now = MonotonicNow();
  ++m_tick_number;
  std::vector<BackendServerId> peers;
  for (const auto& [peer, link] : m_links) {
    if (IsCheckDue(peer, link)) peers.push_back(peer);
  }
  for (const BackendServerId& peer : peers) {
    const auto found = m_links.find(peer);
    if (found != m_links.end()) CheckLink(peer, found->second, now);
  }
  m_accepted->Flush();
  ReadAccepted();
  if (m_tick_number % kTicksPerIdleCheck == 0) ReportSocketEvents();
}

void PeerTransport::Worker::ReportSocketEvents() {
  m_events.TakeAll([this](const SocketEvents::Entry& entry) {
    EventLine(LogPart::kLink, LevelOf(entry.event), "socket_events")
        .With("kind", SocketEventName(entry.event))
        .With("count", static_cast<std::int64_t>(entry.count))
        .With("error", entry.last_error == 0 ? std::string("none")
                                             : std::generic_category().message(entry.last_error));
    m_handler.OnSocketEvents(entry.event, entry.count);
  });
}

void PeerTransport::Worker::CheckConnection(const BackendServerId& peer) {
  const auto found = m_links.find(peer);
  if (found == m_links.end()) return;
  DialledLink& link = found->second;
  if (link.CurrentState() == DialledLink::State::kUp && !link.HasConnection()) Replace(peer, link);
}

void PeerTransport::Worker::CheckLink(const BackendServerId& peer, DialledLink& link,
                                      TimePoint now) {
  const bool is_busy =
      link.CurrentState() == DialledLink::State::kUp && m_handler.HasOutstandingCalls(peer);
  wire::Envelope message;
  switch (link.NextAction(is_busy, m_options.timings, now)) {
    case DialledLink::Action::kNone:
      break;
    case DialledLink::Action::kSendHello:
      message.mutable_hello()->set_server_id(m_options.self.Value());
      message.mutable_hello()->set_incarnation(m_options.incarnation.value);
      if (SendOnLink(peer, link, message)) link.RecordHelloSent(now);
      break;
    case DialledLink::Action::kSendPing:
      message.mutable_ping()->set_sequence(m_next_ping++);
      SendOnLink(peer, link, message);
      link.RecordPingSent(now);
      break;
    case DialledLink::Action::kReplace:
      Replace(peer, link);
      return;
  }
  ReadLink(peer);
}

PeerTransport::PeerTransport(TransportOptions options, PeerHandler& handler)
    : m_worker(std::make_unique<Worker>(std::move(options), handler)) {}

PeerTransport::~PeerTransport() { Stop(); }

Result<void> PeerTransport::Start() {
  Result<void> result = BOOST_OUTCOME_V2_NAMESPACE::success();
  m_worker->Thread().RunAndWait([this, &result] { result = m_worker->Start(); });
  return result;
}

void PeerTransport::Stop() {
  m_worker->Thread().Post([worker = m_worker.get()] { worker->Stop(); });
  m_worker->Thread().Stop();
}

void PeerTransport::OpenLink(const BackendServerId& peer, const Endpoint& endpoint,
                             const std::string& public_key) {
  m_worker->Thread().Post(
      [this, peer, endpoint, public_key] { m_worker->OpenLink(peer, endpoint, public_key); });
}

void PeerTransport::CloseLink(const BackendServerId& peer) {
  m_worker->Thread().Post([this, peer] { m_worker->CloseLink(peer); });
}

void PeerTransport::Send(const BackendServerId& peer, wire::Envelope message) {
  const bool is_control = IsControlMessage(message);
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  m_worker->PostSend(is_control,
                     [this, peer, shared] { m_worker->Send(peer, std::move(*shared)); });
}

void PeerTransport::Reply(const ReplyRoute& route, wire::Envelope message) {
  const bool is_control = IsControlMessage(message);
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  m_worker->PostSend(is_control, [this, route, shared] { m_worker->Reply(route, *shared); });
}

}  // namespace damaskhollow
