// Stand-ins for the platform of a small deployment, as the users' pages describe it: the metadata
// store, instances with one node each, and the clients on the machines. The nodes are the project's
// own program, started with the command of the deploy file.
#ifndef DAMASKHOLLOW_REVIEW_STANDINS2_FLEET_H_
#define DAMASKHOLLOW_REVIEW_STANDINS2_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <vector>

#include "http.h"

namespace review {

// The record of a run, and what is said on standard output at its end.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path), m_start(Clock::now()) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(m_lock);
    char time[32];
    const std::chrono::duration<double> elapsed = Clock::now() - m_start;
    std::snprintf(time, sizeof(time), "%9.3f s  ", elapsed.count());
    m_file << time << text << std::endl;
  }

 private:
  std::mutex m_lock;
  std::ofstream m_file;
  const Clock::time_point m_start;
};

inline std::string Base64(const std::string& text) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t index = 0; index < text.size(); index += 3) {
    std::uint32_t bits = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      const std::size_t at = index + byte;
      bits = bits << 8U | (at < text.size() ? static_cast<unsigned char>(text[at]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool is_padding = index + digit > text.size();
      result += is_padding ? '=' : kDigits[bits >> (18U - 6U * digit) & 63U];
    }
  }
  return result;
}

inline std::string QueryField(const std::string& target, const std::string& name) {
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    const std::size_t end = target.find('&', ++start);
    const std::string field = target.substr(start, end - start);
    if (field.starts_with(name + "=")) return field.substr(name.size() + 1);
    start = end;
  }
  return {};
}

// The platform's store: items, ranges and watches.
class Store {
 public:
  Store() : m_server({"127.0.0.1", 0}, [this](Connection& connection) { Serve(connection); }) {}

  const Address& Where() const { return m_server.Where(); }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_lock);
    Item& item = m_items[key];
    item.encoded = Base64(value);
    item.revision = ++m_revision;
    if (item.created == 0) item.created = m_revision;
    m_changes.push_back({m_revision, key, Clock::now()});
    m_changed.notify_all();
  }

 private:
  static constexpr std::chrono::seconds kHistory{20};

  struct Item {
    std::string encoded;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    Clock::time_point at;
  };

  void Serve(Connection& connection) {
    Message request;
    while (connection.Receive(request, Clock::now() + std::chrono::hours(1), false)) {
      const std::string target = request.Target();
      std::optional<std::string> body;
      if (target.starts_with("/v1/kv-range")) {
        body = Range(QueryField(target, "prefix"), QueryField(target, "after"));
      } else if (target.starts_with("/v1/kv-watch")) {
        body = Watch(QueryField(target, "prefix"), std::stoull(QueryField(target, "after")),
                     milliseconds(std::stol(QueryField(target, "waitMs"))));
      } else {
        connection.Send(Response(404, "", ""));
        continue;
      }
      const std::string response =
          body ? Response(200, "Content-Type: application/json\r\n", *body) : Response(410, "", "");
      if (!connection.Send(response)) return;
      if (request.Header("connection") == "close") return;
    }
  }

  static std::string ItemJson(const std::string& key, const Item& item) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + item.encoded +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
  }

  std::string Range(const std::string& prefix, const std::string& after) {
    constexpr std::size_t kPageBytes = 1000000;
    constexpr std::size_t kPageItems = 500;
    const std::lock_guard lock(m_lock);
    std::string list;
    std::size_t items = 0;
    bool has_more = false;
    for (const auto& [key, item] : m_items) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
      has_more = items == kPageItems || list.size() >= kPageBytes;
      if (has_more) break;
      list += (list.empty() ? "" : ",") + ItemJson(key, item);
      ++items;
    }
    return "{\"items\":[" + list + "],\"hasMore\":" + (has_more ? "true" : "false") +
           ",\"currentRev\":" + std::to_string(m_revision) + "}";
  }

  // Empty if the history after that revision is no longer there.
  std::optional<std::string> Watch(const std::string& prefix, std::uint64_t after,
                                   milliseconds wait) {
    std::unique_lock lock(m_lock);
    while (!m_changes.empty() && Clock::now() - m_changes.front().at > kHistory) {
      m_compacted = m_changes.front().revision;
      m_changes.erase(m_changes.begin());
    }
    if (after < m_compacted) return std::nullopt;
    std::map<std::string, std::uint64_t> keys;
    const auto has_events = [&] {
      for (const Change& change : m_changes) {
        const bool is_event = change.revision > after && change.key.starts_with(prefix);
        if (is_event) keys[change.key] = change.revision;
      }
      return !keys.empty();
    };
    m_changed.wait_for(lock, wait, has_events);
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, revision] : keys) {
      const auto item = m_items.find(key);
      events.emplace_back(revision, item != m_items.end()
                                        ? ItemJson(key, item->second)
                                        : "{\"key\":\"" + key + "\",\"revision\":" +
                                              std::to_string(revision) + ",\"deleted\":true}");
    }
    std::sort(events.begin(), events.end());
    std::string list;
    for (const auto& event : events) list += (list.empty() ? "" : ",") + event.second;
    return "{\"events\":[" + list + "],\"currentRev\":" + std::to_string(m_revision) + "}";
  }

  std::mutex m_lock;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_changes;
  std::uint64_t m_compacted = 0;
  std::uint64_t m_revision = 100;
  Server m_server;
};

// One run of a request on an instance.
struct Run {
  std::string request_id;
  std::string method;
  std::string target;
  std::size_t body_bytes = 0;
  std::string caller;
};

// An instance of a service. It answers every request at once with 200, its seal and the id, unless
// `answer` does it.
class Instance {
 public:
  // Answers a request that has begun to run. Returns false to end the connection.
  using Answer = std::function<bool(Connection&, const Message&, const Run&)>;

  Instance(std::string id, const std::string& ip, std::string service, Answer answer = {})
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_answer(std::move(answer)),
        m_server({ip, 0}, [this](Connection& connection) { Serve(connection); }) {}

  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  const Address& Where() const { return m_server.Where(); }
  std::vector<Run> Runs() const {
    const std::lock_guard lock(m_lock);
    return m_runs;
  }
  std::size_t CountRuns(const std::string& request_id) const {
    const std::lock_guard lock(m_lock);
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(),
                      [&](const Run& run) { return run.request_id == request_id; }));
  }

  // The head fields of an answer to a run, without those of the body.
  std::string Fields(const Run& run) const {
    return "Request-Id: " + run.request_id + "\r\nResponse-Seal: seal-" + run.request_id +
           "\r\nInstance-Load: 1,0,9,100\r\nKeep-Alive: timeout=10\r\n";
  }

 private:
  void Serve(Connection& connection) {
    Message request;
    while (connection.Receive(request, Clock::now() + std::chrono::seconds(10), false)) {
      if (request.Target() == "/healthz") {
        connection.Send(
            Response(200, "Instance-Id: " + m_id + "\r\nInstance-Load: 1,0,9,100\r\n", ""));
        continue;
      }
      const Run run{request.Header("request-id"), request.Method(), request.Target(),
                    request.body.size(), request.Header("caller-service")};
      if (request.Header("expect-instance") != m_id) {
        connection.Send(Response(421,
                                 "Request-Id: " + run.request_id +
                                     "\r\nNot-Executed: 1\r\nInstance-Id: " + m_id + "\r\n",
                                 ""));
        continue;
      }
      {
        const std::lock_guard lock(m_lock);
        m_runs.push_back(run);
      }
      if (m_answer) {
        if (!m_answer(connection, request, run)) return;
      } else if (!connection.Send(Response(200, Fields(run), "done by " + m_id))) {
        return;
      }
    }
  }

  const std::string m_id;
  const std::string m_service;
  const Answer m_answer;
  mutable std::mutex m_lock;
  std::vector<Run> m_runs;
  Server m_server;
};

struct Zone {
  std::string name;
  std::string region;
};

// A machine: an instance and the node beside it.
class Machine {
 public:
  Machine(std::string ip, Zone zone, std::unique_ptr<Instance> instance)
      : m_ip(std::move(ip)), m_zone(std::move(zone)), m_instance(std::move(instance)) {
    m_outbound = {m_ip, FreePort(m_ip)};
    m_ready = {m_ip, FreePort(m_ip)};
  }
  ~Machine() { Kill(); }

  Instance& App() { return *m_instance; }
  const Address& Outbound() const { return m_outbound; }
  const std::string& Ip() const { return m_ip; }
  const Zone& Where() const { return m_zone; }

  // Starts the node with the settings in `settings` and its output in `log`.
  void Start(const std::string& settings, const std::string& log) {
    m_settings = settings;
    m_log = log;
    Start();
  }
  void Start() {
    m_pid = ::fork();
    if (m_pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    const std::string variable = "DAMASKHOLLOW_CONFIG=" + m_settings;
    const std::string path = std::string("PATH=") + (::getenv("PATH") ? ::getenv("PATH") : "");
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    char program[] = "target/bin/damaskhollow-platform";
    char* const arguments[] = {program, nullptr};
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
  void Kill() {
    if (m_pid <= 0) return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  bool IsReady() const {
    try {
      Connection connection(Connection::Dial(m_ready));
      connection.Send("GET /v1/readyz HTTP/1.1\r\nHost: " + m_ready.Text() + "\r\n\r\n");
      Message answer;
      const auto until = Clock::now() + std::chrono::seconds(1);
      return connection.Receive(answer, until, true) && answer.Status() == 200;
    } catch (const std::exception&) {
      return false;
    }
  }
  // What deploy/settings.json.in gives for this machine.
  std::string Settings(const Address& store, int peer_port, std::size_t memory_mb,
                       const std::string& zones) const {
    const auto text = [](const std::string& value) { return "\"" + value + "\""; };
    std::ostringstream json;
    json << "{\"product\": {\"DAMASKHOLLOW_SERVER_ID\": " << text(m_ip)
         << ", \"DAMASKHOLLOW_REGION\": " << text(m_zone.region)
         << ", \"DAMASKHOLLOW_DATA_CENTRE\": " << text(m_zone.name)
         << ", \"DAMASKHOLLOW_LISTEN\": " << text(m_outbound.Text())
         << ", \"DAMASKHOLLOW_PEER_LISTEN\": " << text(m_ip + ":" + std::to_string(peer_port))
         << ", \"DAMASKHOLLOW_ADMIN_LISTEN\": " << text(m_ready.Text())
         << ", \"DAMASKHOLLOW_CONFIGURATION_URL\": " << text("http://" + store.Text())
         << ", \"DAMASKHOLLOW_VM_LIST_URL\": " << text("http://" + store.Text())
         << ", \"DAMASKHOLLOW_WORKERS\": \"1\", \"DAMASKHOLLOW_BODY_MEMORY_BYTES\": \"67108864\""
         << ", \"DAMASKHOLLOW_MEMORY_BYTES\": \"" << memory_mb << "000000\""
         << ", \"DAMASKHOLLOW_DRAIN_ANNOUNCE_MS\": \"2500\"}, \"store\": " << text(store.Text())
         << ", \"peer_port\": " << peer_port << ", \"service\": " << text(m_instance->Service())
         << ", \"zones\": " << zones
         << ", \"retry_ratio\": 0.2, \"retry_extra\": 58, \"max_descriptors\": 4100"
         << ", \"grace\": \"6s\"}";
    return json.str();
  }
  // The entry of the instance in the store.
  std::string Entry(const std::string& state = "ready", int seq = 1) const {
    return "{\"service\":\"" + m_instance->Service() + "\",\"address\":\"" +
           m_instance->Where().Text() + "\",\"zone\":\"" + m_zone.name +
           "\",\"configVersion\":\"v1\",\"slots\":9,\"state\":\"" + state +
           "\",\"cold\":\"0ms\",\"seq\":" + std::to_string(seq) + ",\"born\":1790000000000}";
  }

 private:
  const std::string m_ip;
  const Zone m_zone;
  std::unique_ptr<Instance> m_instance;
  Address m_outbound;
  Address m_ready;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

// A route of the configuration.
inline std::string Route(const std::string& name, const std::string& prefix,
                         const std::string& type, const std::string& service,
                         const std::string& timeout = "5000ms") {
  return "{\"name\":\"" + name + "\",\"hostname\":\"shop.example\",\"prefix\":\"" + prefix +
         "\",\"routeType\":\"" + type + "\",\"timeout\":\"" + timeout +
         "\",\"slo\":\"600ms\",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2}";
}

inline std::string Configuration(int version, const std::vector<std::string>& routes,
                                 const std::vector<std::string>& services) {
  std::string text = "{\"configVersion\":" + std::to_string(version) + ",\"routes\":[";
  for (std::size_t index = 0; index < routes.size(); ++index) {
    text += (index > 0 ? "," : "") + routes[index];
  }
  text += "],\"services\":[";
  for (std::size_t index = 0; index < services.size(); ++index) {
    text += std::string(index > 0 ? "," : "") + "{\"name\":\"" + services[index] +
            "\",\"healthPath\":\"/healthz\",\"maxConns\":220,\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":"
         "\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

// Machines in one region whose zones are "a" and "b", with a store.
class Fleet {
 public:
  explicit Fleet(std::string folder, std::size_t memory_mb = 260)
      : m_folder(std::move(folder)), m_memory_mb(memory_mb), m_peer_port(FreePort("127.0.0.2")) {}

  Store& Platform() { return m_store; }
  std::vector<std::unique_ptr<Machine>>& Machines() { return m_machines; }
  Machine& At(std::size_t index) { return *m_machines[index]; }

  void Add(const std::string& service, Instance::Answer answer = {}) {
    const std::size_t index = m_machines.size();
    const std::string ip = "127.0.0." + std::to_string(index + 2);
    const Zone zone{index % 2 == 0 ? "a" : "b", "east"};
    m_machines.push_back(std::make_unique<Machine>(
        ip, zone,
        std::make_unique<Instance>("i-" + std::to_string(index), ip, service, std::move(answer))));
  }
  void PutEntry(std::size_t index, const std::string& state = "ready") {
    m_store.Put("servers/" + At(index).App().Id(), At(index).Entry(state, ++m_seq));
  }
  // Starts all nodes; returns whether they are ready within 30 s and serve `target`.
  bool Start(const std::string& configuration, const std::string& target) {
    m_store.Put("op/config", configuration);
    for (std::size_t index = 0; index < m_machines.size(); ++index) PutEntry(index);
    for (const auto& machine : m_machines) {
      const std::string path = m_folder + "/settings-" + machine->Ip() + ".json";
      std::ofstream(path) << machine->Settings(m_store.Where(), m_peer_port, m_memory_mb,
                                               R"({"a":"east","b":"east"})");
      machine->Start(path, m_folder + "/node-" + machine->Ip() + ".log");
    }
    const auto until = Clock::now() + std::chrono::seconds(30);
    for (const auto& machine : m_machines) {
      while (!machine->IsReady() || Call(*machine, "GET", target).status != 200) {
        if (Clock::now() > until) return false;
        std::this_thread::sleep_for(milliseconds(100));
      }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    return true;
  }

  struct Result {
    int status = 0;  // 0: no complete answer.
    std::string error;
    std::string request_id;
    std::string seal;
    std::string body;
  };

  std::string NextId() { return "q" + std::to_string(m_next_id++); }
  std::string Head(const std::string& method, const std::string& target, const std::string& id,
                   std::size_t body_bytes = 0, int deadline_ms = 5000) const {
    std::string head = method + " " + target +
                       " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (body_bytes > 0) head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    return head + "\r\n";
  }

  // Sends one request on a connection of its own.
  Result Call(Machine& machine, const std::string& method, const std::string& target,
              const std::string& body = {}, int deadline_ms = 5000) {
    Result result;
    result.request_id = NextId();
    try {
      Connection connection(Connection::Dial(machine.Outbound()));
      connection.Send(Head(method, target, result.request_id, body.size(), deadline_ms) + body);
      Message answer;
      const auto until = Clock::now() + milliseconds(deadline_ms + 1000);
      if (!connection.Receive(answer, until, true)) {
        result.error = connection.error;
        return result;
      }
      result.status = answer.Status();
      result.seal = answer.Header("response-seal");
      result.body = answer.body;
    } catch (const std::exception& error) {
      result.error = error.what();
    }
    return result;
  }

 private:
  const std::string m_folder;
  const std::size_t m_memory_mb;
  const int m_peer_port;
  Store m_store;
  std::vector<std::unique_ptr<Machine>> m_machines;
  std::atomic<int> m_next_id{1};
  std::atomic<int> m_seq{1};
};

}  // namespace review

#endif  // DAMASKHOLLOW_REVIEW_STANDINS2_FLEET_H_
