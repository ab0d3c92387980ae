#ifndef DAMASKHOLLOW_CALLS_MESSENGER_H_
#define DAMASKHOLLOW_CALLS_MESSENGER_H_

#include "base/ids.h"
#include "wire/messages.pb.h"
#include "wire/peertransport.h"

namespace damaskhollow {

// Carries messages between the roles of nodes. A message to this node itself is delivered without
// the network, on the calling thread for requests to the owner and on a worker thread for answers.
// May be used from any thread.
class Messenger {
 public:
  virtual ~Messenger() = default;

  virtual void Send(const BackendServerId& peer, wire::Envelope message) = 0;
  virtual void Reply(const ReplyRoute& route, wire::Envelope message) = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_MESSENGER_H_
