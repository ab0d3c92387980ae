#ifndef DAMASKHOLLOW_WIRE_DIALLEDLINK_H_
#define DAMASKHOLLOW_WIRE_DIALLEDLINK_H_

#include <QObject>
#include <QSocketNotifier>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <zmq.hpp>

#include "base/endpoint.h"
#include "base/time.h"
#include "wire/peertransport.h"
#include "wire/zmqsocket.h"

namespace damaskhollow {

// One link that this node dialled: a ZeroMQ DEALER socket and the state of its health check.
// Sockets do not reconnect. A link that breaks or stops responding gets a new socket with a new
// routing id, so that replies on the old connection cannot be mistaken for replies on the new one.
// Used on the thread of PeerTransport only.
class DialledLink {
 public:
  enum class State { kConnecting, kAwaitingHelloReply, kUp };

  // What the owner of the link has to do after a health check.
  enum class Action { kNone, kSendHello, kSendPing, kReplace };

  DialledLink(Endpoint endpoint, std::string public_key);

  // Closes the previous socket and opens a new one. Calls `on_readable` when messages may be
  // available. If no socket can be opened, the link has none, and NextAction asks for another
  // attempt after a delay that grows with each attempt. `events` must outlive this object.
  SocketResult<void> Connect(zmq::context_t& context, const std::string& routing_id,
                             const LinkKeys& keys, TimePoint now, std::function<void()> on_readable,
                             SocketEvents& events);

  // Sends one message. Fails with kWouldBlock if there is no connection that accepts it.
  SocketResult<void> Send(const std::string& bytes);

  // Returns the next received message, or nothing if there is none. Does not block.
  std::optional<zmq::message_t> Receive(TimePoint now);

  // Checks the health of the link and returns the action that is due. `is_busy` tells whether calls
  // are outstanding on the link; if so, a ping is due after a shorter silence.
  Action NextAction(bool is_busy, const LinkTimings& timings, TimePoint now) const;

  void RecordHelloSent(TimePoint now);
  void RecordPingSent(TimePoint now);
  void OnHelloReply();

  State CurrentState() const { return m_state; }
  // Whether a Hello or Ping has not been answered yet.
  bool IsAwaitingReply() const { return m_unanswered_since.has_value(); }

  // Whether the socket has a connection that accepts messages.
  bool HasConnection() const;

  const Endpoint& RemoteEndpoint() const { return m_endpoint; }
  const std::string& PublicKey() const { return m_public_key; }

 private:
  Endpoint m_endpoint;
  std::string m_public_key;
  State m_state = State::kConnecting;
  std::unique_ptr<ZmqSocket> m_socket;  // Null if none could be opened.
  std::unique_ptr<QSocketNotifier> m_notifier;
  TimePoint m_connected_at{};
  TimePoint m_last_received{};
  std::optional<TimePoint> m_unanswered_since;  // When the unanswered Hello or Ping was sent.
  std::uint32_t m_connect_attempts = 0;         // Connection attempts since the link was last up.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_DIALLEDLINK_H_
