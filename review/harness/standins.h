#ifndef DAMASKHOLLOW_REVIEW_HARNESS_STANDINS_H_
#define DAMASKHOLLOW_REVIEW_HARNESS_STANDINS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the users' platform store, instances, clients and machines, written from the pages
// of the users. They run in one process; only the nodes are processes of their own.
namespace review {

// Seconds since the start of this process, on a steady clock.
double Now();
void SleepUntil(double time);
void SleepFor(double seconds);

// Writes record.txt: one line an event, with its time. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex m_lock;
  std::ofstream m_file;
};

// A message of HTTP/1.1. Header names are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// Reads one message. Returns false if the connection ended or the time passed first. A body has a
// length or is sent in chunks.
bool ReadMessage(int descriptor, std::string& buffer, Message& message, double until);
bool WriteAll(int descriptor, const std::string& bytes);
// Opens a connection; returns -1 if it is refused or not open within a second.
int Dial(const std::string& ip, int port);
// A port on which nothing listens at the loopback addresses that the scenarios use.
int FreePort();

// Accepts connections and serves each in a thread of its own. The handler returns the bytes of the
// answer; with an empty answer the connection is closed.
class Server {
 public:
  using Handler = std::function<std::string(int descriptor, const Message& request)>;

  Server(std::string ip, int port, Handler handler);
  ~Server();
  void Open();
  // Closes the listening socket and resets all connections, as the end of a process does.
  void Close();

 private:
  void Accept(int listener);
  void Serve(int descriptor);

  std::string m_ip;
  int m_port;
  Handler m_handler;
  std::mutex m_lock;
  int m_listener = -1;
  std::set<int> m_connections;
  std::atomic<int> m_threads{0};
};

// The platform's store, as far as the system reads it: range and watch.
class Store {
 public:
  Store(std::string ip, int port);
  ~Store();
  // Writes an item; returns when it is acknowledged.
  double Put(const std::string& key, const std::string& value);
  double Delete(const std::string& key);
  // A silent store accepts connections and requests, and never answers what came meanwhile.
  void SetSilent(bool is_silent) { m_is_silent = is_silent; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string key;
    bool deleted = false;
    Item item;
  };

  std::string Handle(int descriptor, const Message& request);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, std::uint64_t after, int wait_ms);
  static std::string ItemJson(const std::string& key, const Item& item);

  std::mutex m_lock;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 100;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  bool m_ending = false;
  std::atomic<bool> m_is_silent{false};
  Server m_server;
};

struct Run {
  double time = 0;
  double ended = 0;  // 0 while it runs.
  std::string id;
  std::string target;
  std::string caller;
  std::string deadline;
  std::string outcome;
};

struct InstanceOptions {
  std::string id;
  std::string ip;
  int port = 0;
  std::string service;
  int slots = 9;
  int queue = 18;
  double work = 0.1;                  // Seconds that a request takes.
  std::set<std::string> crash_paths;  // Paths of requests that crash the instance.
  double down_time = 2.0;             // Seconds after a crash until it is back.
};

// An instance of a service.
class Instance {
 public:
  Instance(InstanceOptions options, Record& record, std::function<void()> on_back);
  ~Instance();
  const InstanceOptions& Options() const { return m_options; }
  std::vector<Run> Runs();
  // Ends the process of the instance for good.
  void Exit();
  int Crashes() const { return m_crashes; }
  bool IsUp() const { return m_up; }
  // The value of its entry in the store.
  std::string Entry(const std::string& state) const;

 private:
  std::string Handle(int descriptor, const Message& request);
  std::string Work(int descriptor, const Message& request, double deadline, std::size_t run);
  void Crash();
  std::string Load(int extra_running) const;

  InstanceOptions m_options;
  Record& m_record;
  std::function<void()> m_on_back;
  std::mutex m_lock;
  std::condition_variable m_slot_free;
  int m_running = 0;
  int m_waiting = 0;
  std::vector<Run> m_runs;
  std::atomic<bool> m_up{true};
  std::atomic<int> m_life{0};
  std::atomic<int> m_crashes{0};
  std::atomic<long> m_seals{0};
  std::thread m_restart;
  Server m_server;
};

struct MachineOptions {
  std::string ip;
  std::string zone = "zone-a";
  std::string service;
  int outbound_port = 0;
  int ready_port = 0;
  int peer_port = 0;
  std::string store;
  std::string folder;  // For its settings file and its output.
  std::map<std::string, std::string> zones{{"zone-a", "region-a"}};
};

// One machine's node: the program of the deploy file, with the settings that its template gives.
class Machine {
 public:
  Machine(MachineOptions options, Record& record);
  ~Machine();
  const MachineOptions& Options() const { return m_options; }
  bool Start();
  void WriteSettings();
  void SetService(const std::string& service) { m_options.service = service; }
  void Signal(int signal);
  // Waits for the end of the process; kills it after `seconds`. Returns whether it ended itself.
  bool WaitForExit(double seconds);
  bool IsReady() const;
  bool WaitUntilReady(double seconds) const;
  bool HasEnded();
  // The most resident memory that the process has held, and how much is files mapped into it, in
  // MB of 2^20 bytes.
  struct Memory {
    double peak = 0;
    double files = 0;
  };
  Memory PeakMemory() const;
  void SendKill();

 private:
  MachineOptions m_options;
  Record& m_record;
  pid_t m_pid = -1;
};

struct Answer {
  int status = 0;  // 0: the connection ended, or the time passed, without a complete answer.
  bool timed_out = false;
  double sent = 0;
  double ended = 0;
  Message message;
};

struct Request {
  std::string method = "GET";
  std::string host = "mesh.example";
  std::string target;
  std::string id;
  int deadline_ms = 4000;
  std::string body;
};

// Sends one request on a connection of its own and waits for its answer.
Answer Send(const Machine& machine, const Request& request);
std::string NextRequestId();

// The text of a route for op/config.
std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& type,
                      const std::string& service, const std::string& timeout,
                      const std::string& slo, int priority, int attempts);
std::string ConfigurationJson(int version, const std::vector<std::string>& routes,
                              const std::vector<std::string>& services,
                              long max_body_bytes = 65536);

}  // namespace review

#endif  // DAMASKHOLLOW_REVIEW_HARNESS_STANDINS_H_
