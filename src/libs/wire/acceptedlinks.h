#ifndef DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_
#define DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <zmq.hpp>

#include "base/endpoint.h"
#include "base/result.h"
#include "wire/peertransport.h"

namespace damaskhollow {

// A message from an accepted link.
struct AcceptedMessage {
  std::string routing_id;
  std::string public_key;  // Empty unless the link is encrypted.
  zmq::message_t body;
};

// The listening end of a node: a ZeroMQ ROUTER socket, with a bounded queue for peers that read too
// slowly.
class AcceptedLinks {
 public:
  AcceptedLinks(zmq::context_t& context, const LinkKeys& keys);

  // Fails with kSocket if the endpoint cannot be bound.
  Result<void> Listen(const Endpoint& endpoint);

  int Descriptor() const;

  std::optional<AcceptedMessage> Receive();

  // Sends in order; what the peer cannot take yet waits. Returns false if the link is gone or its
  // queue is full.
  bool Send(const std::string& routing_id, std::string bytes);

  // Tries again to send what waits.
  void Flush();

 private:
  struct Backlog {
    std::deque<std::string> messages;
    std::size_t bytes = 0;
  };

  enum class SendResult { kSent, kQueueFull, kDisconnected };
  SendResult TrySend(const std::string& routing_id, const std::string& bytes);

  zmq::socket_t m_socket;
  std::unordered_map<std::string, Backlog> m_backlogs;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_
