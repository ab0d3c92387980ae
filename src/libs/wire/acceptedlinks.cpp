#include "wire/acceptedlinks.h"

#include <utility>

namespace damaskhollow {

namespace {

constexpr int kHighWaterMark = 1000;
constexpr std::int64_t kMaxMessageBytes = 9LL * 1024LL * 1024LL;
constexpr std::size_t kMaxBacklogBytes = 2UL * 1024UL * 1024UL;
// Heartbeats detect peers that disappeared without closing their link, so that ZeroMQ frees it.
constexpr int kHeartbeatIntervalMs = 15000;
constexpr int kHeartbeatTimeoutMs = 45000;

}  // namespace

AcceptedLinks::AcceptedLinks(zmq::context_t& context, const LinkKeys& keys)
    : m_socket(context, zmq::socket_type::router) {
  m_socket.set(zmq::sockopt::linger, 0);
  m_socket.set(zmq::sockopt::router_mandatory, true);
  m_socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  m_socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  m_socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  m_socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  m_socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  if (!keys.IsSet()) return;
  m_socket.set(zmq::sockopt::curve_server, true);
  m_socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

Result<void> AcceptedLinks::Listen(const Endpoint& endpoint) {
  try {
    m_socket.bind("tcp://" + ToString(endpoint));
  } catch (const zmq::error_t& error) {
    return Failure{FailureCode::kSocket, ToString(endpoint), error.what()};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int AcceptedLinks::Descriptor() const { return m_socket.get(zmq::sockopt::fd); }

std::optional<AcceptedMessage> AcceptedLinks::Receive() {
  zmq::message_t routing_id;
  if (!m_socket.recv(routing_id, zmq::recv_flags::dontwait)) return std::nullopt;
  AcceptedMessage message{routing_id.to_string(), {}, {}};
  // Nodes send messages of a single frame. Of a multi-frame message from any other program only the
  // last frame is used.
  while (m_socket.get(zmq::sockopt::rcvmore)) {
    if (!m_socket.recv(message.body, zmq::recv_flags::dontwait)) break;
  }
  const char* user = zmq_msg_gets(message.body.handle(), "User-Id");
  if (user != nullptr) message.public_key = user;
  return message;
}

bool AcceptedLinks::Send(const std::string& routing_id, std::string bytes) {
  const auto queued = m_backlogs.find(routing_id);
  if (queued == m_backlogs.end()) {
    const SendResult result = TrySend(routing_id, bytes);
    if (result != SendResult::kQueueFull) return result == SendResult::kSent;
  }
  Backlog& backlog = m_backlogs[routing_id];
  if (backlog.bytes + bytes.size() > kMaxBacklogBytes) return false;
  backlog.bytes += bytes.size();
  backlog.messages.push_back(std::move(bytes));
  return true;
}

void AcceptedLinks::Flush() {
  for (auto entry = m_backlogs.begin(); entry != m_backlogs.end();) {
    Backlog& backlog = entry->second;
    SendResult result = SendResult::kSent;
    while (!backlog.messages.empty()) {
      result = TrySend(entry->first, backlog.messages.front());
      if (result != SendResult::kSent) break;
      backlog.bytes -= backlog.messages.front().size();
      backlog.messages.pop_front();
    }
    entry = backlog.messages.empty() || result == SendResult::kDisconnected
                ? m_backlogs.erase(entry)
                : std::next(entry);
  }
}

AcceptedLinks::SendResult AcceptedLinks::TrySend(const std::string& routing_id,
                                                 const std::string& bytes) {
  try {
    if (!m_socket.send(zmq::buffer(routing_id),
                       zmq::send_flags::dontwait | zmq::send_flags::sndmore)) {
      return SendResult::kQueueFull;
    }
    m_socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    return SendResult::kSent;
  } catch (const zmq::error_t&) {
    return SendResult::kDisconnected;  // ROUTER_MANDATORY reports a peer that is gone as
                                       // EHOSTUNREACH.
  }
}

}  // namespace damaskhollow
