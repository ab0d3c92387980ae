#include "support/fleet.h"

#include <QJsonDocument>
#include <QJsonValue>
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "support/freeport.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::string_view kPriorities = R"([
  {"id": "urgent", "rank": 0, "target_ms": 2000, "guaranteed_share": 0.3, "may_cross_regions": true},
  {"id": "normal", "rank": 1, "target_ms": 2000, "guaranteed_share": 0.3, "may_cross_regions": true},
  {"id": "bulk", "rank": 2, "target_ms": 2000, "guaranteed_share": 0.2, "may_cross_regions": false}])";
constexpr std::string_view kRules = R"([
  {"methods": ["GET"], "path_prefix": "/read", "priority": "urgent", "idempotent": true},
  {"methods": ["POST"], "path_prefix": "/book", "priority": "urgent", "idempotent": false},
  {"methods": ["GET"], "path_prefix": "/page", "priority": "normal", "idempotent": true},
  {"methods": ["GET"], "path_prefix": "/bulk", "priority": "bulk", "idempotent": true},
  {"methods": ["POST"], "path_prefix": "/job", "priority": "bulk", "idempotent": false}])";
constexpr int kShedStatus = 503;
constexpr int kDrainStatus = 503;
constexpr std::chrono::milliseconds kControlTimeout{10000};
constexpr std::size_t kOutputTailBytes = 2000;

QJsonValue ParseJson(std::string_view text) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())));
  return document.isArray() ? QJsonValue(document.array()) : QJsonValue(document.object());
}

std::string ToText(const QJsonObject& json) { return QJsonDocument(json).toJson().toStdString(); }

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

RunCounts CountsOf(const QJsonObject& runs, std::string_view test_id) {
  const QJsonObject counts = runs["ids"].toObject()[ToQString(test_id)].toObject();
  return RunCounts{counts["ran"].toInt(), counts["completed"].toInt(), counts["cut"].toInt()};
}

}  // namespace

std::vector<FleetServer> SmallFleet(int count, int slots) {
  std::vector<FleetServer> servers;
  for (int number = 1; number <= count; ++number) {
    FleetServer server;
    server.id = "s" + std::to_string(number);
    server.slots = slots;
    servers.push_back(std::move(server));
  }
  return servers;
}

std::vector<FleetServer> FleetWithIngressOnlyNode(int count, int slots) {
  std::vector<FleetServer> servers = SmallFleet(count, slots);
  servers.front().service = "front";
  return servers;
}

Fleet::Fleet(FleetOptions options) : m_options(std::move(options)) {
  for (const FleetServer& plan : m_options.servers) {
    Server server;
    server.plan = plan;
    for (Endpoint* endpoint : {&server.caller, &server.peer, &server.admin, &server.backend}) {
      *endpoint = FreeEndpoint();
    }
    server.declared_backend = server.backend;
    m_servers.push_back(std::move(server));
  }
  if (m_options.with_platform) m_platform_endpoint = FreeEndpoint();
  PlanProxy();
  CreateProcesses();
}

Fleet::~Fleet() = default;

void Fleet::PlanProxy() {
  if (m_options.proxy_peers) {
    for (std::size_t from = 0; from < m_servers.size(); ++from) {
      for (std::size_t to = 0; to < m_servers.size(); ++to) {
        if (from == to) continue;
        const Endpoint listen = FreeEndpoint();
        m_peer_pairs.push_back({from, to, AddProxyPair(listen, m_servers[to].peer), listen});
      }
    }
  }
  if (m_options.proxy_backends) {
    for (Server& server : m_servers) {
      server.declared_backend = FreeEndpoint();
      m_backend_pairs.push_back(AddProxyPair(server.declared_backend, server.backend));
    }
  }
  if (m_proxy_pairs == 0) return;
  m_proxy_control = FreeEndpoint();
  m_proxy_arguments.push_back("--control=" + ToString(m_proxy_control));
}

std::size_t Fleet::AddProxyPair(const Endpoint& listen, const Endpoint& target) {
  m_proxy_arguments.push_back("--listen=" + ToString(listen));
  m_proxy_arguments.push_back("--target=" + ToString(target));
  return m_proxy_pairs++;
}

void Fleet::CreateProcesses() {
  std::ofstream(Folder() + "/declaration.json") << Declaration();
  if (m_options.with_platform) {
    m_platform = std::make_unique<Process>(
        "standin-platform", std::vector<std::string>{"--listen", ToString(m_platform_endpoint)},
        LogFile("platform"));
  }
  if (m_proxy_pairs > 0) {
    m_proxy = std::make_unique<Process>("faultproxy", m_proxy_arguments, LogFile("proxy"));
  }
  for (std::size_t index = 0; index < m_servers.size(); ++index) {
    Server& server = m_servers[index];
    std::vector<std::string> arguments{"--listen=" + ToString(server.backend),
                                       "--slots=" + std::to_string(server.plan.slots),
                                       "--run-log=" + LogFile("runs-" + server.plan.id)};
    arguments.insert(arguments.end(), server.plan.backend_arguments.begin(),
                     server.plan.backend_arguments.end());
    server.backend_process = std::make_unique<Process>("standin-backend", std::move(arguments),
                                                       LogFile("backend-" + server.plan.id));
    server.node = std::make_unique<Process>("damaskhollow-node", NodeArguments(index),
                                            LogFile("node-" + server.plan.id));
  }
}

std::vector<std::string> Fleet::NodeArguments(std::size_t index) const {
  const Server& server = m_servers[index];
  std::vector<std::string> arguments{
      "--server-id=" + server.plan.id,
      "--region=" + server.plan.region,
      "--data-centre=" + server.plan.data_centre,
      "--listen=" + ToString(server.caller),
      "--peer-listen=" + ToString(server.peer),
      "--admin-listen=" + ToString(server.admin),
  };
  if (m_options.with_platform) {
    const std::string url = "http://" + ToString(m_platform_endpoint);
    arguments.push_back("--configuration-url=" + url + "/v1/configuration");
    arguments.push_back("--vm-list-url=" + url + "/v1/vms");
  } else {
    arguments.push_back("--declaration-file=" + Folder() + "/declaration.json");
  }
  std::string overrides;
  for (const PeerPair& pair : m_peer_pairs) {
    if (pair.from != index) continue;
    overrides +=
        (overrides.empty() ? "" : ",") + m_servers[pair.to].plan.id + "=" + ToString(pair.listen);
  }
  if (!overrides.empty()) arguments.push_back("--peer-overrides=" + overrides);
  arguments.insert(arguments.end(), m_options.node_arguments.begin(),
                   m_options.node_arguments.end());
  return arguments;
}

std::string Fleet::LogFile(std::string_view name) const {
  return Folder() + "/" + std::string(name) + ".log";
}

std::string Fleet::Declaration() const {
  std::map<std::string, std::set<std::string>> data_centres_by_region;
  QJsonArray servers;
  for (const Server& server : m_servers) {
    data_centres_by_region[server.plan.region].insert(server.plan.data_centre);
    QJsonObject json;
    json.insert("id", ToQString(server.plan.id));
    json.insert("service", ToQString(server.plan.service));
    json.insert("address", ToQString(ToString(server.declared_backend)));
    json.insert("peer_address", ToQString(ToString(server.peer)));
    json.insert("region", ToQString(server.plan.region));
    json.insert("data_centre", ToQString(server.plan.data_centre));
    json.insert("slots", server.plan.slots);
    json.insert("connections", server.plan.connections);
    servers.append(json);
  }
  QJsonArray regions;
  for (const auto& [region, data_centres] : data_centres_by_region) {
    QJsonArray names;
    for (const std::string& data_centre : data_centres) names.append(ToQString(data_centre));
    regions.append(QJsonObject{{"id", ToQString(region)}, {"data_centres", names}});
  }
  const QJsonObject health{{"path", "/health"},
                           {"interval_ms", m_options.health_interval_ms},
                           {"drain_status", kDrainStatus}};
  const QJsonObject service{{"id", "shop"},
                            {"hosts", QJsonArray{"shop.test"}},
                            {"default_deadline_ms", m_options.deadline_ms},
                            {"max_body_bytes", m_options.max_body_bytes},
                            {"shed_status", kShedStatus},
                            {"health", health},
                            {"rules", ParseJson(kRules)}};
  QJsonObject front{{"id", "front"},
                    {"hosts", QJsonArray{"front.test"}},
                    {"default_deadline_ms", m_options.deadline_ms},
                    {"max_body_bytes", 0},
                    {"rules", QJsonArray()}};
  QJsonObject json;
  json.insert("format", 1);
  json.insert("regions", regions);
  json.insert("priorities",
              ParseJson(m_options.priorities.empty() ? kPriorities
                                                     : std::string_view(m_options.priorities)));
  json.insert("services", QJsonArray{service, front});
  json.insert("backend_servers", servers);
  json.insert("budgets",
              QJsonObject{{"measuring_bytes_per_second", m_options.measuring_bytes_per_second},
                          {"probes_per_second", 10},
                          {"paid_link_bytes_per_second", m_options.paid_link_bytes_per_second},
                          {"retry_share", 0.1},
                          {"hedge_share", m_options.hedge_share}});
  return ToText(json);
}

bool Fleet::Start() {
  if (m_platform) {
    m_platform->Start();
    if (!WaitUntil([this] { return PutConfiguration(Declaration(), 1); }) || !PutVms(1)) {
      return false;
    }
  }
  if (m_proxy) m_proxy->Start();
  for (Server& server : m_servers) server.backend_process->Start();
  for (std::size_t index = 0; index < m_servers.size(); ++index) {
    if (!WaitUntilServing(index)) return false;
  }
  for (Server& server : m_servers) server.node->Start();
  for (std::size_t index = 0; index < m_servers.size(); ++index) {
    if (!WaitUntilReady(index) || !WaitUntilLinked(index)) return false;
  }
  return true;
}

void Fleet::RestartNode(std::size_t index) {
  m_servers[index].node->Kill();
  m_servers[index].node->Start();
}

void Fleet::RestartBackend(std::size_t index) {
  m_servers[index].backend_process->Kill();
  m_servers[index].backend_process->Start();
}

bool Fleet::WaitUntilAllServe() {
  return WaitUntil([this] {
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
      if (Call(index, "GET", "/read?ms=0").Outcome() != "answered") return false;
    }
    return true;
  });
}

bool Fleet::WaitUntilServing(std::size_t index) {
  return WaitUntil([&] { return Fetch(m_servers[index].backend, "GET", "/health").status != 0; });
}

bool Fleet::WaitUntilReady(std::size_t index) {
  return WaitUntil([&] { return Fetch(m_servers[index].admin, "GET", "/readyz").status == 200; });
}

bool Fleet::WaitUntilLinked(std::size_t index) {
  return WaitUntil([&] {
    return Status(index)["linked_peers"].toArray().size() + 1 ==
           static_cast<qsizetype>(m_servers.size());
  });
}

HttpResponse Fleet::Fetch(const Endpoint& endpoint, std::string_view method,
                          std::string_view target) {
  return m_client.Fetch(endpoint, MakeRequest(method, target), kControlTimeout);
}

HttpResponse Fleet::Call(std::size_t index, std::string_view method, std::string_view target,
                         std::vector<HttpHeader> headers, std::string body) {
  headers.push_back({"Host", "shop.test"});
  return m_client.Fetch(m_servers[index].caller,
                        MakeRequest(method, target, std::move(headers), std::move(body)));
}

ConnectionId Fleet::Send(std::size_t index, const HttpRequest& request, HttpClient::Done done) {
  HttpRequest addressed = request;
  addressed.headers.push_back({"Host", "shop.test"});
  return m_client.Send(m_servers[index].caller, addressed, kWaitLimit, std::move(done));
}

void Fleet::SetBackend(std::size_t index, std::string_view query) {
  Fetch(m_servers[index].backend, "POST", std::string("/control/set?").append(query));
}

void Fleet::SetBackends(std::string_view query) {
  for (std::size_t index = 0; index < m_servers.size(); ++index) SetBackend(index, query);
}

QJsonObject Fleet::Runs(std::size_t index) {
  return ParseJson(Fetch(m_servers[index].backend, "GET", "/control/runs").body).toObject();
}

RunCounts Fleet::RunsOf(std::size_t index, std::string_view test_id) {
  return CountsOf(Runs(index), test_id);
}

RunCounts Fleet::RunsOf(std::string_view test_id) {
  RunCounts sum;
  for (std::size_t index = 0; index < m_servers.size(); ++index) {
    const RunCounts counts = RunsOf(index, test_id);
    sum.ran += counts.ran;
    sum.completed += counts.completed;
    sum.cut += counts.cut;
  }
  return sum;
}

QJsonObject Fleet::Status(std::size_t index) {
  return ParseJson(Fetch(m_servers[index].admin, "GET", "/status").body).toObject();
}

double Fleet::Metric(std::size_t index, std::string_view name) {
  std::istringstream text(Fetch(m_servers[index].admin, "GET", "/metrics").body);
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with(name) && line.size() > name.size() && line[name.size()] == ' ') {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0.0;
}

void Fleet::SetProxy(std::size_t pair, std::string_view query) {
  Fetch(m_proxy_control, "POST",
        "/control/set?pair=" + std::to_string(pair) + "&" + std::string(query));
}

void Fleet::SetPeerLink(std::size_t from, std::size_t to, std::string_view query) {
  for (const PeerPair& pair : m_peer_pairs) {
    if (pair.from == from && pair.to == to) SetProxy(pair.number, query);
  }
}

void Fleet::SetPeerLinks(std::size_t first, std::size_t second, std::string_view query) {
  SetPeerLink(first, second, query);
  SetPeerLink(second, first, query);
}

bool Fleet::IsBetweenRegions(const PeerPair& pair) const {
  return m_servers[pair.from].plan.region != m_servers[pair.to].plan.region;
}

void Fleet::SetRegionLinks(std::string_view query) {
  for (const PeerPair& pair : m_peer_pairs) {
    if (IsBetweenRegions(pair)) SetProxy(pair.number, query);
  }
}

void Fleet::LimitRegionLinks(double bits_per_second) {
  const std::string first_region = m_servers.front().plan.region;
  for (const PeerPair& pair : m_peer_pairs) {
    if (!IsBetweenRegions(pair)) continue;
    const bool flip = m_servers[pair.from].plan.region != first_region;
    SetProxy(pair.number, flip ? "group=1&flip=1" : "group=1");
  }
  Fetch(m_proxy_control, "POST",
        "/control/group?group=1&bits_per_second=" +
            std::to_string(static_cast<std::int64_t>(bits_per_second)));
}

std::int64_t Fleet::RegionLinkBytes() {
  const QJsonArray statistics =
      ParseJson(Fetch(m_proxy_control, "GET", "/control/statistics").body).toArray();
  std::int64_t bytes = 0;
  for (const PeerPair& pair : m_peer_pairs) {
    if (!IsBetweenRegions(pair)) continue;
    const QJsonObject counts = statistics[static_cast<qsizetype>(pair.number)].toObject();
    bytes += counts["up_bytes"].toInteger() + counts["down_bytes"].toInteger();
  }
  return bytes;
}

void Fleet::SetBackendLink(std::size_t index, std::string_view query) {
  SetProxy(m_backend_pairs[index], query);
}

bool Fleet::ControlPlatform(std::string_view method, std::string_view target, std::string body,
                            std::vector<HttpHeader> headers) {
  const int status =
      m_client
          .Fetch(m_platform_endpoint,
                 MakeRequest(method, target, std::move(headers), std::move(body)), kControlTimeout)
          .status;
  return status >= 200 && status < 300;
}

bool Fleet::PutConfiguration(std::string_view text, int version) {
  return ControlPlatform("PUT", "/control/configuration", std::string(text),
                         {{"Damaskhollow-Version", std::to_string(version)}});
}

bool Fleet::PutVms(int version, const std::vector<std::string>& leaving,
                   const std::vector<std::string>& absent) {
  const auto contains = [](const std::vector<std::string>& ids, const std::string& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
  };
  QJsonArray vms;
  for (const Server& server : m_servers) {
    if (contains(absent, server.plan.id)) continue;
    vms.append(QJsonObject{{"id", ToQString(server.plan.id)},
                           {"state", contains(leaving, server.plan.id) ? "leaving" : "live"}});
  }
  return ControlPlatform("PUT", "/control/vms",
                         ToText(QJsonObject{{"version", version}, {"vms", vms}}));
}

QJsonObject Fleet::PlatformReads() {
  return ParseJson(Fetch(m_platform_endpoint, "GET", "/control/reads").body).toObject();
}

std::string Fleet::NodeOutput() const {
  std::string text;
  for (const Server& server : m_servers) {
    const std::string output = server.node->Output();
    text += "\n-- node " + server.plan.id + "\n";
    text += output.substr(output.size() - std::min(output.size(), kOutputTailBytes));
  }
  return text;
}

}  // namespace damaskhollow::test
