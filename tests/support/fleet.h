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

// A VM of a fleet: a backend server and the node next to it.
struct FleetServer {
  std::string id;
  std::string region = "west";
  std::string data_centre = "w1";
  int slots = 4;
  int connections = 64;
  std::string service = "shop";  // Or "front", whose nodes only forward calls.
  std::vector<std::string> backend_arguments = {};
};

// The processes and the declaration of a fleet. The declaration has the service "shop" with these
// rules: GET /read has priority urgent, POST /book is urgent and not idempotent, GET /page is
// normal, GET /bulk is bulk, POST /job is bulk and not idempotent.
struct FleetOptions {
  std::vector<FleetServer> servers = {};
  bool with_platform = false;   // Use the platform stand-in instead of a declaration file.
  bool proxy_peers = false;     // Route links between nodes through the proxy.
  bool proxy_backends = false;  // Route backend connections through the proxy.
  std::vector<std::string> node_arguments = {};
  std::string priorities = {};  // JSON array; empty for the default priorities.
  int deadline_ms = 5000;
  int max_body_bytes = 4 << 20;
  int health_interval_ms = 500;
  double hedge_share = 0.05;
  int measuring_bytes_per_second = 100000;
  int paid_link_bytes_per_second = 3000000;
};

// Returns `count` servers s1, s2, ... in one data centre.
std::vector<FleetServer> SmallFleet(int count, int slots = 4);

// Like SmallFleet(), but the first server belongs to the service "front", so that its node forwards
// all calls to other nodes.
std::vector<FleetServer> FleetWithIngressOnlyNode(int count, int slots = 4);

// How often requests with a given test id were started on the backend servers.
struct RunCounts {
  int ran = 0;
  int completed = 0;
  int cut = 0;  // The connection was closed during the run.
};

// Runs nodes and their backend servers as processes on 127.0.0.1, optionally with the platform
// stand-in and the fault-injecting proxy. Nodes and backend servers are identified by the index of
// their entry in FleetOptions::servers.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts all processes and waits until all nodes are ready and linked. Returns false on a
  // timeout.
  bool Start();

  std::size_t Size() const { return m_servers.size(); }
  const Endpoint& Caller(std::size_t index) const { return m_servers[index].caller; }
  const Endpoint& Peer(std::size_t index) const { return m_servers[index].peer; }
  const Endpoint& Admin(std::size_t index) const { return m_servers[index].admin; }
  const Endpoint& BackendAddress(std::size_t index) const { return m_servers[index].backend; }
  const Endpoint& PlatformAddress() const { return m_platform_endpoint; }
  Process& Node(std::size_t index) { return *m_servers[index].node; }
  Process& Backend(std::size_t index) { return *m_servers[index].backend_process; }

  // Kills a node or a backend server if it is running, and starts it with the same addresses.
  void RestartNode(std::size_t index);
  void RestartBackend(std::size_t index);

  // Waits until a call through each node has the outcome "answered". This and the other wait
  // functions return false on a timeout.
  bool WaitUntilAllServe();

  // Waits until a backend server responds to health checks.
  bool WaitUntilServing(std::size_t index);

  // Waits until a node responds to /readyz with status 200.
  bool WaitUntilReady(std::size_t index);

  // Waits until a node has links to all others.
  bool WaitUntilLinked(std::size_t index);

  // Sends a request to a node's caller port and waits for the response.
  HttpResponse Call(std::size_t index, std::string_view method, std::string_view target,
                    std::vector<HttpHeader> headers = {}, std::string body = {});

  // Sends a request to a node's caller port without waiting; `done` receives the response.
  ConnectionId Send(std::size_t index, const HttpRequest& request, HttpClient::Done done);

  // Sends the options in `query` to /control/set of one backend server, or of all.
  void SetBackend(std::size_t index, std::string_view query);
  void SetBackends(std::string_view query);

  // Returns the run statistics of one backend server; empty if it does not respond.
  QJsonObject Runs(std::size_t index);
  RunCounts RunsOf(std::string_view test_id);
  RunCounts RunsOf(std::size_t index, std::string_view test_id);

  // Returns the response of a node's /status.
  QJsonObject Status(std::size_t index);

  // Returns the value of the sample `name` in a node's /metrics; 0 if there is none. `name`
  // includes the labels.
  double Metric(std::size_t index, std::string_view name);

  // Sets faults on the links that node `from` dialled to node `to`.
  void SetPeerLink(std::size_t from, std::size_t to, std::string_view query);

  // Sets faults on the links between two nodes, whichever node dialled them.
  void SetPeerLinks(std::size_t first, std::size_t second, std::string_view query);

  // Sets faults on all links between regions.
  void SetRegionLinks(std::string_view query);

  // Limits the total bandwidth of all links between regions, in each direction.
  void LimitRegionLinks(double bits_per_second);

  // Returns the bytes that the links between regions have carried in both directions.
  std::int64_t RegionLinkBytes();

  // Sets faults on the connections to a backend server.
  void SetBackendLink(std::size_t index, std::string_view query);

  // Returns the JSON text of the declaration that the nodes start with.
  std::string Declaration() const;

  // Control of the platform stand-in. PutVms() lists all servers but those in `absent`, and marks
  // those in `leaving` as leaving. Return false if the request failed.
  bool PutConfiguration(std::string_view text, int version);
  bool PutVms(int version, const std::vector<std::string>& leaving = {},
              const std::vector<std::string>& absent = {});
  bool ControlPlatform(std::string_view method, std::string_view target, std::string body = {},
                       std::vector<HttpHeader> headers = {});
  QJsonObject PlatformReads();
  Process& Platform() { return *m_platform; }

  // Returns the last 2000 bytes of each node's output, for assertion messages.
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
    Endpoint declared_backend;  // The proxy's address if proxied.
    std::unique_ptr<Process> node;
    std::unique_ptr<Process> backend_process;
  };

  // The proxy's pair for the links that node `from` dials to node `to`.
  struct PeerPair {
    std::size_t from;
    std::size_t to;
    std::size_t number;  // Index of the pair in the proxy.
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
