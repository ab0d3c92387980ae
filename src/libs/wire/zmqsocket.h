#ifndef DAMASKHOLLOW_WIRE_ZMQSOCKET_H_
#define DAMASKHOLLOW_WIRE_ZMQSOCKET_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "base/result.h"
#include "wire/socketevents.h"

namespace damaskhollow {

// Why a call to a ZeroMQ socket had no effect.
enum class SocketError {
  kWouldBlock,       // There is no message, or no connection that accepts one.
  kPeerGone,         // The peer that the message is addressed to is disconnected.
  kNoResources,      // No descriptor, socket or memory is left.
  kInvalidArgument,  // ZeroMQ does not accept the endpoint or the value of an option.
  kFailed,           // Any other error, for instance because the context is terminated.
};

// Either a value or the reason why there is none.
template <class T>
using SocketResult = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, SocketError>;

// Returns the text of an error for logs.
std::string_view SocketErrorText(SocketError error);

// Owns a ZeroMQ socket and makes all calls to it. No function throws or blocks. Calls that a signal
// interrupts are repeated, as libzmq reports an interruption (EINTR) only before it has taken or
// returned a message. All other errors are counted in `events` and returned. Used on one thread.
class ZmqSocket {
 public:
  // Sets the options of a new socket.
  using Configure = std::function<void(zmq::socket_t& socket)>;

  // Opens a socket. `events` must outlive it. Fails with kNoResources, kInvalidArgument or kFailed.
  static SocketResult<ZmqSocket> Open(zmq::context_t& context, zmq::socket_type type,
                                      const Configure& configure, SocketEvents& events);

  SocketResult<void> Bind(const std::string& address);
  SocketResult<void> Connect(const std::string& address);

  // The file descriptor that becomes readable when the socket has events, or -1 if ZeroMQ does not
  // tell it.
  int Descriptor();

  // Whether the socket has a connection that accepts messages.
  bool IsWritable();

  // Receives one frame; `frame.more()` tells whether another frame of the message follows. Fails
  // with kWouldBlock if no message has arrived.
  SocketResult<void> Receive(zmq::message_t& frame);

  // Sends one message. If it fails, nothing is sent, unless the context is terminated.
  SocketResult<void> Send(std::span<const std::string_view> frames);

 private:
  ZmqSocket(zmq::socket_t socket, SocketEvents& events);

  // Calls `call`, which returns -1 and sets errno on failure, until it is not interrupted.
  template <class Call>
  SocketResult<void> Run(const Call& call);

  zmq::socket_t m_socket;
  SocketEvents* m_events;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_ZMQSOCKET_H_
