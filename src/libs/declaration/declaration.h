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

// A class of work. Rank 0 is the most urgent.
struct Priority {
  PriorityId id;
  std::size_t rank = 0;
  Duration target{};               // Aimed-at answer time.
  Duration queue_bound{};          // Longest expected wait that the owner still queues for.
  double guaranteed_share = 0.0;   // Part of slot time kept for this priority, 0 to 1.
  bool may_cross_regions = false;  // Whether its calls may use the paid link.
  // Priorities of one group are equally urgent to the operator; among them, calls that can still
  // be answered in time go first. Follows the rank.
  std::size_t group = 0;
};

// Classifies requests of a service.
struct Rule {
  std::vector<std::string> methods;  // Empty: all methods.
  std::string path_prefix;
  PriorityId priority;
  bool idempotent = false;
  std::optional<Duration> deadline;
};

// How an owner asks its own backend server for its state.
struct HealthCheck {
  std::string path;
  Duration interval{};
  int drain_status = 503;  // Status by which the backend server says that it is leaving.
};

struct Service {
  ServiceId id;
  std::vector<std::string> hosts;
  Duration default_deadline{};
  std::size_t max_body_bytes = 0;
  std::optional<int>
      shed_status;  // Status by which a backend server says that it did not run the request.
  std::size_t subset_size = 0;  // Servers that one ingress uses; 0: chosen by size of the fleet.
  std::optional<HealthCheck> health;
  std::vector<Rule> rules;
};

// A part of a route's requests and the service that runs them.
struct RoutePart {
  ServiceId service;
  double weight = 1.0;  // Share of the requests, relative to the other parts.
};

// Classifies requests by host and path. A declaration with routes uses them in place of the
// services' rules.
struct Route {
  RouteId id;
  std::string host;
  std::string path_prefix;
  PriorityId priority;
  bool idempotent = false;
  Duration timeout{};            // Longest time that a caller is kept waiting.
  std::size_t attempts = 1;      // Backend servers that one call may reach.
  std::vector<RoutePart> parts;  // At least one.
};

// What callers may send, and how long they may take. Zero: the node's default.
struct CallerBounds {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  Duration header_timeout{};  // From the first byte of a request's head to its end.
  Duration idle_timeout{};    // Without a request.
};

// One entry of the inventory.
struct BackendServer {
  BackendServerId id;
  ServiceId service;
  std::string address;       // IP:PORT of the backend server.
  std::string peer_address;  // IP:PORT of its node for other nodes.
  RegionId region;
  DataCentreId data_centre;
  std::size_t slots = 0;        // Requests that run at the same time.
  std::size_t connections = 0;  // Connections that the server accepts.
  std::string peer_public_key;  // CURVE key in Z85; empty when links are not encrypted.
  std::string instance;  // Incarnation of the backend server; empty if the inventory has none.
  bool warming = false;  // Started so recently that it is slow.
};

struct Budgets {
  std::size_t measuring_bytes_per_second = 0;  // Control traffic of one node.
  double probes_per_second = 0.0;              // Probes by one node.
  std::size_t paid_link_bytes_per_second = 0;  // All traffic of one region to other regions.
  double retry_share = 0.0;                    // Retries as part of first attempts.
  double hedge_share = 0.0;                    // Part of the retry budget that hedges may use.
  // Retries of one service by one node that need no first attempts, saved up at most.
  double retry_floor = 10.0;
  // As retry_floor, for all nodes together; each takes an equal part. Replaces retry_floor.
  std::optional<double> fleet_retry_floor;
  // Whether a call that an owner refused before anything reached its server is sent to another
  // without using the budget.
  bool refusals_are_free = false;
};

// The operators' declaration: inventory and rules.
struct Declaration {
  std::vector<Region> regions;
  std::vector<Priority> priorities;  // Ordered by rank.
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<BackendServer> backend_servers;
  Budgets budgets;
  CallerBounds caller_bounds;

  // Look-ups return null when there is no such entry; pointers live as long as the declaration.
  const Service* FindService(const ServiceId& id) const;
  const Service* FindServiceByHost(std::string_view host) const;
  const Priority* FindPriority(const PriorityId& id) const;
  const BackendServer* FindServer(const BackendServerId& id) const;

  // The rule with the longest matching path prefix, or null. The first of equally long ones wins.
  static const Rule* FindRule(const Service& service, std::string_view method,
                              std::string_view path);

  // The route of this host with the longest prefix that begins the path, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // The inventory of one service in declared order.
  std::vector<const BackendServer*> ServersOf(const ServiceId& service) const;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATION_H_
