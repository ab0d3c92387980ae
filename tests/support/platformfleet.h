#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFLEET_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFLEET_H_

#include <QJsonObject>
#include <QTemporaryDir>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "support/httpclient.h"
#include "support/httpserver.h"
#include "support/process.h"
#include "support/standinstore.h"

namespace damaskhollow::test {

// A stand-in for one instance of a service on the users' platform, as callers see it. Requests to
// /slow/ take 300 ms; requests to /lost/ run, but the connection is closed without a response;
// requests to /hold/ run without end.
class StandInInstance {
 public:
  struct Run {
    std::string request_id;
    std::string caller_service;
    std::string target;
    std::string body;
  };

  StandInInstance(std::string id, const Endpoint& address);

  const std::string& Id() const { return m_id; }
  const Endpoint& Address() const { return m_address; }
  const std::vector<Run>& Runs() const { return m_runs; }

 private:
  void Handle(ConnectionId connection, const HttpRequest& request);
  void SendResponse(ConnectionId connection, const Run& run);

  const std::string m_id;
  const Endpoint m_address;
  std::vector<Run> m_runs;
  HttpServer m_server;
};

struct PlatformFleetOptions {
  std::size_t nodes = 2;
  bool two_regions = false;    // Nodes with odd indices are in the region "east".
  double retry_ratio = 0.2;    // The platform's bound on retries.
  bool interruptions = false;  // Nodes preload the library of tests/support/interruptions.
};

// Runs damaskhollow-platform processes, each next to an instance of the service "portal", with a
// stand-in for the metadata store. Nodes are identified by their index.
class PlatformFleet {
 public:
  // The number of nodes unless the options say otherwise.
  static constexpr std::size_t kNodes = 2;
  // The number of slots of each instance.
  static constexpr std::size_t kSlots = 9;

  explicit PlatformFleet(const PlatformFleetOptions& options = {});

  // Writes the configuration to the store; `more_routes` are JSON objects, each preceded by a
  // comma.
  void PutConfiguration(int version, std::string_view more_routes = "");
  void PutInstance(std::size_t index, std::string_view state = "ready");
  void DeleteInstance(std::size_t index);

  void StartNode(std::size_t index);
  // Writes the configuration and the instances to the store, starts all nodes and waits until each
  // of them serves. Returns false on a timeout.
  bool Start();
  bool WaitUntilServing(std::size_t index);

  // Sends a request with the host "shop.test" to a node's outbound address. Call() waits for the
  // response.
  HttpResponse Call(std::size_t index, std::string_view method, std::string_view target,
                    std::string body = {});
  ConnectionId Send(std::size_t index, std::string_view method, std::string_view target,
                    HttpClient::Done done);
  // Lets calls last for up to 30 s, adds the routes /hold/ (safe) and /order/ (unsafe) as
  // configuration 2, and makes the other instance than `index` leave. Returns false on a timeout.
  bool LeaveTo(std::size_t index);
  // Does the same and fills the slots of instance `index` with calls to /hold/slot.
  bool FillSlots(std::size_t index);
  // Begins or ends a series of handled signals in all threads of a node, also across its restarts.
  void BeginInterruptions(std::size_t index);
  void EndInterruptions(std::size_t index);
  // Returns a request with the host "shop.test" and the next request id.
  HttpRequest MakeOutboundRequest(std::string_view method, std::string_view target,
                                  std::string body);
  // Leaves the folder with settings and logs in place when this object is destroyed. Returns its
  // path.
  std::string KeepFolder();
  // How often requests with this target ran on an instance.
  std::size_t CountRuns(std::size_t index, std::string_view target);
  int ReadyStatus(std::size_t index);
  // The number of calls that wait at a node's owner for its instance.
  int QueuedCalls(std::size_t index);
  // Whether a node takes an instance to be in use, according to its status.
  bool SeesLive(std::size_t node, std::size_t instance);
  std::string NextRequestId() const { return "r-" + std::to_string(m_next_request); }
  std::string LastRequestId() const { return "r-" + std::to_string(m_next_request - 1); }

  std::size_t Size() const { return m_servers.size(); }
  const Endpoint& OutboundAddress(std::size_t index) const { return m_servers[index].outbound; }
  StandInStore& Store() { return m_store; }
  StandInInstance& Instance(std::size_t index) { return *m_servers[index].instance; }
  Process& Node(std::size_t index) { return *m_servers[index].node; }
  std::string Output() const;

 private:
  struct Server {
    std::string ip;
    std::string region;
    Endpoint outbound;
    Endpoint ready;
    std::unique_ptr<StandInInstance> instance;
    std::unique_ptr<Process> node;
  };

  QJsonObject Status(std::size_t index);
  std::string SettingsJson(const Server& server) const;
  // Exists while the node is to be interrupted.
  QString InterruptionsPath(std::size_t index) const;

  const bool m_with_interruptions;
  const double m_retry_ratio;
  QTemporaryDir m_folder;
  HttpClient m_client;
  StandInStore m_store;
  std::uint16_t m_peer_port;
  std::vector<Server> m_servers;
  std::chrono::milliseconds m_deadline{4000};
  int m_next_request = 1;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFLEET_H_
