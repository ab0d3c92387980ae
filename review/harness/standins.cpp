#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();
constexpr double kForever = 1e9;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Waits until the descriptor can be read; false if the time passes first.
bool WaitReadable(int descriptor, double until) {
  const double left = until - Now();
  if (left <= 0) return false;
  pollfd entry{descriptor, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(std::min(left * 1000.0 + 1.0, 1e6))) > 0;
}

bool ReadSome(int descriptor, std::string& buffer, double until) {
  if (!WaitReadable(descriptor, until)) return false;
  char bytes[65536];
  const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool ReadLine(int descriptor, std::string& buffer, std::string& line, double until) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n")) == std::string::npos) {
    if (!ReadSome(descriptor, buffer, until)) return false;
  }
  line = buffer.substr(0, end);
  buffer.erase(0, end + 2);
  return true;
}

bool ReadBytes(int descriptor, std::string& buffer, std::size_t count, std::string& out,
               double until) {
  while (buffer.size() < count) {
    if (!ReadSome(descriptor, buffer, until)) return false;
  }
  out += buffer.substr(0, count);
  buffer.erase(0, count);
  return true;
}

std::string Base64(const std::string& text) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < text.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (at + k < text.size() ? static_cast<unsigned char>(text[at + k]) : 0U);
    }
    for (int k = 0; k < 4; ++k) {
      const bool pad = at + static_cast<std::size_t>(k) > text.size();
      out += pad ? '=' : kDigits[group >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

std::string PercentDecoded(const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      out += text[at];
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t start = target.find('?');
  if (start == std::string::npos) return query;
  std::istringstream parts(target.substr(start + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const std::size_t sign = part.find('=');
    if (sign != std::string::npos) {
      query[part.substr(0, sign)] = PercentDecoded(part.substr(sign + 1));
    }
  }
  return query;
}

std::string TargetOf(const Message& request) {
  const std::size_t start = request.first_line.find(' ');
  const std::size_t end = request.first_line.rfind(' ');
  if (start == std::string::npos || end <= start) return {};
  return request.first_line.substr(start + 1, end - start - 1);
}

std::string Response(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool IsClosedByPeer(int descriptor) {
  char byte = 0;
  const ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void ReplaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) { SleepFor(time - Now()); }

Record::Record(const std::string& path) : m_file(path) {}

void Record::Line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ", Now());
  const std::lock_guard lock(m_lock);
  m_file << time << text << std::endl;
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

bool ReadMessage(int descriptor, std::string& buffer, Message& message, double until) {
  message = Message();
  if (!ReadLine(descriptor, buffer, message.first_line, until)) return false;
  for (std::string line; ReadLine(descriptor, buffer, line, until);) {
    if (line.empty()) {
      if (message.Header("transfer-encoding") == "chunked") {
        for (;;) {
          if (!ReadLine(descriptor, buffer, line, until)) return false;
          const std::size_t size = std::stoul(line, nullptr, 16);
          std::string part;
          if (!ReadBytes(descriptor, buffer, size + 2, part, until)) return false;
          if (size == 0) return true;
          message.body += part.substr(0, size);
        }
      }
      const std::string length = message.Header("content-length");
      return length.empty() ||
             ReadBytes(descriptor, buffer, std::stoul(length), message.body, until);
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char character) {
      return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    });
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = start == std::string::npos ? "" : line.substr(start);
  }
  return false;
}

bool WriteAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

int Dial(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd entry{descriptor, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof(error);
    if (error == EINPROGRESS && poll(&entry, 1, 1000) > 0) {
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(descriptor);
      return -1;
    }
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

int FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> taken;
  for (;;) {
    const int port = 10000 + static_cast<int>(random() % 20000);
    const auto is_free = [port](const char* ip) {
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = AddressOf(ip, port);
      const bool bound =
          bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      close(descriptor);
      return bound;
    };
    const auto ips = {"127.0.7.1", "127.0.7.2", "127.0.7.3",  "127.0.7.4",
                      "127.0.7.5", "127.0.7.6", "127.0.7.200"};
    const bool free = std::all_of(ips.begin(), ips.end(), is_free);
    if (free && taken.insert(port).second) return port;
  }
}

Server::Server(std::string ip, int port, Handler handler)
    : m_ip(std::move(ip)), m_port(port), m_handler(std::move(handler)) {}

Server::~Server() {
  Close();
  while (m_threads > 0) SleepFor(0.005);
}

void Server::Open() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(m_ip, m_port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  {
    const std::lock_guard lock(m_lock);
    m_listener = listener;
  }
  ++m_threads;
  std::thread([this, listener] {
    Accept(listener);
    --m_threads;
  }).detach();
}

void Server::Close() {
  const std::lock_guard lock(m_lock);
  if (m_listener >= 0) shutdown(m_listener, SHUT_RDWR);
  m_listener = -1;
  for (const int descriptor : m_connections) {
    const linger reset{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(descriptor, SHUT_RD);
  }
}

void Server::Accept(int listener) {
  for (;;) {
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) break;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(m_lock);
    if (m_listener != listener) {
      close(descriptor);
      break;
    }
    m_connections.insert(descriptor);
    ++m_threads;
    std::thread([this, descriptor] {
      Serve(descriptor);
      --m_threads;
    }).detach();
  }
  close(listener);
}

void Server::Serve(int descriptor) {
  std::string buffer;
  for (Message request; ReadMessage(descriptor, buffer, request, kForever);) {
    const std::string answer = m_handler(descriptor, request);
    if (answer.empty() || !WriteAll(descriptor, answer)) break;
    if (request.Header("connection") == "close") break;
  }
  const std::lock_guard lock(m_lock);
  m_connections.erase(descriptor);
  close(descriptor);
}

Store::Store(std::string ip, int port)
    : m_server(std::move(ip), port, [this](int descriptor, const Message& request) {
        return Handle(descriptor, request);
      }) {
  m_server.Open();
}

Store::~Store() {
  const std::lock_guard lock(m_lock);
  m_ending = true;
  m_changed.notify_all();
}

double Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_lock);
  Item& item = m_items[key];
  item.value = value;
  item.revision = ++m_revision;
  if (item.created == 0) item.created = m_revision;
  m_events.push_back({m_revision, key, false, item});
  m_changed.notify_all();
  return Now();
}

double Store::Delete(const std::string& key) {
  const std::lock_guard lock(m_lock);
  m_items.erase(key);
  m_events.push_back({++m_revision, key, true, {}});
  m_changed.notify_all();
  return Now();
}

std::string Store::ItemJson(const std::string& key, const Item& item) {
  return R"({"key":")" + key + R"(","value":")" + Base64(item.value) + R"(","revision":)" +
         std::to_string(item.revision) + R"(,"created":)" + std::to_string(item.created) +
         R"(,"lease":0})";
}

std::string Store::Handle(int descriptor, const Message& request) {
  if (m_is_silent) {
    while (!IsClosedByPeer(descriptor)) SleepFor(0.01);
    return {};
  }
  SleepFor(0.004);  // The store's usual time.
  const std::string target = TargetOf(request);
  std::map<std::string, std::string> query = QueryOf(target);
  if (target.starts_with("/v1/kv-range?")) return Range(query["prefix"], query["after"]);
  if (target.starts_with("/v1/kv-watch?")) {
    return Watch(query["prefix"], std::stoull(query["after"]), std::stoi(query["waitMs"]));
  }
  return Response(404, "", "{}");
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  const std::lock_guard lock(m_lock);
  std::string items;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || key <= after) continue;
    items += (items.empty() ? "" : ",") + ItemJson(key, item);
  }
  return Response(200, "Content-Type: application/json\r\n",
                  R"({"items":[)" + items + R"(],"hasMore":false,"currentRev":)" +
                      std::to_string(m_revision) + "}");
}

std::string Store::Watch(const std::string& prefix, std::uint64_t after, int wait_ms) {
  std::unique_lock lock(m_lock);
  std::string events;
  const auto collect = [&] {
    for (const Event& event : m_events) {
      if (event.revision <= after || !event.key.starts_with(prefix)) continue;
      const std::string text = event.deleted
                                   ? R"({"key":")" + event.key + R"(","revision":)" +
                                         std::to_string(event.revision) + R"(,"deleted":true})"
                                   : ItemJson(event.key, event.item);
      events += (events.empty() ? "" : ",") + text;
    }
    return !events.empty() || m_ending;
  };
  m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
  return Response(
      200, "Content-Type: application/json\r\n",
      R"({"events":[)" + events + R"(],"currentRev":)" + std::to_string(m_revision) + "}");
}

Instance::Instance(InstanceOptions options, Record& record, std::function<void()> on_back)
    : m_options(std::move(options)),
      m_record(record),
      m_on_back(std::move(on_back)),
      m_server(m_options.ip, m_options.port, [this](int descriptor, const Message& request) {
        return Handle(descriptor, request);
      }) {
  m_server.Open();
}

Instance::~Instance() {
  Exit();
  if (m_restart.joinable()) m_restart.join();
}

std::vector<Run> Instance::Runs() {
  const std::lock_guard lock(m_lock);
  return m_runs;
}

std::string Instance::Entry(const std::string& state) const {
  return R"({"service":")" + m_options.service + R"(","address":")" + m_options.ip + ":" +
         std::to_string(m_options.port) + R"(","zone":"zone-a","configVersion":"v1","slots":)" +
         std::to_string(m_options.slots) + R"(,"state":")" + state +
         R"(","cold":"0ms","seq":1,"born":)" +
         std::to_string(1790000000000L + 1000L * m_life.load()) + "}";
}

void Instance::Exit() {
  m_up = false;
  ++m_life;
  m_server.Close();
  m_slot_free.notify_all();
}

void Instance::Crash() {
  ++m_crashes;
  Exit();
  m_record.Line("instance " + m_options.id + " crashes");
  if (m_restart.joinable()) m_restart.detach();
  m_restart = std::thread([this] {
    SleepFor(m_options.down_time);
    m_up = true;
    m_server.Open();
    m_record.Line("instance " + m_options.id + " is back");
    if (m_on_back) m_on_back();
  });
}

std::string Instance::Load(int extra_running) const {
  return "Instance-Load: " + std::to_string(std::min(m_running + extra_running, m_options.slots)) +
         "," + std::to_string(m_waiting) + "," + std::to_string(m_options.slots) + ",100\r\n";
}

std::string Instance::Handle(int descriptor, const Message& request) {
  const double arrived = Now();
  const std::string target = TargetOf(request);
  const std::string echo = "Request-Id: " + request.Header("request-id") + "\r\n";
  std::unique_lock lock(m_lock);
  if (target == "/healthz") {
    return Response(200, "Instance-Id: " + m_options.id + "\r\n" + Load(0), "");
  }
  const std::string expected = request.Header("expect-instance");
  if (!expected.empty() && expected != m_options.id) {
    return Response(421, echo + "Not-Executed: 1\r\nInstance-Id: " + m_options.id + "\r\n", "");
  }
  if (request.Header("request-id").empty()) return Response(400, "Not-Executed: 1\r\n", "");
  const std::string deadline_ms = request.Header("deadline-ms");
  const double deadline = arrived + (deadline_ms.empty() ? 60.0 : std::stod(deadline_ms) / 1000.0);
  if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
    return Response(503, echo + "Not-Executed: 1\r\n" + Load(0), "");
  }
  const int life = m_life;
  ++m_waiting;
  while (m_running >= m_options.slots && life == m_life && Now() < deadline) {
    m_slot_free.wait_for(lock, std::chrono::milliseconds(20));
  }
  --m_waiting;
  if (life != m_life) return {};
  if (Now() >= deadline) return Response(503, echo + "Not-Executed: 1\r\n" + Load(0), "");
  ++m_running;
  m_runs.push_back({Now(), 0.0, request.Header("request-id"), target,
                    request.Header("caller-service"), deadline_ms, "running"});
  const std::size_t run = m_runs.size() - 1;
  m_record.Line("instance " + m_options.id + " runs " + request.Header("request-id") + " " +
                target + " caller-service=" + request.Header("caller-service"));
  lock.unlock();
  const std::string answer = Work(descriptor, request, deadline, run);
  lock.lock();
  --m_running;
  m_slot_free.notify_one();
  return answer;
}

std::string Instance::Work(int descriptor, const Message& request, double deadline,
                           std::size_t run) {
  const int life = m_life;
  const auto end_run = [&](const std::string& outcome) {
    const std::lock_guard lock(m_lock);
    m_runs[run].outcome = outcome;
    m_runs[run].ended = Now();
  };
  const std::string path = TargetOf(request);
  if (m_options.crash_paths.contains(path)) {
    SleepFor(0.02);
    end_run("crashed the instance");
    if (life == m_life) Crash();
    return {};
  }
  const double done = Now() + m_options.work;
  const double end = std::min(done, deadline);
  while (Now() < end) {
    SleepFor(std::clamp(end - Now(), 0.0005, 0.005));
    if (life != m_life) {
      end_run("lost with the instance");
      return {};
    }
    if (IsClosedByPeer(descriptor)) {
      end_run("dropped, connection closed");
      return {};
    }
  }
  const std::string echo = "Request-Id: " + request.Header("request-id") + "\r\n";
  if (done > deadline) {
    end_run("deadline");
    return Response(504, echo + Load(0), "");
  }
  end_run("done");
  return Response(200,
                  echo + "Response-Seal: " + std::to_string(++m_seals) + "." + m_options.id +
                      "\r\nKeep-Alive: timeout=10\r\n" + Load(-1),
                  "answer to " + request.Header("request-id"));
}

Machine::Machine(MachineOptions options, Record& record)
    : m_options(std::move(options)), m_record(record) {}

Machine::~Machine() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

void Machine::WriteSettings() {
  std::ifstream file("deploy/settings.json.in");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const auto quoted = [](const std::string& value) { return "\"" + value + "\""; };
  std::string zones;
  for (const auto& [zone, region] : m_options.zones) {
    zones += (zones.empty() ? "" : ",") + quoted(zone) + ":" + quoted(region);
  }
  const std::string outbound = m_options.ip + ":" + std::to_string(m_options.outbound_port);
  const std::string ready = m_options.ip + ":" + std::to_string(m_options.ready_port);
  ReplaceAll(text, "{{ip|json}}", quoted(m_options.ip));
  ReplaceAll(text, "{{ip}}", m_options.ip);
  ReplaceAll(text, "{{region|json}}", quoted(m_options.zones.at(m_options.zone)));
  ReplaceAll(text, "{{zone|json}}", quoted(m_options.zone));
  ReplaceAll(text, "{{listen.outbound|json}}", quoted(outbound));
  ReplaceAll(text, "{{listen.ready|json}}", quoted(ready));
  ReplaceAll(text, "{{internalPorts.0}}", std::to_string(m_options.peer_port));
  ReplaceAll(text, "{{provider.address}}", m_options.store);
  ReplaceAll(text, "{{provider.address|json}}", quoted(m_options.store));
  ReplaceAll(text, "{{service|json}}", quoted(m_options.service));
  ReplaceAll(text, "{{zones|json}}", "{" + zones + "}");
  ReplaceAll(text, "{{bounds.budgetRatio}}", "0.2");
  ReplaceAll(text, "{{bounds.budgetExtra}}", "62");
  ReplaceAll(text, "{{bounds.grace|json}}", quoted("6s"));
  if (text.empty() || text.find("{{") != std::string::npos) {
    std::fprintf(stderr, "the settings template has a placeholder that is not known here\n");
    std::exit(2);
  }
  const std::string path = m_options.folder + "/settings-" + m_options.ip + ".json";
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
}

bool Machine::Start() {
  WriteSettings();
  const std::string settings =
      "DAMASKHOLLOW_CONFIG=" + m_options.folder + "/settings-" + m_options.ip + ".json";
  const std::string output = m_options.folder + "/node-" + m_options.ip + ".log";
  const char* path = std::getenv("PATH");
  const std::string search = std::string("PATH=") + (path == nullptr ? "" : path);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // The node ends with this program, however that ends.
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const char* arguments[] = {"target/bin/damaskhollow-platform", nullptr};
    const char* environment[] = {settings.c_str(), search.c_str(), "LANG=C.UTF-8", nullptr};
    execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
    _exit(127);
  }
  m_pid = pid;
  m_record.Line("machine " + m_options.ip + " starts its node");
  return pid > 0;
}

void Machine::Signal(int signal) {
  m_record.Line("machine " + m_options.ip + " sends its node " + strsignal(signal));
  if (m_pid > 0) kill(m_pid, signal);
}

bool Machine::HasEnded() {
  if (m_pid <= 0) return true;
  if (waitpid(m_pid, nullptr, WNOHANG) != m_pid) return false;
  m_pid = -1;
  m_record.Line("machine " + m_options.ip + ": its node has ended");
  return true;
}

bool Machine::WaitForExit(double seconds) {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (HasEnded()) return true;
    SleepFor(0.01);
  }
  m_record.Line("machine " + m_options.ip + " kills its node after the grace");
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = -1;
  return false;
}

Machine::Memory Machine::PeakMemory() const {
  Memory memory;
  if (m_pid <= 0) return memory;
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) memory.peak = std::atof(line.c_str() + 6) / 1024.0;
    if (line.starts_with("RssFile:")) memory.files = std::atof(line.c_str() + 8) / 1024.0;
  }
  return memory;
}

void Machine::SendKill() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
  m_pid = -1;
}

bool Machine::IsReady() const {
  const int descriptor = Dial(m_options.ip, m_options.ready_port);
  if (descriptor < 0) return false;
  std::string buffer;
  Message answer;
  const bool answered = WriteAll(descriptor, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
                        ReadMessage(descriptor, buffer, answer, Now() + 1.0);
  close(descriptor);
  return answered && answer.first_line.starts_with("HTTP/1.1 200");
}

bool Machine::WaitUntilReady(double seconds) const {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (IsReady()) return true;
    SleepFor(0.1);
  }
  return false;
}

std::string NextRequestId() {
  static std::atomic<long> next{1};
  return "r-" + std::to_string(next++);
}

Answer Send(const Machine& machine, const Request& request) {
  Answer answer;
  answer.sent = Now();
  answer.ended = answer.sent;
  const int descriptor = Dial(machine.Options().ip, machine.Options().outbound_port);
  if (descriptor < 0) return answer;
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host +
                     "\r\nRequest-Id: " + request.id +
                     "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (!request.body.empty() || request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  const double until = answer.sent + request.deadline_ms / 1000.0 + 1.0;
  std::string buffer;
  if (WriteAll(descriptor, text + "\r\n" + request.body) &&
      ReadMessage(descriptor, buffer, answer.message, until)) {
    answer.status = std::atoi(answer.message.first_line.c_str() + 9);
  }
  answer.ended = Now();
  answer.timed_out = answer.status == 0 && answer.ended >= until;
  close(descriptor);
  return answer;
}

std::string RouteJson(const std::string& name, const std::string& prefix, const std::string& type,
                      const std::string& service, const std::string& timeout,
                      const std::string& slo, int priority, int attempts) {
  return R"({"name":")" + name + R"(","hostname":"mesh.example","prefix":")" + prefix +
         R"(","routeType":")" + type + R"(","service":")" + service + R"(","timeout":")" + timeout +
         R"(","slo":")" + slo + R"(","priority":)" + std::to_string(priority) + R"(,"attempts":)" +
         std::to_string(attempts) + "}";
}

std::string ConfigurationJson(int version, const std::vector<std::string>& routes,
                              const std::vector<std::string>& services, long max_body_bytes) {
  std::string list;
  for (const std::string& route : routes) list += (list.empty() ? "" : ",") + route;
  std::string names;
  for (const std::string& service : services) {
    names +=
        (names.empty() ? "" : ",") + (R"({"name":")" + service) + R"(","healthPath":"/healthz"})";
  }
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routes":[)" + list +
         R"(],"services":[)" + names + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
         std::to_string(max_body_bytes) + R"(,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

}  // namespace review
