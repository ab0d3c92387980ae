#ifndef DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_
#define DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <zmq.hpp>

#include "base/endpoint.h"
#include "base/result.h"
#include "wire/peertransport.h"
#include "wire/socketevents.h"
#include "wire/zmqsocket.h"

namespace damaskhollow {

// A message received on an accepted link.
struct AcceptedMessage {
  std::string routing_id;
  std::string public_key;  // Empty unless the link is encrypted.
  zmq::message_t body;
};

// Accepts the links that other nodes dial. Wraps a ZeroMQ ROUTER socket and keeps a bounded send
// queue for each peer that reads too slowly. Used on the thread of PeerTransport only.
class AcceptedLinks {
 public:
  // `events` must outlive this object.
  explicit AcceptedLinks(SocketEvents& events) : m_events(events) {}

  // Opens the socket and binds it. Fails with kSocket. The other functions may be called only after
  // it has succeeded.
  Result<void> Listen(zmq::context_t& context, const LinkKeys& keys, const Endpoint& endpoint);

  // The file descriptor that becomes readable when the socket has events.
  int Descriptor();

  // Returns the next received message, or nothing if there is none. Does not block.
  std::optional<AcceptedMessage> Receive();

  // Sends a message, or queues it in order if it cannot be sent yet. Returns false if the message
  // is dropped because the peer is disconnected or its queue is full. In the latter case all later
  // messages on the link are dropped too.
  bool Send(const std::string& routing_id, std::string bytes);

  // Retries sending the queued messages.
  void Flush();

 private:
  // Messages that wait for a peer that reads too slowly.
  struct Backlog {
    std::deque<std::string> messages;
    std::size_t bytes = 0;
  };

  SocketResult<void> TrySend(const std::string& routing_id, const std::string& bytes);

  SocketEvents& m_events;
  std::optional<ZmqSocket> m_socket;
  // Links on which a reply was dropped while their peer was connected. Nothing more is sent on
  // them, so that the peer replaces the link and asks for the state of its calls.
  std::unordered_set<std::string> m_broken_links;
  std::unordered_map<std::string, Backlog> m_backlogs;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_ACCEPTEDLINKS_H_
