// Blocking HTTP/1.1 over loopback for the stand-ins of this folder: a server with a thread for each
// connection, and a client connection. Nothing here is part of the product.
#ifndef DAMASKHOLLOW_REVIEW_STANDINS2_HTTP_H_
#define DAMASKHOLLOW_REVIEW_STANDINS2_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Returns a listening socket; port 0 takes a free port, which is stored in `address`.
inline int Listen(Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = ToSocketAddress(address);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
      ::listen(descriptor, 512) != 0) {
    throw std::runtime_error("cannot listen on " + address.Text());
  }
  socklen_t size = sizeof(name);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &size);
  address.port = ntohs(name.sin_port);
  return descriptor;
}

// Returns a port that is free at present on `ip`.
inline int FreePort(const std::string& ip) {
  Address address{ip, 0};
  ::close(Listen(address));
  return address.port;
}

struct Message {
  std::string start;                           // Request line or status line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t first = start.find(' ') + 1;
    return start.substr(first, start.find(' ', first) - first);
  }
  int Status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

// One connection, on either side. Not thread-safe, but one thread may send while another receives.
class Connection {
 public:
  explicit Connection(int descriptor) : m_descriptor(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to `address`, or throws.
  static int Dial(const Address& address) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in name = ToSocketAddress(address);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
      ::close(descriptor);
      throw std::runtime_error("cannot connect to " + address.Text());
    }
    return descriptor;
  }

  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  // Receives a message. Returns false if the connection ended first or `until` has passed; `body`
  // then holds what had arrived, and `error` says which.
  bool Receive(Message& message, Clock::time_point until, bool is_response) {
    message = Message();
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    ParseHead(message, m_input.substr(0, end));
    m_input.erase(0, end + 4);
    if (message.Header("transfer-encoding") == "chunked") return ReceiveChunks(message, until);
    const std::string length = message.Header("content-length");
    if (length.empty() && is_response && message.Status() != 204 && message.Status() >= 200) {
      while (Fill(until)) {
      }
      message.body = std::exchange(m_input, std::string());
      return error == "closed";
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_input.size() < size) {
      if (Fill(until)) continue;
      message.body = m_input;
      return false;
    }
    message.body = m_input.substr(0, size);
    m_input.erase(0, size);
    return true;
  }

  void Close() {
    if (m_descriptor >= 0) ::close(m_descriptor);
    m_descriptor = -1;
  }

  std::string error;  // Why the last Receive failed: "closed", "reset" or "timeout".

 private:
  bool Fill(Clock::time_point until) {
    pollfd entry{m_descriptor, POLLIN, 0};
    const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
    if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<long>(left, 600000))) <= 0) {
      error = "timeout";
      return false;
    }
    char buffer[65536];
    const ssize_t count = ::recv(m_descriptor, buffer, sizeof(buffer), 0);
    if (count <= 0) error = count == 0 ? "closed" : "reset";
    if (count > 0) m_input.append(buffer, static_cast<std::size_t>(count));
    return count > 0;
  }

  static void ParseHead(Message& message, const std::string& head) {
    std::size_t line = head.find("\r\n");
    message.start = head.substr(0, line);
    while (line != std::string::npos) {
      const std::size_t begin = line + 2;
      line = head.find("\r\n", begin);
      const std::string field = head.substr(begin, line - begin);
      const std::size_t colon = field.find(':');
      if (colon == std::string::npos) continue;
      std::string name = field.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char byte) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
      });
      std::string value = field.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers[name] = value;
    }
  }

  bool ReceiveChunks(Message& message, Clock::time_point until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) return false;
      }
      const std::size_t size = std::stoul(m_input.substr(0, end), nullptr, 16);
      while (m_input.size() < end + 2 + size + 2) {
        if (!Fill(until)) return false;
      }
      message.body += m_input.substr(end + 2, size);
      m_input.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  int m_descriptor = -1;
  std::string m_input;
};

// Accepts connections and runs `serve` for each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;

  Server(Address address, Serve serve) : m_address(std::move(address)), m_serve(std::move(serve)) {
    m_listener = Listen(m_address);
    std::thread([this] { Accept(); }).detach();
  }
  const Address& Where() const { return m_address; }

 private:
  void Accept() {
    for (;;) {
      const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      std::thread([this, descriptor] {
        Connection connection(descriptor);
        m_serve(connection);
      }).detach();
    }
  }

  Address m_address;
  Serve m_serve;
  int m_listener = -1;
};

inline std::string Response(int status, std::string_view headers, std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace review

#endif  // DAMASKHOLLOW_REVIEW_STANDINS2_HTTP_H_
