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

namespace damaskhollow {

// One dialled link: a ZeroMQ DEALER socket and what is known of its health. A socket is never
// reconnected; a link that breaks or goes silent gets a new socket with a new routing id, so that
// answers on the old one cannot be taken for new ones.
class DialledLink {
 public:
  enum class State { kConnecting, kAwaitingHelloReply, kUp };

  // What a check of the link calls for.
  enum class Action { kNone, kSendHello, kSendPing, kReplace };

  DialledLink(Endpoint endpoint, std::string public_key);

  // Opens a new socket, closing the one before. `on_readable` is called when messages may wait.
  void Connect(zmq::context_t& context, const std::string& routing_id, const LinkKeys& keys,
               TimePoint now, std::function<void()> on_readable);

  // Hands one message to the network; false if no connection can take it.
  bool Send(const std::string& bytes, TimePoint now);

  // The next waiting message.
  std::optional<zmq::message_t> Receive(TimePoint now);

  // Decides what the link needs now. `is_busy` says whether calls wait for the peer.
  Action NextAction(bool is_busy, const LinkTimings& timings, TimePoint now) const;

  void RecordHelloSent(TimePoint now);
  void RecordPingSent(TimePoint now);
  void OnHelloReply();

  State CurrentState() const { return m_state; }
  // Whether a Hello or Ping is unanswered.
  bool IsAwaitingReply() const { return m_unanswered_since.has_value(); }

  // Whether there is a connection that takes messages.
  bool HasConnection() const;

  const Endpoint& RemoteEndpoint() const { return m_endpoint; }
  const std::string& PublicKey() const { return m_public_key; }

 private:
  Endpoint m_endpoint;
  std::string m_public_key;
  State m_state = State::kConnecting;
  std::unique_ptr<zmq::socket_t> m_socket;
  std::unique_ptr<QSocketNotifier> m_notifier;
  TimePoint m_connected_at{};
  TimePoint m_last_received{};
  std::optional<TimePoint> m_unanswered_since;  // When the unanswered Hello or Ping was sent.
  std::uint32_t m_connect_attempts = 0;         // Connections tried since the link was last up.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_DIALLEDLINK_H_
