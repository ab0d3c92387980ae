#include "support/platformfleet.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <algorithm>
#include <fstream>
#include <utility>

#include "support/freeport.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr char kPreload[] = "LD_PRELOAD";
constexpr std::chrono::milliseconds kSlowTime{300};
constexpr std::chrono::milliseconds kCallTimeout{10000};
// Longer than the grace that the platform gives a process, so that no call ends by its deadline.
constexpr std::chrono::milliseconds kLongDeadline{30000};
constexpr std::string_view kLongRoutes =
    R"(,{"name":"hold","hostname":"shop.test","prefix":"/hold/","routeType":"safe",)"
    R"("service":"portal","timeout":"30s","slo":"30s","priority":1,"attempts":2})"
    R"(,{"name":"order","hostname":"shop.test","prefix":"/order/","routeType":"unsafe",)"
    R"("service":"portal","timeout":"30s","slo":"30s","priority":1,"attempts":2})";

}  // namespace

StandInInstance::StandInInstance(std::string id, const Endpoint& address)
    : m_id(std::move(id)),
      m_address(address),
      m_server([this](ConnectionId connection, const HttpRequest& request) {
        Handle(connection, request);
      }) {
  m_server.Listen(address);
}

void StandInInstance::Handle(ConnectionId connection, const HttpRequest& request) {
  const HttpHeader load{"Instance-Load", "1,0,9,100"};
  if (request.target == "/healthz") {
    return m_server.SendResponse(connection, 200, "", {{"Instance-Id", m_id}, load});
  }
  const std::string request_id(FindHeader(request.headers, "Request-Id"));
  if (FindHeader(request.headers, "Expect-Instance") != m_id) {
    return m_server.SendResponse(connection, 421, "",
                                 {{"Request-Id", request_id}, {"Not-Executed", "misdirected"}});
  }
  const Run run{request_id, std::string(FindHeader(request.headers, "Caller-Service")),
                request.target, request.body};
  m_runs.push_back(run);
  if (request.target.starts_with("/lost/")) return m_server.Abort(connection);
  if (request.target.starts_with("/hold/")) return;
  if (!request.target.starts_with("/slow/")) return SendResponse(connection, run);
  QTimer::singleShot(kSlowTime, &m_server,
                     [this, connection, run] { SendResponse(connection, run); });
}

void StandInInstance::SendResponse(ConnectionId connection, const Run& run) {
  m_server.SendResponse(connection, 200, m_id + " " + run.target + " " + run.body,
                        {{"Request-Id", run.request_id},
                         {"Response-Seal", "seal-" + run.request_id},
                         {"Instance-Load", "1,0,9,100"}});
}

PlatformFleet::PlatformFleet(const PlatformFleetOptions& options)
    : m_with_interruptions(options.interruptions),
      m_retry_ratio(options.retry_ratio),
      m_peer_port(FreeEndpoint().port) {
  for (std::size_t index = 0; index < options.nodes; ++index) {
    Server& server = m_servers.emplace_back();
    server.region = options.two_regions && index % 2 == 1 ? "east" : "west";
    server.ip = "127.0.0." + std::to_string(index + 1);
    server.outbound = FreeEndpoint();
    server.ready = FreeEndpoint();
    // A node finds its own instance in the store by the IP address of its VM.
    server.instance = std::make_unique<StandInInstance>("i-" + std::to_string(index),
                                                        Endpoint{server.ip, FreeEndpoint().port});
    server.node = std::make_unique<Process>(
        "damaskhollow-platform", std::vector<std::string>(),
        m_folder.filePath(QString("node-%1.log").arg(index)).toStdString());
  }
}

std::string PlatformFleet::SettingsJson(const Server& server) const {
  const std::string store = ToString(m_store.Address());
  return R"({"product":{"DAMASKHOLLOW_SERVER_ID":")" + server.ip + R"(","DAMASKHOLLOW_REGION":")" +
         server.region + R"(","DAMASKHOLLOW_DATA_CENTRE":")" + server.region +
         R"(-1","DAMASKHOLLOW_LISTEN":")" + ToString(server.outbound) +
         R"(","DAMASKHOLLOW_PEER_LISTEN":")" + server.ip + ":" + std::to_string(m_peer_port) +
         R"(","DAMASKHOLLOW_ADMIN_LISTEN":")" + ToString(server.ready) +
         R"(","DAMASKHOLLOW_CONFIGURATION_URL":"http://)" + store +
         R"(","DAMASKHOLLOW_VM_LIST_URL":"http://)" + store +
         R"(","DAMASKHOLLOW_WORKERS":"1","DAMASKHOLLOW_DRAIN_ANNOUNCE_MS":"1000"},"store":")" +
         store + R"(","peer_port":)" + std::to_string(m_peer_port) +
         R"(,"service":"portal","zones":{"west-1":"west","east-1":"east"},"retry_ratio":)" +
         std::to_string(m_retry_ratio) + R"(,"retry_extra":58,"grace":"6s"})";
}

void PlatformFleet::PutConfiguration(int version, std::string_view more_routes) {
  const auto route = [](std::string_view name, std::string_view prefix,
                        std::string_view route_type) {
    return R"({"name":")" + std::string(name) + R"(","hostname":"shop.test","prefix":")" +
           std::string(prefix) + R"(","routeType":")" + std::string(route_type) +
           R"(","service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})";
  };
  m_store.Put("op/config", R"({"configVersion":)" + std::to_string(version) + R"(,"routes":[)" +
                               route("look", "/look/", "safe") + "," +
                               route("slow", "/slow/", "safe") + "," +
                               route("lost", "/lost/", "unsafe") + std::string(more_routes) +
                               R"(],"services":[{"name":"portal","healthPath":"/healthz"}],)" +
                               R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,)" +
                               R"("headerTimeout":"5s","idleTimeout":"20s"}})");
}

void PlatformFleet::PutInstance(std::size_t index, std::string_view state) {
  const StandInInstance& instance = Instance(index);
  m_store.Put("servers/" + instance.Id(),
              R"({"service":"portal","address":")" + ToString(instance.Address()) +
                  R"(","zone":")" + m_servers[index].region +
                  R"(-1","configVersion":"v1","slots":)" + std::to_string(kSlots) +
                  R"(,"state":")" + std::string(state) +
                  R"(","cold":"0ms","seq":1,"born":1700000000000})");
}

void PlatformFleet::DeleteInstance(std::size_t index) {
  m_store.Delete("servers/" + Instance(index).Id());
}

void PlatformFleet::StartNode(std::size_t index) {
  const std::string path = m_folder.filePath(QString("settings-%1.json").arg(index)).toStdString();
  // Not written again: truncating a file may wait for the disk, and all instances with it.
  if (!QFile::exists(QString::fromStdString(path))) {
    std::ofstream(path) << SettingsJson(m_servers[index]);
  }
  qputenv("DAMASKHOLLOW_CONFIG", QByteArray::fromStdString(path));
  if (m_with_interruptions) {
    qputenv(kPreload, DAMASKHOLLOW_INTERRUPTIONS_LIBRARY);
    qputenv("INTERRUPTIONS_FILE", InterruptionsPath(index).toUtf8());
  }
  Node(index).Start();
  if (m_with_interruptions) qunsetenv(kPreload);
}

QString PlatformFleet::InterruptionsPath(std::size_t index) const {
  return m_folder.filePath(QString("interrupt-%1").arg(index));
}

void PlatformFleet::BeginInterruptions(std::size_t index) {
  std::ofstream(InterruptionsPath(index).toStdString()) << "";
}

void PlatformFleet::EndInterruptions(std::size_t index) { QFile::remove(InterruptionsPath(index)); }

std::string PlatformFleet::KeepFolder() {
  m_folder.setAutoRemove(false);
  return m_folder.path().toStdString();
}

bool PlatformFleet::Start() {
  PutConfiguration(1);
  for (std::size_t index = 0; index < Size(); ++index) PutInstance(index);
  for (std::size_t index = 0; index < Size(); ++index) StartNode(index);
  for (std::size_t index = 0; index < Size(); ++index) {
    if (!WaitUntilServing(index)) return false;
  }
  return true;
}

bool PlatformFleet::WaitUntilServing(std::size_t index) {
  return WaitUntil([this, index] {
    return ReadyStatus(index) == 200 && Call(index, "GET", "/look/wait").status == 200;
  });
}

HttpRequest PlatformFleet::MakeOutboundRequest(std::string_view method, std::string_view target,
                                               std::string body) {
  return MakeRequest(method, target,
                     {{"Host", "shop.test"},
                      {"Request-Id", "r-" + std::to_string(m_next_request++)},
                      {"Deadline-Ms", std::to_string(m_deadline.count())},
                      {"Caller-Service", "forged"}},
                     std::move(body));
}

HttpResponse PlatformFleet::Call(std::size_t index, std::string_view method,
                                 std::string_view target, std::string body) {
  return m_client.Fetch(m_servers[index].outbound,
                        MakeOutboundRequest(method, target, std::move(body)), kCallTimeout);
}

ConnectionId PlatformFleet::Send(std::size_t index, std::string_view method,
                                 std::string_view target, HttpClient::Done done) {
  return m_client.Send(m_servers[index].outbound, MakeOutboundRequest(method, target, {}),
                       kCallTimeout, std::move(done));
}

int PlatformFleet::ReadyStatus(std::size_t index) {
  return m_client
      .Fetch(m_servers[index].ready, MakeRequest("GET", "/v1/readyz", {{"Host", "h"}}),
             kCallTimeout)
      .status;
}

bool PlatformFleet::LeaveTo(std::size_t index) {
  m_deadline = kLongDeadline;
  PutConfiguration(2, kLongRoutes);
  PutInstance(1 - index, "draining");
  const auto is_served = [&] {
    bool all = true;
    for (std::size_t call = 0; call < 5 * kNodes; ++call) {
      const HttpResponse response = Call(call % kNodes, "GET", "/order/ready");
      all = all && response.body.starts_with(Instance(index).Id());
    }
    return all;
  };
  return WaitUntil(is_served);
}

bool PlatformFleet::FillSlots(std::size_t index) {
  if (!LeaveTo(index)) return false;
  // The owner may leave slots free, so that fewer calls are dispatched.
  for (std::size_t call = 0; call < kSlots; ++call) {
    Send(index, "GET", "/hold/slot", [](const HttpResponse&) {});
  }
  return WaitUntil([&] {
    const std::size_t running = CountRuns(index, "/hold/slot");
    return running + static_cast<std::size_t>(QueuedCalls(index)) == kSlots;
  });
}

std::size_t PlatformFleet::CountRuns(std::size_t index, std::string_view target) {
  const std::vector<StandInInstance::Run>& runs = Instance(index).Runs();
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(),
                    [&](const StandInInstance::Run& run) { return run.target == target; }));
}

QJsonObject PlatformFleet::Status(std::size_t index) {
  const HttpResponse response = m_client.Fetch(
      m_servers[index].ready, MakeRequest("GET", "/status", {{"Host", "h"}}), kCallTimeout);
  return QJsonDocument::fromJson(QByteArray::fromStdString(response.body)).object();
}

int PlatformFleet::QueuedCalls(std::size_t index) { return Status(index)["queued"].toInt(-1); }

bool PlatformFleet::SeesLive(std::size_t node, std::size_t instance) {
  const QJsonArray peers = Status(node)["peers"].toArray();
  return std::any_of(peers.begin(), peers.end(), [&](const QJsonValue& peer) {
    return peer["server"].toString().toStdString() == m_servers[instance].ip &&
           peer["state"].toString() == "live";
  });
}

std::string PlatformFleet::Output() const {
  std::string text;
  for (const Server& server : m_servers) text += server.node->Output();
  return text;
}

}  // namespace damaskhollow::test
