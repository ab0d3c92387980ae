#include "wire/acceptedlinks.h"

#include <array>
#include <string_view>
#include <utility>

namespace damaskhollow {

namespace {

constexpr int kHighWaterMark = 1000;
constexpr std::int64_t kMaxMessageBytes = 9LL * 1024LL * 1024LL;
constexpr std::size_t kMaxBrokenLinks = 1000;
constexpr std::size_t kMaxBacklogBytes = 2UL * 1024UL * 1024UL;
// Heartbeats detect peers that disappeared without closing their link, so that ZeroMQ frees it.
constexpr int kHeartbeatIntervalMs = 15000;
constexpr int kHeartbeatTimeoutMs = 45000;

void Configure(zmq::socket_t& socket, const LinkKeys& keys) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::router_mandatory, true);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  if (!keys.IsSet()) return;
  socket.set(zmq::sockopt::curve_server, true);
  socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

}  // namespace

Result<void> AcceptedLinks::Listen(zmq::context_t& context, const LinkKeys& keys,
                                   const Endpoint& endpoint) {
  const auto failure = [&](SocketError error) {
    return Failure{FailureCode::kSocket, ToString(endpoint), std::string(SocketErrorText(error))};
  };
  SocketResult<ZmqSocket> socket = ZmqSocket::Open(
      context, zmq::socket_type::router, [&](zmq::socket_t& opened) { Configure(opened, keys); },
      m_events);
  if (!socket) return failure(socket.error());
  m_socket = std::move(socket.value());
  const SocketResult<void> bound = m_socket->Bind("tcp://" + ToString(endpoint));
  if (!bound) return failure(bound.error());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int AcceptedLinks::Descriptor() { return m_socket->Descriptor(); }

std::optional<AcceptedMessage> AcceptedLinks::Receive() {
  zmq::message_t routing_id;
  if (!m_socket->Receive(routing_id)) return std::nullopt;
  AcceptedMessage message{routing_id.to_string(), {}, {}};
  // Nodes send messages of a single frame. Of a multi-frame message from any other program only the
  // last frame is used.
  bool more = routing_id.more();
  while (more) {
    if (!m_socket->Receive(message.body)) return std::nullopt;
    more = message.body.more();
  }
  const char* user = zmq_msg_gets(message.body.handle(), "User-Id");
  if (user != nullptr) message.public_key = user;
  return message;
}

bool AcceptedLinks::Send(const std::string& routing_id, std::string bytes) {
  if (m_broken_links.contains(routing_id)) return false;
  const auto queued = m_backlogs.find(routing_id);
  if (queued == m_backlogs.end()) {
    const SocketResult<void> sent = TrySend(routing_id, bytes);
    if (sent) return true;
    if (sent.error() == SocketError::kPeerGone) return false;
    m_events.Count(SocketEvent::kQueueFull, 0);
  }
  Backlog& backlog = m_backlogs[routing_id];
  if (backlog.bytes + bytes.size() > kMaxBacklogBytes) {
    m_events.Count(SocketEvent::kReplyDropped, 0);
    if (m_broken_links.size() >= kMaxBrokenLinks) m_broken_links.clear();
    m_broken_links.insert(routing_id);
    return false;
  }
  backlog.bytes += bytes.size();
  backlog.messages.push_back(std::move(bytes));
  return true;
}

void AcceptedLinks::Flush() {
  for (auto entry = m_backlogs.begin(); entry != m_backlogs.end();) {
    Backlog& backlog = entry->second;
    SocketResult<void> sent = BOOST_OUTCOME_V2_NAMESPACE::success();
    while (!backlog.messages.empty()) {
      sent = TrySend(entry->first, backlog.messages.front());
      if (!sent) break;
      backlog.bytes -= backlog.messages.front().size();
      backlog.messages.pop_front();
    }
    const bool is_waiting = !sent && sent.error() != SocketError::kPeerGone;
    entry = is_waiting ? std::next(entry) : m_backlogs.erase(entry);
  }
}

SocketResult<void> AcceptedLinks::TrySend(const std::string& routing_id, const std::string& bytes) {
  return m_socket->Send(std::array<std::string_view, 2>{routing_id, bytes});
}

}  // namespace damaskhollow
