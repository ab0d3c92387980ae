#include "wire/zmqsocket.h"

#include <array>
#include <boost/container/small_vector.hpp>
#include <cerrno>
#include <utility>

namespace damaskhollow {

namespace {

// The largest message of nodes, an answer of PeerAuthenticator, has this many frames.
constexpr std::size_t kInlineFrames = 6;

// What an error number of libzmq means to the caller.
struct ErrorClass {
  int number;
  SocketError error;
  SocketEvent event;
};

constexpr std::array kErrorClasses{
    ErrorClass{EHOSTUNREACH, SocketError::kPeerGone, SocketEvent::kPeerGone},
    ErrorClass{EMFILE, SocketError::kNoResources, SocketEvent::kNoResources},
    ErrorClass{ENFILE, SocketError::kNoResources, SocketEvent::kNoResources},
    ErrorClass{ENOMEM, SocketError::kNoResources, SocketEvent::kNoResources},
    ErrorClass{ENOBUFS, SocketError::kNoResources, SocketEvent::kNoResources},
    ErrorClass{EINVAL, SocketError::kInvalidArgument, SocketEvent::kInvalidArgument},
};

// Counts the error, except EAGAIN, which is part of normal operation.
SocketError Classify(int number, SocketEvents& events) {
  if (number == EAGAIN) return SocketError::kWouldBlock;
  for (const ErrorClass& known : kErrorClasses) {
    if (known.number != number) continue;
    events.Count(known.event, number);
    return known.error;
  }
  events.Count(SocketEvent::kFailed, number);
  return SocketError::kFailed;
}

}  // namespace

std::string_view SocketErrorText(SocketError error) {
  static constexpr std::array<std::string_view, 5> kTexts{
      "no connection accepts the message", "the peer is disconnected",
      "no descriptor, socket or memory is left", "ZeroMQ does not accept the address or an option",
      "the call failed"};
  return kTexts[static_cast<std::size_t>(error)];
}

ZmqSocket::ZmqSocket(zmq::socket_t socket, SocketEvents& events)
    : m_socket(std::move(socket)), m_events(&events) {}

SocketResult<ZmqSocket> ZmqSocket::Open(zmq::context_t& context, zmq::socket_type type,
                                        const Configure& configure, SocketEvents& events) {
  try {
    zmq::socket_t socket(context, type);
    configure(socket);
    return ZmqSocket(std::move(socket), events);
  } catch (const zmq::error_t& error) {
    return Classify(error.num(), events);
  }
}

template <class Call>
SocketResult<void> ZmqSocket::Run(const Call& call) {
  while (call() == -1) {
    const int number = zmq_errno();
    if (number != EINTR) return Classify(number, *m_events);
    m_events->Count(SocketEvent::kInterrupted, number);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

SocketResult<void> ZmqSocket::Bind(const std::string& address) {
  return Run([&] { return zmq_bind(m_socket.handle(), address.c_str()); });
}

SocketResult<void> ZmqSocket::Connect(const std::string& address) {
  return Run([&] { return zmq_connect(m_socket.handle(), address.c_str()); });
}

int ZmqSocket::Descriptor() {
  int descriptor = -1;
  std::size_t size = sizeof(descriptor);
  const int status = zmq_getsockopt(m_socket.handle(), ZMQ_FD, &descriptor, &size);
  return status == 0 ? descriptor : -1;
}

bool ZmqSocket::IsWritable() {
  int ready = 0;
  std::size_t size = sizeof(ready);
  const SocketResult<void> result =
      Run([&] { return zmq_getsockopt(m_socket.handle(), ZMQ_EVENTS, &ready, &size); });
  return result && (static_cast<unsigned>(ready) & ZMQ_POLLOUT) != 0;
}

SocketResult<void> ZmqSocket::Receive(zmq::message_t& frame) {
  return Run([&] { return zmq_msg_recv(frame.handle(), m_socket.handle(), ZMQ_DONTWAIT); });
}

SocketResult<void> ZmqSocket::Send(std::span<const std::string_view> frames) {
  // A message that has begun cannot be taken back, so the memory of all frames is allocated first.
  boost::container::small_vector<zmq::message_t, kInlineFrames> messages;
  messages.reserve(frames.size());
  try {
    for (const std::string_view frame : frames) messages.emplace_back(frame.data(), frame.size());
  } catch (const zmq::error_t& error) {
    return Classify(error.num(), *m_events);
  }
  for (std::size_t index = 0; index < messages.size(); ++index) {
    const int flags = ZMQ_DONTWAIT | (index + 1 < messages.size() ? ZMQ_SNDMORE : 0);
    SocketResult<void> sent =
        Run([&] { return zmq_msg_send(messages[index].handle(), m_socket.handle(), flags); });
    if (!sent) return sent;
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace damaskhollow
