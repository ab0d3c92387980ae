#ifndef DAMASKHOLLOW_WIRE_PEERTRANSPORT_H_
#define DAMASKHOLLOW_WIRE_PEERTRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/result.h"
#include "wire/messages.pb.h"
#include "wire/socketevents.h"

namespace damaskhollow {

// Where to send replies to a received message. Valid until the link of the sender is closed.
struct ReplyRoute {
  BackendServerId peer;
  std::string routing_id;  // Empty if the message came on a dialled link or from this node.
};

// The ZeroMQ CURVE key pair of a node, Z85-encoded. If the keys are empty, links are neither
// encrypted nor authenticated.
struct LinkKeys {
  std::string public_key;
  std::string secret_key;

  bool IsSet() const { return !secret_key.empty(); }
};

// Receives the events of a PeerTransport and answers its queries. All functions are called on the
// thread of the transport.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  // The link to `peer` completed its handshake and can be used.
  virtual void OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state) = 0;

  // The link to `peer`, which was up, was replaced because it broke or stopped responding, or was
  // closed. Messages sent on it may or may not have arrived.
  virtual void OnLinkDown(const BackendServerId& peer) = 0;

  // Any message except those that the transport handles itself to keep its links up.
  virtual void OnMessage(const ReplyRoute& route, wire::Envelope message) = 0;

  // `message` was not passed to the network, so that `peer` never receives it.
  virtual void OnSendFailed(const BackendServerId& peer, wire::Envelope message) = 0;

  // Whether calls wait for messages from `peer`. Only then is a link that stopped responding
  // detected within a second.
  virtual bool HasOutstandingCalls(const BackendServerId& peer) const = 0;

  // The state that this node reports in Hello replies and Pongs.
  virtual wire::OwnerState LocalOwnerState() const = 0;

  // Whether a node with this id, and with this public key if links are encrypted, may connect. An
  // empty `peer` stands for any node, for checks of the key before the id of the node is known.
  virtual bool IsAllowedPeer(const BackendServerId& peer, const std::string& public_key) const = 0;

  // A message of `bytes` was sent to `peer`.
  virtual void OnSent(const BackendServerId& peer, const wire::Envelope& message,
                      std::size_t bytes) = 0;

  // A control message, which is one that does not belong to a call, was received.
  virtual void OnControlReceived(const BackendServerId& peer, std::size_t bytes) = 0;

  // Calls to ZeroMQ sockets were interrupted or failed `count` times since the last notification.
  virtual void OnSocketEvents(SocketEvent event, std::uint64_t count) = 0;
};

// Whether the message does not belong to a call. Such messages count against the budget
// measuring_bytes_per_second.
bool IsControlMessage(const wire::Envelope& message);

// Intervals of the link health checks.
struct LinkTimings {
  std::uint32_t connect_retry_ms = 25;
  std::uint32_t busy_ping_delay_ms = 200;   // Silence until a ping if calls are outstanding.
  std::uint32_t idle_ping_delay_ms = 5000;  // Silence until a ping on an idle link.
  std::uint32_t pong_timeout_ms = 400;      // Silence after a ping until the link counts as broken.
  bool replace_silent_links = true;
};

struct TransportOptions {
  BackendServerId self;
  Incarnation incarnation;
  Endpoint listen;
  LinkKeys keys;
  LinkTimings timings;
};

// Owns all ZeroMQ links of a node and runs them on one thread. The node dials one link to each peer
// that it sends calls or gossip to, and accepts links from other nodes. Control messages that wait
// to be sent go before the messages of calls. The member functions may be called from any thread.
class PeerTransport {
 public:
  PeerTransport(TransportOptions options, PeerHandler& handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds the listening socket. Fails with kSocket or kInvalidKey.
  Result<void> Start();

  // Closes all links and ends the thread. Messages that have not been sent yet are dropped.
  void Stop();

  // Dials `peer` unless there is a link to it already. Replaces a link that has another endpoint or
  // key.
  void OpenLink(const BackendServerId& peer, const Endpoint& endpoint,
                const std::string& public_key);

  void CloseLink(const BackendServerId& peer);

  // Sends on the dialled link to `peer`. Calls PeerHandler::OnSendFailed if the link is not up or
  // does not accept the message.
  void Send(const BackendServerId& peer, wire::Envelope message);

  // Sends a reply on the accepted link that a message came from. The reply is dropped if that link
  // is closed.
  void Reply(const ReplyRoute& route, wire::Envelope message);

 private:
  class Worker;
  std::unique_ptr<Worker> m_worker;
};

// Generates a new CURVE key pair. Fails with kInvalidKey if ZeroMQ was built without CURVE.
Result<LinkKeys> GenerateLinkKeys();

// Derives the public key from a Z85-encoded secret key. Fails with kInvalidKey.
Result<LinkKeys> LinkKeysFromSecret(const std::string& secret_key);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_PEERTRANSPORT_H_
