#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FLEET_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FLEET_H_

#include <QJsonArray>
#include <QJsonObject>
#include <QTemporaryDir>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "support/httpclient.h"
#include "support/process.h"

namespace damaskhollow::test {

// One backend server VM of a fleet.
struct FleetServer {
  std::string id;
  std::string region = "west";
  std::string data_centre = "w1";
  int slots = 4;
  int connections = 64;
  std::string service = "shop";  // Or "front", whose nodes only take calls in.
  std::vector<std::string> backend_arguments = {};
};

// What a fleet consists of. The declaration has the service "shop" with these rules: GET /read
// urgent, POST /book urgent and not idempotent, GET /page normal, GET /bulk bulk, POST /job bulk
// and not idempotent.
struct FleetOptions {
  std::vector<FleetServer> servers = {};
  bool with_platform = false;   // Configuration service and VM list instead of a file.
  bool proxy_peers = false;     // Each link between nodes passes the proxy.
  bool proxy_backends = false;  // Each connection to a backend server passes the proxy.
  std::vector<std::string> node_arguments = {};
  std::string priorities = {};  // JSON array in place of the default one.
  int deadline_ms = 5000;
  int max_body_bytes = 4 << 20;
  int health_interval_ms = 500;
  double hedge_share = 0.05;
  int measuring_bytes_per_second = 100000;
  int paid_link_bytes_per_second = 3000000;
};

// `count` servers s1, s2, ... in one data centre.
std::vector<FleetServer> SmallFleet(int count, int slots = 4);

// The same, but the first server belongs to "front": calls through its node go to other nodes.
std::vector<FleetServer> FleetWithIngressOnlyNode(int count, int slots = 4);

// How often requests with a test id ran on all backend servers.
struct RunCounts {
  int ran = 0;
  int completed = 0;
  int cut = 0;
};

// Nodes with their backend servers, and optionally the platform and a proxy on all links, as
// processes on 127.0.0.1. Servers are addressed by their index.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all processes and waits until all nodes are ready and linked; false if they are not
  // within the limit.
  bool Start();

  std::size_t Size() const { return m_servers.size(); }
  const Endpoint& Caller(std::size_t index) const { return m_servers[index].caller; }
  const Endpoint& Peer(std::size_t index) const { return m_servers[index].peer; }
  const Endpoint& Admin(std::size_t index) const { return m_servers[index].admin; }
  const Endpoint& BackendAddress(std::size_t index) const { return m_servers[index].backend; }
  const Endpoint& PlatformAddress() const { return m_platform_endpoint; }
  Process& Node(std::size_t index) { return *m_servers[index].node; }
  Process& Backend(std::size_t index) { return *m_servers[index].backend_process; }

  // Starts a node or a backend server that ended, with the same addresses.
  void RestartNode(std::size_t index);
  void RestartBackend(std::size_t index);

  // Waits until a call through each node is answered.
  bool WaitUntilAllServe();

  // Waits until a backend server answers.
  bool WaitUntilServing(std::size_t index);

  // Waits until a node answers /readyz with 200.
  bool WaitUntilReady(std::size_t index);

  // Waits until a node has links to all others.
  bool WaitUntilLinked(std::size_t index);

  // Sends a request through a node's caller port.
  HttpResponse Call(std::size_t index, std::string_view method, std::string_view target,
                    std::vector<HttpHeader> headers = {}, std::string body = {});

  // Sends a request through a node's caller port without waiting.
  ConnectionId Send(std::size_t index, const HttpRequest& request, HttpClient::Done done);

  // Controls one backend server, or all.
  void SetBackend(std::size_t index, std::string_view query);
  void SetBackends(std::string_view query);

  // The log of runs of one backend server; empty if it does not answer.
  QJsonObject Runs(std::size_t index);
  RunCounts RunsOf(std::string_view test_id);
  RunCounts RunsOf(std::size_t index, std::string_view test_id);

  // A node's /status.
  QJsonObject Status(std::size_t index);

  // The value of a line of a node's /metrics, which begins with `name`; 0 if there is none.
  double Metric(std::size_t index, std::string_view name);

  // Sets faults on the links that the first node dialled to the second one.
  void SetPeerLink(std::size_t from, std::size_t to, std::string_view query);

  // Sets faults on the links between two nodes, whichever dialled.
  void SetPeerLinks(std::size_t first, std::size_t second, std::string_view query);

  // Sets faults on all links between regions.
  void SetRegionLinks(std::string_view query);

  // Limits all links between regions together.
  void LimitRegionLinks(double bits_per_second);

  // Bytes that passed the links between regions so far, both ways.
  std::int64_t RegionLinkBytes();

  // Sets faults on the connections to a backend server.
  void SetBackendLink(std::size_t index, std::string_view query);

  // The declaration as in force at the start.
  std::string Declaration() const;

  // Platform stand-in.
  bool PutConfiguration(std::string_view text, int version);
  bool PutVms(int version, const std::vector<std::string>& leaving = {},
              const std::vector<std::string>& absent = {});
  bool ControlPlatform(std::string_view method, std::string_view target, std::string body = {},
                       std::vector<HttpHeader> headers = {});
  QJsonObject PlatformReads();
  Process& Platform() { return *m_platform; }

  // The end of what the nodes printed, for messages of failed tests.
  std::string NodeOutput() const;

  HttpClient& Client() { return m_client; }
  std::string Folder() const { return m_folder.path().toStdString(); }

 private:
  struct Server {
    FleetServer plan;
    Endpoint caller;
    Endpoint peer;
    Endpoint admin;
    Endpoint backend;
    Endpoint declared_backend;  // The proxy, if there is one.
    std::unique_ptr<Process> node;
    std::unique_ptr<Process> backend_process;
  };

  // One direction of dialling between two nodes.
  struct PeerPair {
    std::size_t from;
    std::size_t to;
    std::size_t number;  // Of the proxy's pair.
    Endpoint listen;
  };

  void PlanProxy();
  std::size_t AddProxyPair(const Endpoint& listen, const Endpoint& target);
  void CreateProcesses();
  std::vector<std::string> NodeArguments(std::size_t index) const;
  std::string LogFile(std::string_view name) const;
  void SetProxy(std::size_t pair, std::string_view query);
  bool IsBetweenRegions(const PeerPair& pair) const;
  HttpResponse Fetch(const Endpoint& endpoint, std::string_view method, std::string_view target);

  FleetOptions m_options;
  QTemporaryDir m_folder;
  HttpClient m_client;
  std::vector<Server> m_servers;
  std::vector<std::string> m_proxy_arguments;
  std::size_t m_proxy_pairs = 0;
  std::vector<PeerPair> m_peer_pairs;
  std::vector<std::size_t> m_backend_pairs;
  Endpoint m_proxy_control;
  Endpoint m_platform_endpoint;
  std::unique_ptr<Process> m_proxy;
  std::unique_ptr<Process> m_platform;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FLEET_H_
