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

// The chosen server, or the reason why there is none.
struct RoutingChoice {
  Reason refusal = Reason::kNone;
  BackendServerId server;
  bool crosses_regions = false;
  Duration expected_delay{};  // That the choice was made by.
  Duration report_age{};      // Of the server's last report.
};

// What an owner said of a call that it was asked about.
struct LoadEstimate {
  BackendServerId server;
  Duration expected{};  // Wait and run there.
};

// Chooses backend servers for calls. Subsets are computed when the declaration or the membership
// changes, so a choice looks only at the subset of its service. Not thread-safe.
class Router {
 public:
  // `strategy` is adaptive, round_robin, random or least_reported.
  Router(std::string_view strategy, NodeLocation location, std::uint64_t seed);

  void SetDeclaration(std::shared_ptr<const Declaration> declaration, TimePoint now);

  // Whether the server may get new work, by membership.
  void SetEligible(const BackendServerId& server, bool eligible, TimePoint now);

  // Whether a message can be sent to the server's owner.
  void SetReachable(const BackendServerId& server, bool reachable, TimePoint now);

  void RecordLoad(const BackendServerId& server, const ReportedLoad& load, TimePoint now);
  void RecordSent(const BackendServerId& server, CallId attempt, std::size_t priority_index,
                  TimePoint now);
  void RecordEnded(const BackendServerId& server, CallId attempt, AttemptResult result,
                   TimePoint now);

  // Notes bytes of a call on the link to other regions that no choice has counted, such as those of
  // its answer.
  void RecordPaidLinkBytes(std::size_t bytes, TimePoint now);

  RoutingChoice Choose(const RoutingRequest& request, TimePoint now);

  // The servers of the near tiers whose owners are worth asking for their load before the choice,
  // at most `most`. Empty if the choice is made without: no server is open, or one is due a trial.
  std::vector<BackendServerId> ServersToQuery(const RoutingRequest& request,
                                              std::size_t max_servers, TimePoint now);

  // Chooses among servers whose owners have just said how long the call would take there. Leaves
  // the region only if none of them can answer within the time that the call aims at.
  RoutingChoice ChooseAmong(const RoutingRequest& request, std::span<const LoadEstimate> estimates,
                            TimePoint now);

  // The servers of a service that this node uses, nearest tier first.
  std::vector<BackendServerId> SubsetOf(const ServiceId& service) const;

 private:
  // As Choose, without counting the bytes of a choice that crosses the paid link.
  RoutingChoice SelectServer(const RoutingRequest& request, TimePoint now);
  void ChargePaidLink(const RoutingRequest& request, const RoutingChoice& choice, TimePoint now);

  // One per inventory entry, so that a server that enters a subset is known.
  struct ServerState {
    bool eligible = true;
    bool reachable = false;
    std::optional<std::size_t> score;  // Set while it is in a subset.
    ServiceId service;                 // Empty if it is not in the inventory.
  };

  void RebuildSubset(const Service& service, TimePoint now);
  std::size_t AddScore(const BackendServer& server, ServerState& state, TimePoint now);
  void ReleaseScore(ServerState& state);
  ServerScore* FindScore(const BackendServerId& server);
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
  std::optional<TimePoint> m_started;  // When the first declaration came.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTER_H_
