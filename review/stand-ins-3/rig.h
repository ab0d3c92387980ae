#ifndef DAMASKHOLLOW_REVIEW_STANDINS3_RIG_H_
#define DAMASKHOLLOW_REVIEW_STANDINS3_RIG_H_

// Stand-ins for one small deployment on the users' platform: the store, instances, clients, and the
// platform that starts, watches and stops the nodes. Only loopback addresses are used. They speak
// what PROTOCOL.md says and behave well where it is silent.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// Milliseconds since the start of the program, on the steady clock.
double NowMs();
void SleepMs(double ms);

// Writes lines with their time to record.txt; may be used from any thread.
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const std::string& text);
};

struct Message {
  std::string start;  // The request line or the status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;

  std::string Header(const std::string& name) const;  // Empty if there is none.
  std::string Method() const;
  std::string Target() const;
  int Status() const;  // 0 if the connection ended before a status line.
};

// A connected socket; closes it when destroyed.
class Socket {
 public:
  explicit Socket(int descriptor = -1) : m_descriptor(descriptor) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  bool Connect(const std::string& ip, int port, int timeout_ms);
  bool Send(const std::string& bytes);
  // Reads one message. `is_response_to` is the method of the request that it answers; empty for a
  // request. Returns false if the connection ended before the message was complete.
  bool Read(Message& message, double until_ms, const std::string& is_response_to = "");
  bool PeerClosed() const;
  // The bytes that were sent on this connection and that the process at its other end, on the same
  // machine, has not read yet.
  std::size_t UnreadByPeer() const;
  void Close();
  void Reset();  // Closes with RST.
  int Descriptor() const { return m_descriptor; }
  std::string& Buffer() { return m_buffer; }

 private:
  bool Fill(double until_ms);

  int m_descriptor;
  std::string m_buffer;
};

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;
  Server(const std::string& ip, int port, Serve serve);
  ~Server();

 private:
  int m_listener = -1;
  std::atomic<bool> m_stopped{false};
  Serve m_serve;
  std::thread m_thread;
};

// The platform's metadata store.
class Store {
 public:
  Store(const std::string& ip, int port);

  // Writes or removes a key; returns the new revision, which is the acknowledgement.
  std::uint64_t Put(const std::string& key, const std::string& value);
  std::uint64_t Delete(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool deleted = false;
  };

  void Serve(Socket& socket);
  std::string Answer(const std::string& target);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, std::uint64_t after, int wait_ms);

  std::mutex m_lock;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  std::uint64_t m_revision = 100;
  Server m_server;
};

// The path from one machine to the store. While it is cut, nothing arrives in either direction and
// nothing is reset; what is held up is lost when its sender gives up.
class StorePath {
 public:
  StorePath(const std::string& ip, int port, std::string store_ip);
  void SetCut(bool is_cut) { m_is_cut = is_cut; }
  // The time at which the machine last sent a watch of the list of instances.
  double LastWatchMs() const { return m_last_watch; }

 private:
  void Serve(Socket& socket);

  const int m_port;
  const std::string m_store_ip;
  std::atomic<bool> m_is_cut{false};
  std::atomic<double> m_last_watch{0.0};
  Server m_server;
};

// One run of a request at an instance.
struct Run {
  std::string instance;
  std::string service;
  std::string request_id;
  std::string method;
  std::string target;
  std::string caller_service;
  std::string deadline;
  std::size_t body_bytes = 0;
  std::string body;
  double started = 0.0;
};

struct InstanceOptions {
  std::string id;
  std::string service;
  std::string ip;
  int port = 0;
  std::string zone;
  int slots = 9;
  int queue = 18;
  double work_ms = 20.0;
  int cold_ms = 0;
  bool keeps_bodies = false;
  // Returns the time that this request takes; -1 for the usual one.
  std::function<double(const Message&)> work;
  // Answers in place of the instance; returns false if it doesn't.
  std::function<bool(const Message&, Socket&)> answer;
};

class Instance {
 public:
  Instance(InstanceOptions options, Store& store);

  // Writes the entry. What an instance writes later changes only `seq`, which changes nothing in
  // the store.
  void Register(const std::string& state = "ready");
  void Unregister();
  // Changes how much longer the instance says that it remains slow.
  void SetCold(int cold_ms);
  // The instance ends: what it works on is lost, and nothing is accepted any more.
  void Exit() { m_has_ended = true; }
  std::vector<Run> Runs() const;
  const InstanceOptions& Options() const { return m_options; }

 private:
  void Serve(Socket& socket);

  InstanceOptions m_options;
  Store& m_store;
  mutable std::mutex m_lock;
  std::vector<Run> m_runs;
  std::atomic<int> m_running{0};
  std::atomic<int> m_waiting{0};
  std::string m_state = "ready";
  std::atomic<bool> m_has_ended{false};
  std::uint64_t m_sequence = 0;
  std::int64_t m_born = 0;
  Server m_server;
};

struct NodeOptions {
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  int memory_mb = 260;
};

// Addresses of a deployment: free ports, the same on all machines.
struct Ports {
  std::string prefix;  // The first three numbers of all addresses.
  int app = 8145;
  int inbound = 8146;
  int outbound = 8147;
  int ready = 8141;
  int peer = 7380;
  int store = 8142;

  std::string Ip(int machine) const { return prefix + "." + std::to_string(machine); }
  static Ports Find(int machines);
};

// A node's process: started with the settings that the template makes, and killed at the end.
class Node {
 public:
  Node(NodeOptions options, const Ports& ports, std::map<std::string, std::string> zones,
       std::string folder);
  ~Node();

  void WriteSettings();
  void SetService(const std::string& service) { m_options.service = service; }
  void Start();
  void Signal(int signal) const;
  // Whether the process has ended; `status` gets what waitpid tells.
  bool HasEnded(int& status);
  void KillAndWait();
  bool IsReady() const;
  bool WaitReady(double timeout_ms) const;
  // The most memory that the process has had resident; 0 if there is no process.
  std::size_t PeakMemoryBytes() const;
  const NodeOptions& Options() const { return m_options; }
  const std::string& Ip() const { return m_options.ip; }

 private:
  NodeOptions m_options;
  Ports m_ports;
  std::map<std::string, std::string> m_zones;
  std::string m_folder;
  std::string m_settings;
  int m_pid = -1;
};

struct RouteOptions {
  std::string name;
  std::string host;
  std::string prefix;
  std::string type;
  std::string timeout = "2500ms";
  std::string slo = "500ms";
  int priority = 1;
  std::string service;
  int attempts = 2;
};

// Returns the value of op/config.
std::string Configuration(int version, const std::vector<RouteOptions>& routes,
                          const std::vector<std::string>& services,
                          std::size_t max_header_bytes = 16384,
                          std::size_t max_body_bytes = 67108864);

// Machines in two zones, by default of two regions, with the services portail and entrepot by
// turns, and the store.
class Deployment {
 public:
  // `options` of each instance is adapted before it starts.
  explicit Deployment(const std::function<void(int, InstanceOptions&)>& adapt = {},
                      int machines = 4, bool one_region = false);

  // Writes the configuration, registers the instances, starts the nodes and waits until all are
  // ready and their links are up. Returns false on a timeout.
  bool Start(const std::string& configuration);

  // Ends all processes, removes the folder and ends the program with this status.
  [[noreturn]] void End(int status);

  Ports ports;
  std::string folder;
  Store store;
  std::vector<std::unique_ptr<StorePath>> paths;  // By machine.
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Node>> nodes;
};

// Sends one request on a new connection and waits for its answer.
Message Call(const std::string& ip, int port, const std::string& method, const std::string& target,
             const std::string& host, const std::string& id, int deadline_ms,
             const std::string& body = "", const std::string& more_headers = "");
std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& host, const std::string& id, int deadline_ms,
                        const std::string& body = "", const std::string& more_headers = "");

// Returns a new folder for settings and logs below the folder for temporary files.
std::string MakeFolder();
// The file that the environment names for the record.
std::string RecordPath();
// Whether the environment asks for the run without the disruption.
bool WithTrouble();

}  // namespace rig

#endif  // DAMASKHOLLOW_REVIEW_STANDINS3_RIG_H_
