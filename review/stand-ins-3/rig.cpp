#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace rig {

namespace {

const auto kStart = std::chrono::steady_clock::now();
std::mutex g_record_lock;
std::ofstream g_record;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns an address as it stands in the system's table of connections.
std::string TableName(const sockaddr_in& address) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08X:%04X", address.sin_addr.s_addr,
                ntohs(address.sin_port));
  return text.data();
}

int Listen(const std::string& ip, int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

std::string Base64(const std::string& bytes) {
  static const char* kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t start = 0; start < bytes.size(); start += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - start);
    for (std::size_t index = 0; index < 3; ++index) {
      group <<= 8U;
      if (index < count) group |= static_cast<unsigned char>(bytes[start + index]);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const std::uint32_t letter = (group >> (18 - 6 * index)) & 63U;
      text += index <= count ? kLetters[letter] : '=';
    }
  }
  return text;
}

std::string Decoded(const std::string& text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += text[index];
    }
  }
  return decoded;
}

std::string Parameter(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  if (query == std::string::npos) return "";
  std::istringstream parts(target.substr(query + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    if (part.starts_with(name + "=")) return Decoded(part.substr(name.size() + 1));
  }
  return "";
}

std::string Json(const std::string& text) { return "\"" + text + "\""; }

std::string ResponseText(const std::string& status, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in the platform's template. Supports values, values as JSON, and sections that stand if
// their name is known.
std::string FillTemplate(std::string text, const std::map<std::string, std::string>& plain,
                         const std::map<std::string, std::string>& json) {
  for (std::size_t start = text.find("{{#"); start != std::string::npos; start = text.find("{{#")) {
    const std::size_t end = text.find("}}", start);
    const std::string name = text.substr(start + 3, end - start - 3);
    const std::string closing = "{{/" + name + "}}";
    const std::size_t close = text.find(closing, end);
    const std::string inner = text.substr(end + 2, close - end - 2);
    text.replace(start, close + closing.size() - start, plain.contains(name) ? inner : "");
  }
  for (std::size_t start = text.find("{{"); start != std::string::npos; start = text.find("{{")) {
    const std::size_t end = text.find("}}", start);
    std::string name = text.substr(start + 2, end - start - 2);
    const bool as_json = name.ends_with("|json");
    if (as_json) name.resize(name.size() - 5);
    const auto& values = as_json && json.contains(name) ? json : plain;
    const auto found = values.find(name);
    std::string value = found == values.end() ? std::string() : found->second;
    if (as_json && !json.contains(name)) value = Json(value);
    text.replace(start, end + 2 - start, value);
  }
  return text;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

void Record::Open(const std::string& path) { g_record.open(path); }

void Record::Line(const std::string& text) {
  const std::lock_guard lock(g_record_lock);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f s  ", NowMs() / 1000.0);
  g_record << time.data() << text << '\n' << std::flush;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string Message::Method() const { return start.substr(0, start.find(' ')); }

std::string Message::Target() const {
  const std::size_t first = start.find(' ');
  return start.substr(first + 1, start.rfind(' ') - first - 1);
}

int Message::Status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }

Socket::Socket(Socket&& other) noexcept
    : m_descriptor(other.m_descriptor), m_buffer(std::move(other.m_buffer)) {
  other.m_descriptor = -1;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  m_descriptor = other.m_descriptor;
  m_buffer = std::move(other.m_buffer);
  other.m_descriptor = -1;
  return *this;
}

Socket::~Socket() { Close(); }

void Socket::Close() {
  if (m_descriptor >= 0) ::close(m_descriptor);
  m_descriptor = -1;
}

void Socket::Reset() {
  const linger reset{1, 0};
  ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  Close();
}

bool Socket::Connect(const std::string& ip, int port, int timeout_ms) {
  Close();
  m_buffer.clear();
  m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(ip, port);
  ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  pollfd waiting{m_descriptor, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  const bool is_done = ::poll(&waiting, 1, timeout_ms) == 1 &&
                       ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                       error == 0;
  if (!is_done) {
    Close();
    return false;
  }
  ::fcntl(m_descriptor, F_SETFL, 0);
  const int on = 1;
  ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return true;
}

bool Socket::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::Fill(double until_ms) {
  const double left = until_ms - NowMs();
  pollfd waiting{m_descriptor, POLLIN, 0};
  if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left) + 1) != 1) return false;
  std::array<char, 65536> bytes{};
  const ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool Socket::PeerClosed() const {
  char byte = 0;
  const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

std::size_t Socket::UnreadByPeer() const {
  sockaddr_in own{};
  sockaddr_in peer{};
  socklen_t size = sizeof(own);
  ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&own), &size);
  size = sizeof(peer);
  ::getpeername(m_descriptor, reinterpret_cast<sockaddr*>(&peer), &size);
  int unsent = 0;
  ::ioctl(m_descriptor, SIOCOUTQ, &unsent);
  std::ifstream table("/proc/net/tcp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    if (local != TableName(peer) || remote != TableName(own)) continue;
    return std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16) +
           static_cast<std::size_t>(unsent);
  }
  return static_cast<std::size_t>(unsent);
}

bool Socket::Read(Message& message, double until_ms, const std::string& is_response_to) {
  message = Message();
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until_ms)) return false;
  }
  std::istringstream head(m_buffer.substr(0, end));
  m_buffer.erase(0, end + 4);
  std::getline(head, message.start);
  if (message.start.ends_with('\r')) message.start.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (line.ends_with('\r')) line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
  }
  const bool has_no_body = is_response_to == "HEAD" || message.Status() == 204;
  if (has_no_body) return message.complete = true;
  if (strcasecmp(message.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!Fill(until_ms)) return false;
      }
      const std::size_t size = std::stoul(m_buffer.substr(0, end), nullptr, 16);
      while (m_buffer.size() < end + 4 + size) {
        if (!Fill(until_ms)) return false;
      }
      message.body += m_buffer.substr(end + 2, size);
      m_buffer.erase(0, end + 4 + size);
      if (size == 0) return message.complete = true;
    }
  }
  const std::string length = message.Header("Content-Length");
  if (length.empty()) return message.complete = is_response_to.empty();
  const std::size_t size = std::stoul(length);
  while (m_buffer.size() < size) {
    if (!Fill(until_ms)) return false;
  }
  message.body = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return message.complete = true;
}

Server::Server(const std::string& ip, int port, Serve serve)
    : m_listener(Listen(ip, port)), m_serve(std::move(serve)) {
  if (m_listener < 0) {
    Record::Line("cannot listen on " + ip + ":" + std::to_string(port));
    std::_Exit(2);
  }
  m_thread = std::thread([this] {
    while (!m_stopped) {
      pollfd waiting{m_listener, POLLIN, 0};
      if (::poll(&waiting, 1, 100) != 1) continue;
      const int accepted = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, accepted] {
        Socket socket(accepted);
        m_serve(socket);
      }).detach();
    }
  });
}

Server::~Server() {
  m_stopped = true;
  if (m_thread.joinable()) m_thread.join();
  ::close(m_listener);
}

Store::Store(const std::string& ip, int port)
    : m_server(ip, port, [this](Socket& socket) { Serve(socket); }) {}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_lock);
  Item& item = m_items[key];
  item.value = value;
  item.revision = ++m_revision;
  if (item.created == 0) item.created = m_revision;
  m_events.push_back({key, item, false});
  m_changed.notify_all();
  return m_revision;
}

std::uint64_t Store::Delete(const std::string& key) {
  const std::lock_guard lock(m_lock);
  if (m_items.erase(key) == 0) return m_revision;
  ++m_revision;
  m_events.push_back({key, Item{"", m_revision, 0}, true});
  m_changed.notify_all();
  return m_revision;
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  std::string items;
  std::size_t bytes = 0;
  bool has_more = false;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) continue;
    if (bytes > 1000000) {
      has_more = true;
      break;
    }
    bytes += item.value.size();
    items += std::string(items.empty() ? "" : ",") + "{\"key\":" + Json(key) +
             ",\"value\":" + Json(Base64(item.value)) +
             ",\"revision\":" + std::to_string(item.revision) +
             ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
  }
  return "{\"items\":[" + items + "],\"hasMore\":" + (has_more ? "true" : "false") +
         ",\"currentRev\":" + std::to_string(m_revision) + "}";
}

std::string Store::Watch(const std::string& prefix, std::uint64_t after, int wait_ms) {
  std::unique_lock lock(m_lock);
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  for (;;) {
    std::string events;
    for (const Event& event : m_events) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) continue;
      events += std::string(events.empty() ? "" : ",") + "{\"key\":" + Json(event.key) +
                ",\"revision\":" + std::to_string(event.item.revision);
      if (event.deleted) {
        events += ",\"deleted\":true}";
      } else {
        events += ",\"value\":" + Json(Base64(event.item.value)) +
                  ",\"created\":" + std::to_string(event.item.created) + ",\"lease\":0}";
      }
    }
    const bool is_over = std::chrono::steady_clock::now() >= until;
    if (!events.empty() || is_over) {
      return "{\"events\":[" + events + "],\"currentRev\":" + std::to_string(m_revision) + "}";
    }
    m_changed.wait_until(lock, until);
  }
}

std::string Store::Answer(const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  if (target.starts_with("/v1/kv-watch")) {
    const std::string wait = Parameter(target, "waitMs");
    return Watch(prefix, std::stoull("0" + Parameter(target, "after")), std::atoi(wait.c_str()));
  }
  const std::lock_guard lock(m_lock);
  return Range(prefix, Parameter(target, "after"));
}

void Store::Serve(Socket& socket) {
  Message request;
  while (socket.Read(request, NowMs() + 60000)) {
    const bool closes = strcasecmp(request.Header("Connection").c_str(), "close") == 0;
    const std::string body = Answer(request.Target());
    SleepMs(4);
    if (!socket.Send(ResponseText("200 OK", "Content-Type: application/json\r\n", body))) return;
    if (closes) return;
  }
}

StorePath::StorePath(const std::string& ip, int port, std::string store_ip)
    : m_port(port),
      m_store_ip(std::move(store_ip)),
      m_server(ip, port, [this](Socket& socket) { Serve(socket); }) {}

void StorePath::Serve(Socket& socket) {
  Socket store;
  if (m_is_cut || !store.Connect(m_store_ip, m_port, 1000)) {
    // The peer waits until it gives up.
    while (m_is_cut && !socket.PeerClosed()) SleepMs(10);
    return;
  }
  std::array<char, 65536> bytes{};
  for (;;) {
    std::array<pollfd, 2> waiting{pollfd{socket.Descriptor(), POLLIN, 0},
                                  pollfd{store.Descriptor(), POLLIN, 0}};
    ::poll(waiting.data(), waiting.size(), 10);
    if (m_is_cut) {
      // A connection that was cut never works again.
      while (!socket.PeerClosed()) SleepMs(10);
      return;
    }
    for (std::size_t side = 0; side < waiting.size(); ++side) {
      if (waiting[side].revents == 0) continue;
      Socket& from = side == 0 ? socket : store;
      Socket& to = side == 0 ? store : socket;
      const ssize_t count = ::recv(from.Descriptor(), bytes.data(), bytes.size(), 0);
      if (count <= 0) return;
      const std::string text(bytes.data(), static_cast<std::size_t>(count));
      if (side == 0 && text.starts_with("GET /v1/kv-watch?prefix=servers")) m_last_watch = NowMs();
      if (!to.Send(text)) return;
    }
  }
}

Instance::Instance(InstanceOptions options, Store& store)
    : m_options(std::move(options)),
      m_store(store),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
      m_server(m_options.ip, m_options.port, [this](Socket& socket) { Serve(socket); }) {}

void Instance::Register(const std::string& state) {
  const std::lock_guard lock(m_lock);
  m_state = state;
  m_store.Put("servers/" + m_options.id,
              "{\"service\":" + Json(m_options.service) +
                  ",\"address\":" + Json(m_options.ip + ":" + std::to_string(m_options.port)) +
                  ",\"zone\":" + Json(m_options.zone) +
                  ",\"configVersion\":\"v1\",\"slots\":" + std::to_string(m_options.slots) +
                  ",\"state\":" + Json(state) + ",\"cold\":\"" + std::to_string(m_options.cold_ms) +
                  "ms\",\"seq\":" + std::to_string(++m_sequence) +
                  ",\"born\":" + std::to_string(m_born) + "}");
}

void Instance::SetCold(int cold_ms) {
  {
    const std::lock_guard lock(m_lock);
    m_options.cold_ms = cold_ms;
  }
  Register(m_state);
}

void Instance::Unregister() {
  const std::lock_guard lock(m_lock);
  m_store.Delete("servers/" + m_options.id);
}

std::vector<Run> Instance::Runs() const {
  const std::lock_guard lock(m_lock);
  return m_runs;
}

void Instance::Serve(Socket& socket) {
  Message request;
  if (m_has_ended) return socket.Reset();
  while (socket.Read(request, NowMs() + 10000)) {
    if (m_has_ended) return socket.Reset();
    const auto load = [&] {
      return "Instance-Load: " + std::to_string(m_running.load()) + "," +
             std::to_string(m_waiting.load()) + "," + std::to_string(m_options.slots) +
             ",100\r\nKeep-Alive: timeout=10\r\n";
    };
    if (request.Target() == "/healthz") {
      const bool is_ready = m_state == "ready";
      const std::string head = "Instance-Id: " + m_options.id + "\r\n" + load();
      if (!socket.Send(ResponseText(is_ready ? "200 OK" : "503 Service Unavailable", head, ""))) {
        return;
      }
      continue;
    }
    const std::string id = request.Header("Request-Id");
    const std::string echo = "Request-Id: " + id + "\r\n" + load();
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
      Record::Line("instance " + m_options.id + " answers 421 to " + id);
      if (!socket.Send(ResponseText("421 Misdirected Request",
                                    "Instance-Id: " + m_options.id + "\r\n" + echo, ""))) {
        return;
      }
      continue;
    }
    if (++m_waiting > m_options.queue) {
      --m_waiting;
      if (!socket.Send(ResponseText("503 Service Unavailable", "Not-Executed: 1\r\n" + echo, ""))) {
        return;
      }
      continue;
    }
    while (true) {
      int running = m_running;
      if (running < m_options.slots && m_running.compare_exchange_weak(running, running + 1)) break;
      SleepMs(1);
    }
    --m_waiting;
    Run run;
    run.instance = m_options.id;
    run.service = m_options.service;
    run.request_id = id;
    run.method = request.Method();
    run.target = request.Target();
    run.caller_service = request.Header("Caller-Service");
    run.deadline = request.Header("Deadline-Ms");
    run.body_bytes = request.body.size();
    if (m_options.keeps_bodies) run.body = request.body;
    run.started = NowMs();
    {
      const std::lock_guard lock(m_lock);
      m_runs.push_back(run);
    }
    double work = m_options.work ? m_options.work(request) : -1.0;
    if (work < 0) work = m_options.work_ms;
    const double done = NowMs() + work;
    while (NowMs() < done && !m_has_ended) SleepMs(std::min(10.0, done - NowMs()));
    --m_running;
    if (m_has_ended) return socket.Reset();
    if (m_options.answer && m_options.answer(request, socket)) {
      if (socket.Descriptor() < 0) return;
      continue;
    }
    const std::string body = "ran " + id + " at " + m_options.id;
    const std::string head = "Response-Seal: seal-" + id + "\r\n" + echo;
    if (!socket.Send(ResponseText("200 OK", head, body))) return;
  }
}

Ports Ports::Find(int machines) {
  std::random_device random;
  for (int attempt = 0; attempt < 50; ++attempt) {
    Ports ports;
    ports.prefix =
        "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250);
    bool is_free = true;
    for (int machine = 1; machine <= machines && is_free; ++machine) {
      for (const int port :
           {ports.app, ports.inbound, ports.outbound, ports.ready, ports.peer, ports.store}) {
        const int descriptor = Listen(ports.Ip(machine), port);
        if (descriptor < 0) is_free = false;
        if (descriptor >= 0) ::close(descriptor);
      }
    }
    if (is_free) return ports;
  }
  std::_Exit(2);
}

Node::Node(NodeOptions options, const Ports& ports, std::map<std::string, std::string> zones,
           std::string folder)
    : m_options(std::move(options)),
      m_ports(ports),
      m_zones(std::move(zones)),
      m_folder(std::move(folder)),
      m_settings(m_folder + "/settings-" + m_options.ip + ".json") {}

Node::~Node() { KillAndWait(); }

void Node::WriteSettings() {
  std::string zones;
  for (const auto& [zone, region] : m_zones) {
    zones += std::string(zones.empty() ? "" : ",") + Json(zone) + ":" + Json(region);
  }
  const auto at = [this](int port) { return m_options.ip + ":" + std::to_string(port); };
  const std::map<std::string, std::string> plain{
      {"ip", m_options.ip},
      {"region", m_options.region},
      {"zone", m_options.zone},
      {"service", m_options.service},
      {"listen.outbound", at(m_ports.outbound)},
      {"listen.inbound", at(m_ports.inbound)},
      {"listen.ready", at(m_ports.ready)},
      {"internalPorts.0", std::to_string(m_ports.peer)},
      {"provider.address", at(m_ports.store)},
      {"limits.memoryMb", std::to_string(m_options.memory_mb)},
      {"limits.maxFds", "4100"},
      {"bounds.budgetRatio", "0.2"},
      {"bounds.budgetExtra", "58"},
      {"bounds.grace", "6s"}};
  const std::map<std::string, std::string> json{{"zones", "{" + zones + "}"}};
  const std::string text = FillTemplate(ReadText("deploy/settings.json.in"), plain, json);
  const std::string temporary = m_settings + ".new";
  std::ofstream(temporary) << text;
  std::rename(temporary.c_str(), m_settings.c_str());
}

void Node::Start() {
  WriteSettings();
  const std::string log = m_folder + "/node-" + m_options.ip + ".log";
  const std::string setting = "DAMASKHOLLOW_CONFIG=" + m_settings;
  const std::string path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "");
  const std::string home = "HOME=" + std::string(std::getenv("HOME") ? std::getenv("HOME") : "/");
  const pid_t parent = ::getpid();
  m_pid = ::fork();
  if (m_pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(2);
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(output, 1);
  ::dup2(output, 2);
  char program[] = "target/bin/damaskhollow-platform";
  char* arguments[] = {program, nullptr};
  char* environment[] = {const_cast<char*>(setting.c_str()), const_cast<char*>(path.c_str()),
                         const_cast<char*>(home.c_str()), nullptr};
  ::execve(program, arguments, environment);
  ::_exit(2);
}

void Node::Signal(int signal) const {
  if (m_pid > 0) ::kill(m_pid, signal);
}

bool Node::HasEnded(int& status) {
  if (m_pid <= 0) return true;
  if (::waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
  m_pid = -1;
  return true;
}

void Node::KillAndWait() {
  if (m_pid <= 0) return;
  ::kill(m_pid, SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
  m_pid = -1;
}

bool Node::IsReady() const {
  Socket socket;
  Message answer;
  return socket.Connect(m_options.ip, m_ports.ready, 500) &&
         socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: " + m_options.ip + "\r\n\r\n") &&
         socket.Read(answer, NowMs() + 500, "GET") && answer.Status() == 200;
}

bool Node::WaitReady(double timeout_ms) const {
  const double until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (IsReady()) return true;
    SleepMs(50);
  }
  return false;
}

std::size_t Node::PeakMemoryBytes() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6)) * 1024;
  }
  return 0;
}

std::string Configuration(int version, const std::vector<RouteOptions>& routes,
                          const std::vector<std::string>& services, std::size_t max_header_bytes,
                          std::size_t max_body_bytes) {
  std::string list;
  for (const RouteOptions& route : routes) {
    list += std::string(list.empty() ? "" : ",") + "{\"name\":" + Json(route.name) +
            ",\"hostname\":" + Json(route.host) + ",\"prefix\":" + Json(route.prefix) +
            ",\"routeType\":" + Json(route.type) + ",\"timeout\":" + Json(route.timeout) +
            ",\"slo\":" + Json(route.slo) + ",\"priority\":" + std::to_string(route.priority) +
            ",\"service\":" + Json(route.service) +
            ",\"attempts\":" + std::to_string(route.attempts) + "}";
  }
  std::string named;
  for (const std::string& service : services) {
    named += std::string(named.empty() ? "" : ",") + "{\"name\":" + Json(service) +
             ",\"healthPath\":\"/healthz\",\"maxConns\":260,\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"configVersion\":" + std::to_string(version) + ",\"routes\":[" + list +
         "],\"services\":[" + named +
         "],\"limits\":{\"maxHeaderBytes\":" + std::to_string(max_header_bytes) +
         ",\"maxBodyBytes\":" + std::to_string(max_body_bytes) +
         ",\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

Deployment::Deployment(const std::function<void(int, InstanceOptions&)>& adapt, int machines,
                       bool one_region)
    : ports(Ports::Find(machines)), folder(MakeFolder()), store(ports.Ip(250), ports.store) {
  const std::map<std::string, std::string> zones{
      {"brest-a", "finistere"},
      {one_region ? "quimper-b" : "rennes-a", one_region ? "finistere" : "ille-vilaine"}};
  for (int machine = 0; machine < machines; ++machine) {
    const std::string zone = machine < machines / 2 ? "brest-a"
                             : one_region           ? "quimper-b"
                                                    : "rennes-a";
    const std::string service = machine % 2 == 0 ? "portail" : "entrepot";
    InstanceOptions instance;
    instance.id = "i-" + std::to_string(machine + 1);
    instance.service = service;
    instance.ip = ports.Ip(machine + 1);
    instance.port = ports.app;
    instance.zone = zone;
    if (adapt) adapt(machine, instance);
    paths.push_back(std::make_unique<StorePath>(instance.ip, ports.store, ports.Ip(250)));
    instances.push_back(std::make_unique<Instance>(instance, store));
    NodeOptions node;
    node.ip = instance.ip;
    node.zone = zone;
    node.region = zones.at(zone);
    node.service = service;
    nodes.push_back(std::make_unique<Node>(node, ports, zones, folder));
  }
}

bool Deployment::Start(const std::string& configuration) {
  store.Put("op/config", configuration);
  for (const auto& instance : instances) instance->Register();
  for (const auto& node : nodes) node->Start();
  for (const auto& node : nodes) {
    if (!node->WaitReady(15000)) return false;
  }
  SleepMs(5000);  // From here on, all machines are in touch.
  return true;
}

void Deployment::End(int status) {
  for (const auto& node : nodes) node->KillAndWait();
  std::error_code error;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder, error);
  std::_Exit(status);
}

std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& host, const std::string& id, int deadline_ms,
                        const std::string& body, const std::string& more_headers) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n" + more_headers;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

Message Call(const std::string& ip, int port, const std::string& method, const std::string& target,
             const std::string& host, const std::string& id, int deadline_ms,
             const std::string& body, const std::string& more_headers) {
  Socket socket;
  Message answer;
  const double until = NowMs() + deadline_ms;
  if (!socket.Connect(ip, port, 1000)) return answer;
  // The answer may come, or the connection end, before the whole body is sent.
  socket.Send(RequestText(method, target, host, id, deadline_ms, body, more_headers));
  socket.Read(answer, until, method);
  return answer;
}

std::string MakeFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string name = std::string(base != nullptr ? base : "/tmp") + "/review-3-XXXXXX";
  return ::mkdtemp(name.data()) == nullptr ? std::string() : name;
}

std::string RecordPath() {
  const char* path = std::getenv("RECORD");
  return path == nullptr ? "record.txt" : path;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace rig
