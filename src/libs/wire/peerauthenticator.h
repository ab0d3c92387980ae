#ifndef DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
#define DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_

#include <functional>
#include <string>
#include <zmq.hpp>

namespace damaskhollow {

// Handler for ZeroMQ's authentication requests (ZAP 1.0, RFC 27). Accepts a connection if
// `is_allowed` accepts its CURVE public key.
class PeerAuthenticator {
 public:
  using KeyCheck = std::function<bool(const std::string& public_key)>;

  // Binds the in-process socket for ZAP requests. A context can have only one such handler.
  PeerAuthenticator(zmq::context_t& context, KeyCheck is_allowed);

  // The file descriptor that becomes readable when requests may be pending.
  int Descriptor() const;

  // Answers all pending requests. Does not block.
  void AnswerRequests();

 private:
  // Returns false if no request is pending.
  bool AnswerNextRequest();

  zmq::socket_t m_socket;
  KeyCheck m_is_allowed;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
