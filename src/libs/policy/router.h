#ifndef DAMASKHOLLOW_POLICY_ROUTER_H_
#define DAMASKHOLLOW_POLICY_ROUTER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Where this node stands.
struct Place {
  BackendServerId server;
  RegionId region;
  DataCentreId data_centre;
};

// What an owner reported of its load.
struct ReportedLoad {
  Incarnation incarnation;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  Duration queue_delay{};
  Duration service_time{};
  bool draining = false;
};

// How one attempt ended, as the ingress sees it.
enum class AttemptResult {
  kAnswered,   // An answer below 500.
  kError,      // An answer of 500 or above.
  kRefused,    // The owner refused it before it ran.
  kFailed,     // It broke off or timed out.
  kCancelled,  // The caller left.
};

// What routing needs to know of a call.
struct RoutingRequest {
  ServiceId service;
  bool idempotent = false;
  bool may_cross_regions = false;
  std::size_t bytes = 0;
  std::span<const BackendServerId> excluded;  // Servers that this call has been to.
};

// The chosen server, or the reason why there is none.
struct RoutingChoice {
  Reason refusal = Reason::kNone;
  BackendServerId server;
};

// Chooses backend servers for calls. Not thread-safe.
class Router {
 public:
  // `strategy` is adaptive, round_robin, random or least_reported.
  Router(std::string_view strategy, Place place, std::uint64_t seed);

  void SetDeclaration(std::shared_ptr<const Declaration> declaration, TimePoint now);

  // Whether the server may get new work, by membership.
  void SetEligible(const BackendServerId& server, bool eligible, TimePoint now);

  // Whether a message can be sent to the server's owner.
  void SetReachable(const BackendServerId& server, bool reachable, TimePoint now);

  void NoteLoad(const BackendServerId& server, const ReportedLoad& load, TimePoint now);
  void NoteSent(const BackendServerId& server, CallId attempt, TimePoint now);
  void NoteEnded(const BackendServerId& server, CallId attempt, AttemptResult result,
                 TimePoint now);

  RoutingChoice Choose(const RoutingRequest& request, TimePoint now);

 private:
  struct ServerState {
    bool eligible = true;
    bool reachable = false;
    ReportedLoad load;
  };

  std::string m_strategy;
  Place m_place;
  RandomSource m_random;
  std::shared_ptr<const Declaration> m_declaration;
  std::map<BackendServerId, ServerState> m_servers;
  std::size_t m_next = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ROUTER_H_
