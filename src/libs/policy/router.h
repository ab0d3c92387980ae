#ifndef DAMASKHOLLOW_POLICY_ROUTER_H_
#define DAMASKHOLLOW_POLICY_ROUTER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"
#include "policy/paidlinkbudget.h"
#include "policy/routingpool.h"
#include "policy/routingstrategy.h"
#include "policy/serverscores.h"
#include "policy/serversubset.h"

namespace damaskhollow {

// Result of a routing decision: the selected server, or the reason why none could be selected.
struct RoutingChoice {
  Reason refusal = Reason::kNone;
  BackendServerId server;
  bool crosses_regions = false;
  Duration expected_delay{};  // Estimate that the decision is based on.
  Duration report_age{};      // Age of the server's last load report.
};

// Reply of an owner to a load query: how long a call would take on its backend server.
struct LoadEstimate {
  BackendServerId server;
  Duration expected{};   // Queue wait plus service time.
  bool refuses = false;  // The owner would refuse the call, as it cannot serve it in time.
};

// The servers whose owners are queried for their load before a selection. The own data centre comes
// first, because bytes between data centres are paid for.
enum class QueryScope { kOwnDataCentre, kOtherDataCentresOfRegion };

// Selects backend servers for calls. Subsets are computed when the declaration or the membership
// changes, so a selection looks only at the subset of its service. Not thread-safe.
class Router {
 public:
  // `strategy` is adaptive, round_robin, random or least_reported.
  Router(std::string_view strategy, NodeLocation location, std::uint64_t seed);

  // Replaces the inventory and the budgets, and rebuilds all subsets.
  void SetDeclaration(std::shared_ptr<const Declaration> declaration, TimePoint now);

  // Sets whether the membership state of the server allows new calls to it.
  void SetEligible(const BackendServerId& server, bool eligible, TimePoint now);

  // Sets whether messages can be sent to the owner of the server.
  void SetReachable(const BackendServerId& server, bool reachable, TimePoint now);

  // Stores a load report of the server's owner.
  void RecordLoad(const BackendServerId& server, const ReportedLoad& load, TimePoint now);
  // Registers an attempt sent to the server; it counts as outstanding until RecordEnded.
  void RecordSent(const BackendServerId& server, CallId attempt, std::size_t priority_index,
                  TimePoint now);
  // Removes an attempt from the outstanding ones and updates the health of the server by its
  // result.
  void RecordEnded(const BackendServerId& server, CallId attempt, AttemptResult result,
                   TimePoint now);

  // Charges bytes on the link to other regions that no selection has charged, such as those of a
  // response, to the budget.
  void RecordPaidLinkBytes(std::size_t bytes, TimePoint now);

  // Selects a server from load reports already received. Charges the request to the budget of the
  // paid link if the selected server is in another region.
  RoutingChoice Choose(const RoutingRequest& request, TimePoint now);

  // Returns up to `max_servers` servers in `scope` whose owners should be queried for their load
  // before the selection. Empty if a query would not help: no server is open, or a server of the
  // region is due for a trial call.
  std::vector<BackendServerId> ServersToQuery(const RoutingRequest& request, QueryScope scope,
                                              std::size_t max_servers, TimePoint now);

  // Whether an estimate leaves so much of the request's target unused that a server outside the own
  // data centre cannot be worth its bytes.
  bool HasGoodEstimate(const RoutingRequest& request,
                       std::span<const LoadEstimate> estimates) const;

  // Selects the server with the lowest estimate in `estimates`, which the owners have just
  // reported. Leaves the own data centre only for a call that would otherwise be late, or if that
  // saves a considerable part of its time. Leaves the region only if no estimate is within
  // `target_left` of the request. If all owners in `estimates` would refuse the call, the choice is
  // a server in another region that is not known to be overloaded, or kQueueFullTime.
  RoutingChoice ChooseAmong(const RoutingRequest& request, std::span<const LoadEstimate> estimates,
                            TimePoint now);

  // Returns the servers of the service in the subset of this node, nearest tier first.
  std::vector<BackendServerId> SubsetOf(const ServiceId& service) const;

 private:
  // An estimate of a server that is open, with the time that the response needs to arrive.
  struct Offer {
    std::size_t score = 0;  // Index in m_scores.
    Duration expected{};
  };

  // Returns the lowest estimate among servers in the own data centre, or among those outside it.
  std::optional<Offer> BestOffer(std::span<const LoadEstimate> estimates,
                                 bool in_own_data_centre) const;
  // Returns a server in another region, charged to the paid link, or nothing if there is none that
  // is expected to respond earlier than `latest`.
  std::optional<RoutingChoice> ChooseOtherRegion(const RoutingRequest& request, Duration latest,
                                                 TimePoint now);
  // Returns `near`, which is outside the own data centre, if it is worth its bytes; else `own`.
  static Offer PreferOwn(const Offer& own, const Offer& near, Duration target_left);
  // Whether a call may leave the region. One that no server of the region may receive always may.
  bool MayCrossRegions(const RoutingRequest& request) const;
  // Like Choose, but does not charge the budget of the paid link.
  RoutingChoice SelectServer(const RoutingRequest& request, TimePoint now);
  void ChargePaidLink(const RoutingRequest& request, const RoutingChoice& choice, TimePoint now);

  // State of one inventory entry. It is kept for servers outside the subset too, so that their
  // state is available when they enter it.
  struct ServerState {
    bool eligible = true;
    bool reachable = false;
    std::optional<std::size_t> score;  // Index in m_scores; set while the server is in a subset.
    ServiceId service;                 // Empty if it is not in the inventory.
  };

  void RebuildSubset(const Service& service, TimePoint now);
  std::size_t AddScore(const BackendServer& server, ServerState& state, TimePoint now);
  void ReleaseScore(ServerState& state);
  ServerScore* FindScore(const BackendServerId& server);
  const ServerScore* FindScore(const BackendServerId& server) const;
  // Whether one more server can be suspended: at most half of a subset may be ejected.
  bool CanSuspend(const ServiceSubset& subset) const;
  bool HasOpenRemoteServer(const RoutingPool& pool) const;

  NodeLocation m_location;
  RandomSource m_random;
  std::unique_ptr<RoutingStrategy> m_strategy;
  std::shared_ptr<const Declaration> m_declaration;
  std::unordered_map<BackendServerId, ServerState> m_servers;
  std::unordered_map<ServiceId, ServiceSubset> m_subsets;
  std::vector<ServerScore> m_scores;
  std::vector<std::size_t> m_free_scores;
  PaidLinkBudget m_paid_link;
  std::optional<TimePoint> m_started;  // When the first declaration arrived.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTER_H_
