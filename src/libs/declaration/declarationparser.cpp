#include "declaration/declarationparser.h"

#include <QJsonDocument>
#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "base/endpoint.h"
#include "declaration/declarationlimits.h"
#include "declaration/jsonentries.h"
#include "declaration/jsonreader.h"

namespace damaskhollow {

namespace {

constexpr char kRoutesField[] = "routes";
constexpr std::size_t kMaxBodyBytes = 8UL * 1024UL * 1024UL;
constexpr std::size_t kMaxBytesPerSecond = 10UL * 1000UL * 1000UL * 1000UL;
constexpr std::size_t kMaxServers = 100000;
// Allows for rounding errors in the sum of the guaranteed shares.
constexpr double kShareTolerance = 1e-9;

template <class Entry>
void RejectDuplicates(JsonReader& root, std::string_view field, const std::vector<Entry>& entries) {
  std::unordered_set<std::string_view> seen;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    const std::string& id = entries[index].id.Value();
    if (seen.insert(id).second) continue;
    root.AddFailure(FailureCode::kDuplicateId,
                    std::string(field) + "[" + std::to_string(index) + "].id",
                    "\"" + id + "\" is declared more than once");
  }
}

template <class Entry>
std::unordered_set<std::string_view> IdsOf(const std::vector<Entry>& entries) {
  std::unordered_set<std::string_view> ids;
  for (const Entry& entry : entries) ids.insert(entry.id.Value());
  return ids;
}

template <class Entry, class Read>
std::vector<Entry> ReadList(JsonReader& parent, std::string_view field, Read read) {
  std::vector<Entry> entries;
  const QJsonArray values = parent.Array(field);
  for (int index = 0; index < static_cast<int>(values.size()); ++index) {
    JsonReader element = parent.Element(field, index, values[index]);
    entries.push_back(read(element));
    element.RejectUnknownFields();
  }
  return entries;
}

Region ReadRegion(JsonReader& reader) {
  Region region;
  region.id = RegionId(reader.String("id"));
  for (const std::string& data_centre : reader.StringList("data_centres")) {
    region.data_centres.emplace_back(data_centre);
  }
  return region;
}

Priority ReadPriority(JsonReader& reader) {
  Priority priority;
  priority.id = PriorityId(reader.String("id"));
  priority.rank = reader.Integer("rank", 0, kMaxRank);
  priority.group = reader.Has("group") ? reader.Integer("group", 0, kMaxRank) : priority.rank;
  priority.target = reader.Milliseconds("target_ms", 1, kMaxTimeMs);
  priority.queue_bound = reader.Has("queue_bound_ms")
                             ? reader.Milliseconds("queue_bound_ms", 0, kMaxTimeMs)
                             : priority.target;
  priority.guaranteed_share = reader.Number("guaranteed_share", 0.0, 1.0);
  priority.may_cross_regions = reader.Bool("may_cross_regions");
  return priority;
}

Rule ReadRule(JsonReader& reader) {
  Rule rule;
  rule.methods = reader.StringList("methods");
  rule.path_prefix = reader.String("path_prefix");
  rule.priority = PriorityId(reader.String("priority"));
  rule.idempotent = reader.Bool("idempotent");
  if (reader.Has("deadline_ms")) rule.deadline = reader.Milliseconds("deadline_ms", 1, kMaxTimeMs);
  if (!rule.path_prefix.empty() && rule.path_prefix.front() != '/') {
    reader.AddFailure(FailureCode::kOutOfRange, "path_prefix", "must begin with /");
  }
  return rule;
}

HealthCheck ReadHealth(JsonReader& reader) {
  HealthCheck health;
  health.path = reader.String("path");
  health.interval = reader.Milliseconds("interval_ms", 100, kMaxTimeMs);
  health.drain_status = static_cast<int>(reader.Integer("drain_status", 400, 599));
  reader.RejectUnknownFields();
  return health;
}

Service ReadService(JsonReader& reader) {
  Service service;
  service.id = ServiceId(reader.String("id"));
  service.hosts = reader.StringList("hosts");
  service.default_deadline = reader.Milliseconds("default_deadline_ms", 1, kMaxTimeMs);
  service.max_body_bytes = reader.Integer("max_body_bytes", 0, kMaxBodyBytes);
  if (reader.Has("shed_status")) {
    service.shed_status = static_cast<int>(reader.Integer("shed_status", 400, 599));
  }
  if (reader.Has("subset_size")) {
    service.subset_size = reader.Integer("subset_size", 1, kMaxServers);
  }
  if (reader.Has("health")) {
    JsonReader health = reader.Object("health");
    service.health = ReadHealth(health);
  }
  if (reader.Has("cold_calls_per_second")) {
    service.cold_calls_per_second = reader.Number("cold_calls_per_second", 0.0, kMaxColdCalls);
    service.cold_burst = reader.Number("cold_burst", 1.0, kMaxColdCalls);
  }
  service.rules = ReadList<Rule>(reader, "rules", ReadRule);
  return service;
}

void CheckAddress(JsonReader& reader, std::string_view field, const std::string& address) {
  if (address.empty()) return;
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (endpoint && endpoint.value().port > 0) return;
  reader.AddFailure(FailureCode::kInvalidAddress, field, "must be of the form IP:PORT");
}

BackendServer ReadServer(JsonReader& reader) {
  BackendServer server;
  server.id = BackendServerId(reader.String("id"));
  server.service = ServiceId(reader.String("service"));
  server.address = reader.String("address");
  server.peer_address = reader.String("peer_address");
  server.region = RegionId(reader.String("region"));
  server.data_centre = DataCentreId(reader.String("data_centre"));
  server.slots = reader.Integer("slots", 1, kMaxSlots);
  server.connections = reader.Integer("connections", 1, kMaxConnections);
  if (reader.Has("peer_public_key")) server.peer_public_key = reader.String("peer_public_key");
  CheckAddress(reader, "address", server.address);
  CheckAddress(reader, "peer_address", server.peer_address);
  constexpr std::size_t kZ85KeyLength = 40;
  if (!server.peer_public_key.empty() && server.peer_public_key.size() != kZ85KeyLength) {
    reader.AddFailure(FailureCode::kInvalidKey, "peer_public_key",
                      "must be a Z85 key of 40 characters");
  }
  if (server.connections < server.slots) {
    reader.AddFailure(FailureCode::kOutOfRange, "connections", "must not be less than slots");
  }
  return server;
}

RoutePart ReadPart(JsonReader& reader) {
  RoutePart part;
  part.service = ServiceId(reader.String("service"));
  part.weight = reader.Number("weight", 0.0, kMaxWeight);
  return part;
}

void CheckPathPrefix(JsonReader& reader, const Route& route) {
  if (!route.path_prefix.empty() && route.path_prefix.front() == '/') return;
  reader.AddFailure(FailureCode::kOutOfRange, "path_prefix", "must begin with /");
}

Route ReadRoute(JsonReader& reader) {
  Route route;
  route.id = RouteId(reader.String("id"));
  route.host = reader.String("host");
  route.path_prefix = reader.String("path_prefix");
  CheckPathPrefix(reader, route);
  if (reader.Has("unreadable")) route.unreadable = reader.Bool("unreadable");
  if (route.unreadable) return route;
  route.priority = PriorityId(reader.String("priority"));
  route.idempotent = reader.Bool("idempotent");
  route.timeout = reader.Milliseconds("timeout_ms", 1, kMaxTimeMs);
  route.attempts = reader.Integer("attempts", 1, kMaxRouteAttempts);
  route.parts = ReadList<RoutePart>(reader, "parts", ReadPart);
  if (reader.Has("allowed_regions")) {
    for (const std::string& region : reader.StringList("allowed_regions")) {
      route.allowed_regions.emplace_back(region);
    }
  }
  double sum = 0.0;
  for (const RoutePart& part : route.parts) sum += part.weight;
  if (sum <= 0.0) {
    reader.AddFailure(FailureCode::kImpossibleShare, "parts",
                      "must have a total weight greater than zero");
  }
  return route;
}

CallerBounds ReadCallerBounds(JsonReader reader) {
  CallerBounds bounds;
  bounds.header_bytes = reader.Integer("header_bytes", 1, kMaxCallerHeaderBytes);
  bounds.body_bytes = reader.Integer("body_bytes", 0, kMaxCallerBodyBytes);
  bounds.header_timeout = reader.Milliseconds("header_timeout_ms", 1, kMaxTimeMs);
  bounds.idle_timeout = reader.Milliseconds("idle_timeout_ms", 1, kMaxTimeMs);
  reader.RejectUnknownFields();
  return bounds;
}

Budgets ReadBudgets(JsonReader reader) {
  Budgets budgets;
  budgets.measuring_bytes_per_second =
      reader.Integer("measuring_bytes_per_second", 0, kMaxBytesPerSecond);
  budgets.probes_per_second = reader.Number("probes_per_second", 0.0, 1000.0);
  budgets.paid_link_bytes_per_second =
      reader.Integer("paid_link_bytes_per_second", 0, kMaxBytesPerSecond);
  budgets.retry_share = reader.Number("retry_share", 0.0, 1.0);
  budgets.hedge_share = reader.Number("hedge_share", 0.0, 1.0);
  if (reader.Has("refusals_are_free")) budgets.refusals_are_free = reader.Bool("refusals_are_free");
  if (reader.Has("early_refusal")) budgets.early_refusal = reader.Bool("early_refusal");
  if (reader.Has("spread_retry_after")) {
    budgets.spread_retry_after = reader.Bool("spread_retry_after");
  }
  if (reader.Has("fleet_retry_floor")) {
    budgets.fleet_retry_floor = reader.Number("fleet_retry_floor", 0.0, kMaxRetryFloor);
  }
  if (reader.Has("retry_floor")) {
    budgets.retry_floor = reader.Number("retry_floor", 0.0, kMaxRetryFloor);
  }
  reader.RejectUnknownFields();
  return budgets;
}

void CheckPriorities(JsonReader& root, std::vector<Priority>& priorities) {
  std::stable_sort(
      priorities.begin(), priorities.end(),
      [](const Priority& left, const Priority& right) { return left.rank < right.rank; });
  double sum = 0.0;
  std::set<std::size_t> ranks;
  for (const Priority& priority : priorities) {
    sum += priority.guaranteed_share;
    if (ranks.insert(priority.rank).second) continue;
    root.AddFailure(FailureCode::kDuplicateId, "priorities",
                    "rank " + std::to_string(priority.rank) + " is declared more than once");
  }
  for (std::size_t index = 1; index < priorities.size(); ++index) {
    if (priorities[index - 1].group <= priorities[index].group) continue;
    root.AddFailure(FailureCode::kOutOfRange, "priorities",
                    "the group must not decrease with increasing rank");
  }
  if (sum > 1.0 + kShareTolerance) {
    root.AddFailure(FailureCode::kImpossibleShare, "priorities",
                    "the guaranteed shares add up to more than 1");
  }
  if (priorities.empty()) {
    root.AddFailure(FailureCode::kMissingField, "priorities", "must contain at least one priority");
  }
}

void CheckServices(JsonReader& root, const Declaration& declaration) {
  std::set<std::string> hosts;
  for (std::size_t index = 0; index < declaration.services.size(); ++index) {
    const Service& service = declaration.services[index];
    const std::string path = "services[" + std::to_string(index) + "]";
    for (const std::string& host : service.hosts) {
      if (!hosts.insert(host).second) {
        root.AddFailure(FailureCode::kDuplicateId, path + ".hosts",
                        "\"" + host + "\" is declared for more than one service");
      }
    }
    for (std::size_t rule = 0; rule < service.rules.size(); ++rule) {
      if (service.rules[rule].priority.IsEmpty()) continue;
      if (declaration.FindPriority(service.rules[rule].priority) != nullptr) continue;
      root.AddFailure(
          FailureCode::kUnknownReference, path + ".rules[" + std::to_string(rule) + "].priority",
          "\"" + service.rules[rule].priority.Value() + "\" is not a declared priority");
    }
  }
}

void CheckRoutes(JsonReader& root, const Declaration& declaration) {
  std::unordered_map<std::string_view, std::unordered_set<std::string_view>> prefixes_of_host;
  // There may be thousands of priorities and of services.
  const std::unordered_set<std::string_view> priorities = IdsOf(declaration.priorities);
  const std::unordered_set<std::string_view> services = IdsOf(declaration.services);
  for (std::size_t index = 0; index < declaration.routes.size(); ++index) {
    const Route& route = declaration.routes[index];
    const auto path = [index] { return "routes[" + std::to_string(index) + "]"; };
    if (!prefixes_of_host[route.host].insert(route.path_prefix).second) {
      root.AddFailure(FailureCode::kDuplicateId, path() + ".path_prefix",
                      "another route has the same host and path prefix");
    }
    if (!route.priority.IsEmpty() && !priorities.contains(route.priority.Value())) {
      root.AddFailure(FailureCode::kUnknownReference, path() + ".priority",
                      "\"" + route.priority.Value() + "\" is not a declared priority");
    }
    for (const RegionId& region : route.allowed_regions) {
      if (declaration.FindRegion(region) != nullptr) continue;
      root.AddFailure(FailureCode::kUnknownReference, path() + ".allowed_regions",
                      "\"" + region.Value() + "\" is not a declared region");
    }
    for (const RoutePart& part : route.parts) {
      if (part.service.IsEmpty() || services.contains(part.service.Value())) continue;
      root.AddFailure(FailureCode::kUnknownReference, path() + ".parts",
                      "\"" + part.service.Value() + "\" is not a declared service");
    }
  }
}

bool IsDeclaredLocation(const Declaration& declaration, const BackendServer& server) {
  for (const Region& region : declaration.regions) {
    if (region.id != server.region) continue;
    return std::find(region.data_centres.begin(), region.data_centres.end(), server.data_centre) !=
           region.data_centres.end();
  }
  return false;
}

void CheckServers(JsonReader& root, const Declaration& declaration) {
  std::set<std::string> peer_addresses;
  for (std::size_t index = 0; index < declaration.backend_servers.size(); ++index) {
    const BackendServer& server = declaration.backend_servers[index];
    const std::string path = "backend_servers[" + std::to_string(index) + "]";
    if (!server.service.IsEmpty() && declaration.FindService(server.service) == nullptr) {
      root.AddFailure(FailureCode::kUnknownReference, path + ".service",
                      "\"" + server.service.Value() + "\" is not a declared service");
    }
    if (!server.data_centre.IsEmpty() && !IsDeclaredLocation(declaration, server)) {
      root.AddFailure(FailureCode::kUnknownReference, path + ".data_centre",
                      "\"" + server.data_centre.Value() + "\" is not a data centre of region \"" +
                          server.region.Value() + "\"");
    }
    if (!server.peer_address.empty() && !peer_addresses.insert(server.peer_address).second) {
      root.AddFailure(FailureCode::kDuplicateId, path + ".peer_address",
                      "\"" + server.peer_address + "\" is declared more than once");
    }
  }
}

void CheckEvacuations(JsonReader& root, const Declaration& declaration) {
  for (const DataCentreId& evacuated : declaration.evacuated_data_centres) {
    const bool is_declared = std::any_of(
        declaration.regions.begin(), declaration.regions.end(), [&](const auto& region) {
          return std::find(region.data_centres.begin(), region.data_centres.end(), evacuated) !=
                 region.data_centres.end();
        });
    if (is_declared) continue;
    root.AddFailure(FailureCode::kUnknownReference, "evacuated_data_centres",
                    "\"" + evacuated.Value() + "\" is not a declared data centre");
  }
}

using ReadRoutes = std::function<std::vector<Route>(JsonReader& root)>;

// Reads and checks the fields of a declaration. `read_routes` reads the routes of the root object.
void ReadDeclaration(const QJsonObject& object, std::string_view file,
                     const ReadRoutes& read_routes, ParsedDeclaration& parsed) {
  JsonReader root(object, file, "", parsed.failures);
  Declaration& declaration = parsed.declaration;
  root.Integer("format", 1, 1);
  declaration.regions = ReadList<Region>(root, "regions", ReadRegion);
  declaration.priorities = ReadList<Priority>(root, "priorities", ReadPriority);
  declaration.services = ReadList<Service>(root, "services", ReadService);
  if (root.Has("routes")) declaration.routes = read_routes(root);
  declaration.backend_servers = ReadList<BackendServer>(root, "backend_servers", ReadServer);
  if (root.Has("evacuated_data_centres")) {
    for (const std::string& data_centre : root.StringList("evacuated_data_centres")) {
      declaration.evacuated_data_centres.emplace_back(data_centre);
    }
  }
  if (root.Has("caller_bounds")) {
    declaration.caller_bounds = ReadCallerBounds(root.Object("caller_bounds"));
  }
  declaration.budgets = ReadBudgets(root.Object("budgets"));
  if (root.Has("unreadable_entries")) {
    declaration.unreadable_entries = root.Integer("unreadable_entries", 0, kMaxTranslationFaults);
  }
  if (root.Has("clamped_values")) {
    declaration.clamped_values = root.Integer("clamped_values", 0, kMaxTranslationFaults);
  }
  root.RejectUnknownFields();

  RejectDuplicates(root, "regions", declaration.regions);
  RejectDuplicates(root, "priorities", declaration.priorities);
  RejectDuplicates(root, "services", declaration.services);
  RejectDuplicates(root, "routes", declaration.routes);
  RejectDuplicates(root, "backend_servers", declaration.backend_servers);
  CheckPriorities(root, declaration.priorities);
  CheckServices(root, declaration);
  CheckRoutes(root, declaration);
  CheckServers(root, declaration);
  CheckEvacuations(root, declaration);
}

QJsonDocument ParseJson(std::string_view text, QJsonParseError* error = nullptr) {
  return QJsonDocument::fromJson(
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())), error);
}

// Returns the routes of a declaration by their texts.
std::unordered_map<std::string_view, const Route*> RoutesByText(const KnownDeclaration& known) {
  std::unordered_map<std::string_view, const Route*> routes;
  const std::optional<JsonEntries> split = SplitJsonArray(known.text, kRoutesField);
  if (!split || split->entries.size() != known.declaration.routes.size()) return routes;
  for (std::size_t index = 0; index < split->entries.size(); ++index) {
    routes.emplace(split->entries[index], &known.declaration.routes[index]);
  }
  return routes;
}

// Parses a declaration with the routes of an earlier one. Empty if anything in it is invalid.
std::optional<ParsedDeclaration> ParseChanged(std::string_view file, std::string_view text,
                                              const KnownDeclaration& known) {
  const std::optional<JsonEntries> split = SplitJsonArray(text, kRoutesField);
  if (!split) return std::nullopt;
  const QJsonObject rest = ParseJson(split->rest).object();
  if (!rest.value(kRoutesField).isDouble()) return std::nullopt;
  const auto known_routes = RoutesByText(known);
  ParsedDeclaration parsed;
  const auto read_routes = [&](JsonReader& root) {
    std::vector<Route> routes;
    routes.reserve(split->entries.size());
    for (const std::string_view entry : split->entries) {
      const auto found = known_routes.find(entry);
      if (found != known_routes.end()) {
        routes.push_back(*found->second);
        continue;
      }
      ++parsed.read_routes;
      const QJsonDocument document = ParseJson(entry);
      JsonReader element =
          root.Element(kRoutesField, static_cast<int>(routes.size()), document.object());
      routes.push_back(ReadRoute(element));
      element.RejectUnknownFields();
    }
    return routes;
  };
  ReadDeclaration(rest, file, read_routes, parsed);
  if (!parsed.failures.empty()) return std::nullopt;
  return parsed;
}

}  // namespace

ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text) {
  ParsedDeclaration parsed;
  QJsonParseError error;
  const QJsonDocument document = ParseJson(text, &error);
  if (document.isNull() || !document.isObject()) {
    const std::string detail = document.isNull() ? error.errorString().toStdString() + " at byte " +
                                                       std::to_string(error.offset)
                                                 : "must be a JSON object";
    parsed.failures.push_back(Failure{FailureCode::kSyntax, std::string(file), detail});
    return parsed;
  }
  const auto read_routes = [](JsonReader& root) {
    return ReadList<Route>(root, kRoutesField, ReadRoute);
  };
  ReadDeclaration(document.object(), file, read_routes, parsed);
  parsed.read_routes = parsed.declaration.routes.size();
  return parsed;
}

ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text,
                                   const KnownDeclaration& known) {
  // All failures are found, and named as usual, by parsing the whole text.
  std::optional<ParsedDeclaration> parsed = ParseChanged(file, text, known);
  return parsed ? std::move(*parsed) : ParseDeclaration(file, text);
}

}  // namespace damaskhollow
