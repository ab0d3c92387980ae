#ifndef DAMASKHOLLOW_NODE_SHAREDROUTER_H_
#define DAMASKHOLLOW_NODE_SHAREDROUTER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "declaration/declaration.h"
#include "policy/ownerclock.h"
#include "policy/router.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// The router and the owners' clocks, shared by the ingress shards under one lock.
class SharedRouter {
 public:
  SharedRouter(const std::string& strategy, Place place, std::uint64_t seed);

  void SetDeclaration(std::shared_ptr<const Declaration> declaration);
  void SetEligible(const BackendServerId& server, bool eligible);
  void SetReachable(const BackendServerId& server, bool reachable);

  // Notes what an owner says of itself.
  void NoteState(const BackendServerId& server, const wire::OwnerState& state);

  void NoteSent(const BackendServerId& server, CallId attempt);
  void NoteEnded(const BackendServerId& server, CallId attempt, AttemptResult result);

  // Attempts sent to the server that have not ended.
  std::size_t Outstanding(const BackendServerId& server) const;

  // Notes bytes of an answer from another region.
  void NotePaidLinkBytes(std::size_t bytes);

  RoutingChoice Choose(const RoutingRequest& request);
  std::optional<ExpiryStamp> Stamp(const BackendServerId& server, Duration remaining) const;

 private:
  mutable std::mutex m_lock;
  Router m_router;
  OwnerClocks m_clocks;
  std::map<BackendServerId, std::size_t> m_outstanding;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_SHAREDROUTER_H_
