#ifndef DAMASKHOLLOW_CALLS_MESSENGER_H_
#define DAMASKHOLLOW_CALLS_MESSENGER_H_

#include "base/ids.h"
#include "wire/messages.pb.h"
#include "wire/peertransport.h"

namespace damaskhollow {

// Sends messages between the ingress and owner roles of nodes. A message to this node itself does
// not go through the network: requests to the owner are delivered on the calling thread, responses
// on a worker thread. Thread-safe.
class Messenger {
 public:
  virtual ~Messenger() = default;

  // Sends a message to `peer`.
  virtual void Send(const BackendServerId& peer, wire::Envelope message) = 0;

  // Sends a message back to where a received message came from.
  virtual void Reply(const ReplyRoute& route, wire::Envelope message) = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_MESSENGER_H_
