#include "wire/peerauthenticator.h"

#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "runtime/errorboundary.h"

namespace damaskhollow {

namespace {

constexpr char kZapAddress[] = "inproc://zeromq.zap.01";
constexpr std::size_t kCurveKeyBytes = 32;
constexpr std::size_t kZ85KeyLength = 40;
constexpr std::size_t kCurveRequestFrames = 7;

// Returns an empty string if `key` does not have the length of a CURVE key.
std::string ToZ85(const zmq::message_t& key) {
  std::array<char, kZ85KeyLength + 1> text{};
  if (key.size() != kCurveKeyBytes) return {};
  zmq_z85_encode(text.data(), key.data<std::uint8_t>(), key.size());
  return text.data();
}

}  // namespace

PeerAuthenticator::PeerAuthenticator(KeyCheck is_allowed, SocketEvents& events)
    : m_is_allowed(std::move(is_allowed)), m_events(events) {}

Result<void> PeerAuthenticator::Listen(zmq::context_t& context) {
  const auto failure = [](SocketError error) {
    return Failure{FailureCode::kSocket, kZapAddress, std::string(SocketErrorText(error))};
  };
  SocketResult<ZmqSocket> socket = ZmqSocket::Open(
      context, zmq::socket_type::rep,
      [](zmq::socket_t& opened) { opened.set(zmq::sockopt::linger, 0); }, m_events);
  if (!socket) return failure(socket.error());
  m_socket = std::move(socket.value());
  if (const SocketResult<void> bound = m_socket->Bind(kZapAddress); !bound) {
    return failure(bound.error());
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

int PeerAuthenticator::Descriptor() { return m_socket->Descriptor(); }

void PeerAuthenticator::AnswerRequests() {
  while (AnswerNextRequest()) {
  }
}

bool PeerAuthenticator::AnswerNextRequest() {
  std::vector<zmq::message_t> frames;
  bool more = false;
  do {
    zmq::message_t frame;
    if (!m_socket->Receive(frame)) return false;
    more = frame.more();
    frames.push_back(std::move(frame));
  } while (more);

  // Frames: version, request id, domain, address, identity, mechanism, credentials.
  const bool is_curve =
      frames.size() == kCurveRequestFrames && frames[5].to_string_view() == "CURVE";
  const std::string key = is_curve ? ToZ85(frames[6]) : std::string();
  bool allowed = false;
  // The request must be answered in any case, as the socket receives no other one before.
  RunGuarded("key check", [&] { allowed = !key.empty() && m_is_allowed(key); });
  const std::string request_id = frames.size() > 1 ? frames[1].to_string() : std::string();
  const std::array<std::string_view, 6> answer{
      "1.0", request_id, allowed ? "200" : "400", allowed ? "OK" : "key not in the inventory",
      key,   ""};
  // If the answer cannot be sent, the handshake of the connection times out.
  return static_cast<bool>(m_socket->Send(answer));
}

}  // namespace damaskhollow
