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

namespace damaskhollow {

// Where to send what belongs to a received message. Valid as long as the sender's link lives.
struct ReplyRoute {
  BackendServerId peer;
  std::string routing_id;  // Empty when the peer is this node.
};

// The keys of a node for ZeroMQ CURVE, in Z85. Empty keys: links are neither encrypted nor
// authenticated.
struct LinkKeys {
  std::string public_key;
  std::string secret_key;

  bool IsSet() const { return !secret_key.empty(); }
};

// Gets what happens on the links. Members are called on the transport's thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  // The link to `peer` answered and can be used.
  virtual void OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state) = 0;

  // The link to `peer` went silent and is replaced. Messages sent on it may or may not have
  // arrived.
  virtual void OnLinkDown(const BackendServerId& peer) = 0;

  virtual void OnMessage(const ReplyRoute& route, wire::Envelope message) = 0;

  // The message was not handed to the network, so the peer will never see it.
  virtual void OnSendFailed(const BackendServerId& peer, wire::Envelope message) = 0;

  // Whether calls wait for something from `peer`; only then is a quiet link checked within a
  // second.
  virtual bool HasOutstandingCalls(const BackendServerId& peer) const = 0;

  // What this node says of itself in Hello replies and Pongs.
  virtual wire::OwnerState LocalOwnerState() const = 0;

  // Whether a node with this id, and with this public key if links are encrypted, may connect.
  virtual bool IsAllowedPeer(const BackendServerId& peer, const std::string& public_key) const = 0;

  // Counts bytes of messages that do not belong to a call.
  virtual void OnControlBytes(const BackendServerId& peer, std::size_t sent,
                              std::size_t received) = 0;
};

// How quickly silent links are noticed.
struct LinkTimings {
  std::uint32_t connect_retry_ms = 25;
  std::uint32_t busy_ping_delay_ms = 200;   // Nothing received with calls outstanding: ping.
  std::uint32_t idle_ping_delay_ms = 5000;  // Nothing received on an idle link: ping.
  std::uint32_t pong_timeout_ms = 400;      // No message after a ping: silent.
  bool replace_silent_links = true;
};

struct TransportOptions {
  BackendServerId self;
  Incarnation incarnation;
  Endpoint listen;
  LinkKeys keys;
  LinkTimings timings;
};

// All ZeroMQ links of a node, on one thread. The node dials one link to each peer that it sends
// calls or gossip to and accepts links from others. Commands may be called from any thread.
class PeerTransport {
 public:
  PeerTransport(TransportOptions options, PeerHandler& handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds the listening socket. Fails with kSocket.
  Result<void> Start();

  // Closes all links and ends the thread. What has not been sent is dropped.
  void Stop();

  // Dials `peer` unless there is a link already; a link to another endpoint or key is replaced.
  void OpenLink(const BackendServerId& peer, const Endpoint& endpoint,
                const std::string& public_key);

  void CloseLink(const BackendServerId& peer);

  // Sends on the dialled link to `peer`.
  void Send(const BackendServerId& peer, wire::Envelope message);

  // Sends back on the link that a message came from. Dropped if that link is gone.
  void Reply(const ReplyRoute& route, wire::Envelope message);

 private:
  class Worker;
  std::unique_ptr<Worker> m_worker;
};

// A new key pair for CURVE. Fails with kInvalidKey if ZeroMQ was built without CURVE.
Result<LinkKeys> GenerateLinkKeys();

// The key pair that belongs to a secret key. Fails with kInvalidKey.
Result<LinkKeys> LinkKeysFromSecret(const std::string& secret_key);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_PEERTRANSPORT_H_
