#ifndef DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
#define DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_

#include <functional>
#include <string>
#include <zmq.hpp>

namespace damaskhollow {

// Answers ZeroMQ's authentication requests (ZAP 1.0, RFC 27): a connection is let in if
// `is_allowed` accepts its public key.
class PeerAuthenticator {
 public:
  using KeyCheck = std::function<bool(const std::string& public_key)>;

  // Binds the socket that ZeroMQ asks; there can be one in each context.
  PeerAuthenticator(zmq::context_t& context, KeyCheck is_allowed);

  // The descriptor that becomes readable when a request may wait.
  int Descriptor() const;

  // Answers the waiting requests.
  void AnswerRequests();

 private:
  bool AnswerNextRequest();

  zmq::socket_t m_socket;
  KeyCheck m_is_allowed;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_PEERAUTHENTICATOR_H_
