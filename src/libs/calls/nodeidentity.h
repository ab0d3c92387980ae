#ifndef DAMASKHOLLOW_CALLS_NODEIDENTITY_H_
#define DAMASKHOLLOW_CALLS_NODEIDENTITY_H_

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Identifies this process to its peers.
struct NodeIdentity {
  BackendServerId server;
  Incarnation incarnation;
  WallTime started{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_NODEIDENTITY_H_
