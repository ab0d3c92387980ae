#ifndef DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
#define DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_

#include <functional>
#include <optional>
#include <string>
#include <zmq.hpp>

#include "base/result.h"
#include "wire/zmqsocket.h"

namespace damaskhollow {

// Handler for ZeroMQ's authentication requests (ZAP 1.0, RFC 27). Accepts a connection if
// `is_allowed` accepts its CURVE public key.
class PeerAuthenticator {
 public:
  using KeyCheck = std::function<bool(const std::string& public_key)>;

  // `events` must outlive this object.
  PeerAuthenticator(KeyCheck is_allowed, SocketEvents& events);

  // Opens and binds the in-process socket for ZAP requests. A context can have only one such
  // handler. Fails with kSocket. The other functions may be called only after it has succeeded.
  Result<void> Listen(zmq::context_t& context);

  // The file descriptor that becomes readable when requests may be pending.
  int Descriptor();

  // Answers all pending requests. Does not block.
  void AnswerRequests();

 private:
  // Returns false if no request is pending.
  bool AnswerNextRequest();

  KeyCheck m_is_allowed;
  SocketEvents& m_events;
  std::optional<ZmqSocket> m_socket;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
