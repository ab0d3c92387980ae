#ifndef DAMASKHOLLOW_CALLS_SHAREDROUTER_H_
#define DAMASKHOLLOW_CALLS_SHAREDROUTER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "calls/viewgate.h"
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
  void RecordOwnerState(const BackendServerId& server, const wire::OwnerState& state);

  void RecordSent(const BackendServerId& server, CallId attempt, std::size_t priority_index);
  void RecordEnded(const BackendServerId& server, CallId attempt, AttemptResult result);

  // Attempts sent to the server that have not ended.
  std::size_t Outstanding(const BackendServerId& server) const;

  // Notes bytes of an answer from another region.
  void RecordPaidLinkBytes(std::size_t bytes);

  // No server is chosen while the gate is closed. Must be called before the first choice.
  void SetViewGate(const ViewGate* gate) { m_view_gate = gate; }

  // The services for which a server was asked since the last call of this.
  std::set<ServiceId> PopUsedServices();

  // The servers of a service that this node uses, nearest tier first.
  std::vector<BackendServerId> SubsetOf(const ServiceId& service) const;

  RoutingChoice Choose(const RoutingRequest& request);
  std::vector<BackendServerId> ServersToQuery(const RoutingRequest& request,
                                              std::size_t max_servers);
  RoutingChoice ChooseAmong(const RoutingRequest& request, std::span<const LoadOffer> offers);
  std::optional<ExpiryStamp> Stamp(const BackendServerId& server, Duration remaining) const;

 private:
  mutable std::mutex m_lock;
  Router m_router;
  OwnerClocks m_clocks;
  std::map<BackendServerId, std::size_t> m_outstanding;
  std::set<ServiceId> m_used;
  const ViewGate* m_view_gate = nullptr;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_SHAREDROUTER_H_
