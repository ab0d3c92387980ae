#include "wire/peerauthenticator.h"

#include <array>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskhollow {

namespace {

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

PeerAuthenticator::PeerAuthenticator(zmq::context_t& context, KeyCheck is_allowed)
    : m_socket(context, zmq::socket_type::rep), m_is_allowed(std::move(is_allowed)) {
  m_socket.set(zmq::sockopt::linger, 0);
  m_socket.bind("inproc://zeromq.zap.01");
}

int PeerAuthenticator::Descriptor() const { return m_socket.get(zmq::sockopt::fd); }

void PeerAuthenticator::AnswerRequests() {
  while (AnswerNextRequest()) {
  }
}

bool PeerAuthenticator::AnswerNextRequest() {
  std::vector<zmq::message_t> frames;
  do {
    zmq::message_t frame;
    if (!m_socket.recv(frame, zmq::recv_flags::dontwait)) return false;
    frames.push_back(std::move(frame));
  } while (m_socket.get(zmq::sockopt::rcvmore));

  // Frames: version, request id, domain, address, identity, mechanism, credentials.
  const bool is_curve =
      frames.size() == kCurveRequestFrames && frames[5].to_string_view() == "CURVE";
  const std::string key = is_curve ? ToZ85(frames[6]) : std::string();
  const bool allowed = !key.empty() && m_is_allowed(key);
  const std::string request_id = frames.size() > 1 ? frames[1].to_string() : std::string();
  const std::array<std::string_view, 6> answer{
      "1.0", request_id, allowed ? "200" : "400", allowed ? "OK" : "key not in the inventory",
      key,   ""};
  for (std::size_t index = 0; index < answer.size(); ++index) {
    const bool more = index + 1 < answer.size();
    m_socket.send(zmq::buffer(answer[index]),
                  more ? zmq::send_flags::sndmore : zmq::send_flags::none);
  }
  return true;
}

}  // namespace damaskhollow
