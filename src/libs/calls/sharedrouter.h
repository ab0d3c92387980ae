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

// Makes the router and the owners' clock readings thread-safe, as all ingress shards share them.
// One lock guards both; all member functions but SetViewGate may be called from any thread.
class SharedRouter {
 public:
  SharedRouter(const std::string& strategy, NodeLocation location, std::uint64_t seed);

  void SetDeclaration(std::shared_ptr<const Declaration> declaration);
  void SetEligible(const BackendServerId& server, bool eligible);
  void SetReachable(const BackendServerId& server, bool reachable);

  // Records the state that an owner reported: its clock and its load.
  void RecordOwnerState(const BackendServerId& server, const wire::OwnerState& state);

  // Records the start and the end of an attempt.
  void RecordSent(const BackendServerId& server, CallId attempt, std::size_t priority_index);
  void RecordEnded(const BackendServerId& server, CallId attempt, AttemptResult result);

  // Returns the number of attempts sent to the server that have not ended.
  std::size_t Outstanding(const BackendServerId& server) const;

  // Records bytes of a response that was received from another region.
  void RecordPaidLinkBytes(std::size_t bytes);

  // Sets the gate that checks whether this node's view of the fleet is up to date. While it is
  // closed, no server is chosen. Must be called before the first choice.
  void SetViewGate(const ViewGate* gate) { m_gate = gate; }

  // Returns and clears the services for which a server was requested.
  std::set<ServiceId> PopUsedServices();

  // Returns the servers of a service that this node uses, nearest tier first.
  std::vector<BackendServerId> SubsetOf(const ServiceId& service) const;

  // Selects the server for a request.
  RoutingChoice Choose(const RoutingRequest& request);

  // Returns up to `max_servers` servers in `scope` whose load is to be queried before a choice.
  // Empty while the view gate is closed.
  std::vector<BackendServerId> ServersToQuery(const RoutingRequest& request, QueryScope scope,
                                              std::size_t max_servers);

  // Whether a server of the own data centre answers early enough to be chosen without asking
  // others.
  bool HasGoodEstimate(const RoutingRequest& request,
                       std::span<const LoadEstimate> estimates) const;

  // Selects a server among those that have answered a load query.
  RoutingChoice ChooseAmong(const RoutingRequest& request, std::span<const LoadEstimate> estimates);

  // Returns the expiry, on the server's owner's clock, of a call that may run for `remaining` from
  // now. Empty if the owner has not reported its clock.
  std::optional<ExpiryStamp> Stamp(const BackendServerId& server, Duration remaining) const;

 private:
  mutable std::mutex m_lock;
  Router m_router;
  OwnerClocks m_clocks;
  std::map<BackendServerId, std::size_t> m_outstanding;
  std::set<ServiceId> m_used;
  const ViewGate* m_gate = nullptr;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_SHAREDROUTER_H_
