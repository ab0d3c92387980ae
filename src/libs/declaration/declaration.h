#ifndef DAMASKHOLLOW_DECLARATION_DECLARATION_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

struct Region {
  RegionId id;
  std::vector<DataCentreId> data_centres;
};

// A priority class of calls. Rank 0 is the most urgent.
struct Priority {
  PriorityId id;
  std::size_t rank = 0;
  Duration target{};               // Target response time.
  Duration queue_bound{};          // Calls with a longer expected queueing time are refused.
  double guaranteed_share = 0.0;   // Share of slot time reserved for this priority, 0 to 1.
  bool may_cross_regions = false;  // Whether its calls may use the paid link.
  // Priorities of the same group are equally urgent to the operator. Among them, calls that can
  // still meet their target are dispatched first. Must not decrease with increasing rank.
  std::size_t group = 0;
};

// Assigns a priority and other properties to requests of a service, by method and path.
struct Rule {
  std::vector<std::string> methods;  // Empty: all methods.
  std::string path_prefix;
  PriorityId priority;
  bool idempotent = false;
  std::optional<Duration> deadline;  // Replaces the default deadline of the service.
};

// How an owner probes the state of its own backend server.
struct HealthCheck {
  std::string path;
  Duration interval{};
  int drain_status = 503;  // Status with which the backend server reports that it is draining.
};

struct Service {
  ServiceId id;
  std::vector<std::string> hosts;
  Duration default_deadline{};
  std::size_t max_body_bytes = 0;
  std::optional<int>
      shed_status;  // Status with which a backend server reports that it did not run a request.
  std::size_t subset_size = 0;  // Servers that one ingress uses; 0: derived from the fleet size.
  std::optional<HealthCheck> health;
  // Calls a second that a cold backend server tolerates; 0: no bound.
  double cold_calls_per_second = 0.0;
  double cold_burst = 0.0;  // Calls that it tolerates in any second in addition to that rate.
  std::vector<Rule> rules;
};

// A service that receives part of the requests of a route.
struct RoutePart {
  ServiceId service;
  double weight = 1.0;  // Share of the requests, relative to the weights of the other parts.
};

// Assigns a priority, services and other properties to requests by host and path. If a declaration
// has routes, they are used instead of the rules of its services.
struct Route {
  RouteId id;
  std::string host;
  std::string path_prefix;
  PriorityId priority;
  bool idempotent = false;
  Duration timeout{};            // Maximum time until the caller receives an answer.
  std::size_t attempts = 1;      // Maximum number of backend servers that a call may reach.
  std::vector<RoutePart> parts;  // At least one, unless the route is unreadable.
  // Regions whose backend servers may receive its calls; empty: all.
  std::vector<RegionId> allowed_regions;
  // Whether a field of the route could not be read, so that its calls are refused. Only id, host
  // and path prefix are then set.
  bool unreadable = false;
};

// Size limits and time-outs for caller connections. Zero means the default of the node.
struct CallerBounds {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  Duration header_timeout{};  // From the first to the last byte of a request head.
  Duration idle_timeout{};    // Of a connection without a request.
};

// A backend server in the inventory.
struct BackendServer {
  BackendServerId id;
  ServiceId service;
  std::string address;       // IP:PORT of the backend server.
  std::string peer_address;  // IP:PORT on which its node accepts other nodes.
  RegionId region;
  DataCentreId data_centre;
  std::size_t slots = 0;        // Maximum number of concurrent requests.
  std::size_t connections = 0;  // Maximum number of connections that the server accepts.
  std::string peer_public_key;  // CURVE public key in Z85; empty if links are not encrypted.
  std::string instance;         // Incarnation of the server; empty if the inventory has none.
  std::uint64_t started_ms =
      0;                 // Wall-clock start of the incarnation, in ms since the epoch; or 0.
  bool warming = false;  // Whether it started so recently that it is still slow.
};

// Limits of the traffic and load that nodes cause.
struct Budgets {
  std::size_t measuring_bytes_per_second = 0;  // Control traffic per node.
  double probes_per_second = 0.0;              // Probes per node.
  std::size_t paid_link_bytes_per_second = 0;  // Total traffic from one region to others.
  double retry_share = 0.0;                    // Ratio of retries to first attempts.
  double hedge_share = 0.0;                    // Part of the retry budget usable for hedges.
  // Maximum number of retries per service for which a node accumulates budget without any first
  // attempts.
  double retry_floor = 10.0;
  // Replaces retry_floor by a total for all nodes, of which each node gets an equal part.
  std::optional<double> fleet_retry_floor;
  // Whether a call that its owner refused before anything reached the backend server is retried on
  // another server without using up the retry budget.
  bool refusals_are_free = false;
  // Whether a call that finds no reachable server is refused after a part of its target, so that
  // its caller can still be served elsewhere, instead of after a fixed time.
  bool early_refusal = false;
  // Whether refused callers are told to come back in the order of their urgency.
  bool spread_retry_after = false;
};

// The configuration written by operators: inventory of backend servers, and rules for requests.
struct Declaration {
  std::vector<Region> regions;
  std::vector<Priority> priorities;  // Ordered by rank.
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<BackendServer> backend_servers;
  // Data centres whose backend servers get no new calls.
  std::vector<DataCentreId> evacuated_data_centres;
  Budgets budgets;
  CallerBounds caller_bounds;
  // Entries of the operator's configuration that the translation to this declaration left out or
  // replaced by unreadable routes.
  std::size_t unreadable_entries = 0;
  // Values of the operator's configuration beyond the limits of a declaration, which the
  // translation replaced by the nearest possible ones.
  std::size_t clamped_values = 0;

  // Look-up functions. They return null if there is no such entry. The pointers are valid as long
  // as the declaration is neither changed nor destroyed.
  const Region* FindRegion(const RegionId& id) const;
  const Service* FindService(const ServiceId& id) const;
  // `host` may include a port, which is ignored unless the service declares it.
  const Service* FindServiceByHost(std::string_view host) const;
  const Priority* FindPriority(const PriorityId& id) const;
  const BackendServer* FindServer(const BackendServerId& id) const;

  // Returns the rule with the longest matching path prefix, or null. Of prefixes of the same
  // length, the first one wins.
  static const Rule* FindRule(const Service& service, std::string_view method,
                              std::string_view path);

  // Returns the route of this host with the longest matching path prefix, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Whether the backend servers of a data centre get no new calls.
  bool IsEvacuated(const DataCentreId& data_centre) const;

  // Returns the backend servers of a service, in the order of the declaration.
  std::vector<const BackendServer*> ServersOf(const ServiceId& service) const;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATION_H_
