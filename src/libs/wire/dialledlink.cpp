#include "wire/dialledlink.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/keepalive.h"

namespace damaskhollow {

namespace {

// ZeroMQ does not report a refused connection, so the first attempt has a short time-out. It
// doubles with each attempt, as the TCP, ZMTP and CURVE handshakes take about 300 ms between
// regions.
constexpr std::chrono::milliseconds kFirstConnectTimeout{250};
constexpr std::uint32_t kMaxConnectDoublings = 3;
constexpr std::chrono::milliseconds kHelloTimeout{600};
constexpr int kHighWaterMark = 1000;
constexpr std::int64_t kMaxMessageBytes = 9LL * 1024LL * 1024LL;

// Lets a connection that has gone silent break although nothing is due on it. Only the dialling
// side probes, since it replaces the link, and a probe for each side would double the packets.
void EnableKeepAlive(zmq::socket_t& socket) {
  const KeepAlive keep_alive;
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, static_cast<int>(keep_alive.probe_delay.count()));
  socket.set(zmq::sockopt::tcp_keepalive_intvl,
             static_cast<int>(keep_alive.probe_interval.count()));
  socket.set(zmq::sockopt::tcp_keepalive_cnt, keep_alive.max_lost_probes);
  socket.set(zmq::sockopt::tcp_maxrt, static_cast<int>(keep_alive.BreaksAfter().count()));
}

void Configure(zmq::socket_t& socket, const std::string& routing_id, const LinkKeys& keys,
               const std::string& server_key) {
  socket.set(zmq::sockopt::linger, 0);
  // Otherwise messages are queued and delivered late, when the peer is back.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::reconnect_ivl, -1);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  socket.set(zmq::sockopt::routing_id, routing_id);
  EnableKeepAlive(socket);
  if (!keys.IsSet() || server_key.empty()) return;
  socket.set(zmq::sockopt::curve_serverkey, server_key);
  socket.set(zmq::sockopt::curve_publickey, keys.public_key);
  socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

Duration ConnectTimeout(std::uint32_t attempts) {
  return kFirstConnectTimeout * (1U << std::min(attempts, kMaxConnectDoublings));
}

}  // namespace

DialledLink::DialledLink(Endpoint endpoint, std::string public_key)
    : m_endpoint(std::move(endpoint)), m_public_key(std::move(public_key)) {}

SocketResult<void> DialledLink::Connect(zmq::context_t& context, const std::string& routing_id,
                                        const LinkKeys& keys, TimePoint now,
                                        std::function<void()> on_readable, SocketEvents& events) {
  m_notifier.reset();
  m_socket.reset();
  m_state = State::kConnecting;
  m_connected_at = now;
  m_last_received = now;
  m_unanswered_since.reset();
  ++m_connect_attempts;
  SocketResult<ZmqSocket> socket = ZmqSocket::Open(
      context, zmq::socket_type::dealer,
      [&](zmq::socket_t& opened) { Configure(opened, routing_id, keys, m_public_key); }, events);
  if (!socket) return socket.error();
  if (SocketResult<void> connected = socket.value().Connect("tcp://" + ToString(m_endpoint));
      !connected) {
    return connected;
  }
  m_socket = std::make_unique<ZmqSocket>(std::move(socket.value()));
  m_notifier = std::make_unique<QSocketNotifier>(m_socket->Descriptor(), QSocketNotifier::Read);
  QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(),
                   std::move(on_readable));
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

SocketResult<void> DialledLink::Send(const std::string& bytes) {
  if (!m_socket) return SocketError::kWouldBlock;
  return m_socket->Send(std::array<std::string_view, 1>{bytes});
}

std::optional<zmq::message_t> DialledLink::Receive(TimePoint now) {
  zmq::message_t message;
  if (!m_socket || !m_socket->Receive(message)) return std::nullopt;
  m_last_received = now;
  if (m_state == State::kUp) m_unanswered_since.reset();
  return message;
}

DialledLink::Action DialledLink::NextAction(bool is_busy, const LinkTimings& timings,
                                            TimePoint now) const {
  if (m_state == State::kConnecting) {
    return now - m_connected_at > ConnectTimeout(m_connect_attempts - 1) ? Action::kReplace
                                                                         : Action::kSendHello;
  }
  if (m_state == State::kAwaitingHelloReply) {
    return now - *m_unanswered_since > kHelloTimeout || !HasConnection() ? Action::kReplace
                                                                         : Action::kNone;
  }
  if (!timings.replace_silent_links) return Action::kNone;
  // Applies to idle links too. A restarted peer would otherwise miss messages until the idle ping,
  // which is due only after 5 s.
  if (!HasConnection()) return Action::kReplace;
  if (m_unanswered_since) {
    const bool is_silent =
        now - *m_unanswered_since > std::chrono::milliseconds(timings.pong_timeout_ms);
    return is_silent ? Action::kReplace : Action::kNone;
  }
  const std::chrono::milliseconds ping_delay(is_busy ? timings.busy_ping_delay_ms
                                                     : timings.idle_ping_delay_ms);
  return now - m_last_received > ping_delay ? Action::kSendPing : Action::kNone;
}

void DialledLink::RecordHelloSent(TimePoint now) {
  m_state = State::kAwaitingHelloReply;
  m_unanswered_since = now;
}

void DialledLink::RecordPingSent(TimePoint now) { m_unanswered_since = now; }

void DialledLink::OnHelloReply() {
  m_state = State::kUp;
  m_unanswered_since.reset();
  m_connect_attempts = 0;
}

bool DialledLink::HasConnection() const { return m_socket && m_socket->IsWritable(); }

}  // namespace damaskhollow
