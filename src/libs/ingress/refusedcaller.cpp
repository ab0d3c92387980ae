#include "ingress/refusedcaller.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <utility>

namespace damaskhollow {

namespace {

namespace http = boost::beast::http;

// A caller sends its request right behind the handshake. While all spare descriptors are taken by
// callers that send nothing, others wait this long for one.
constexpr std::chrono::milliseconds kReadTimeout{50};
constexpr std::chrono::milliseconds kCloseTimeout{50};
constexpr std::size_t kMaxReadBytes = 64UL * 1024UL;

}  // namespace

RefusedCaller::RefusedCaller(qintptr descriptor, std::string response, std::function<void()> ended)
    : m_response(std::move(response)), m_ended(std::move(ended)) {
  m_parser.body_limit(kMaxReadBytes);
  m_parser.eager(true);
  connect(&m_socket, &QTcpSocket::readyRead, this, &RefusedCaller::ReadMore);
  connect(&m_socket, &QTcpSocket::disconnected, this, &RefusedCaller::End);
  connect(&m_timer, &QTimer::timeout, this, [this] { m_has_responded ? End() : Respond(); });
  if (!m_socket.setSocketDescriptor(descriptor)) ::close(static_cast<int>(descriptor));
  m_timer.start(kReadTimeout);
}

RefusedCaller::~RefusedCaller() {
  // The destructor of the socket emits disconnected().
  m_socket.disconnect(this);
  if (!m_has_responded && m_socket.state() == QAbstractSocket::ConnectedState) Respond();
}

void RefusedCaller::ReadMore() {
  const QByteArray data = m_socket.readAll();
  m_read_bytes += static_cast<std::size_t>(data.size());
  if (m_read_bytes > kMaxReadBytes) return End();
  if (!m_has_responded) Parse({data.constData(), static_cast<std::size_t>(data.size())});
}

void RefusedCaller::Parse(std::string_view data) {
  m_input += data;
  boost::system::error_code error;
  while (!m_parser.is_done() && !m_input.empty() && !error) {
    m_input.erase(0, m_parser.put(boost::asio::buffer(m_input), error));
  }
  const bool is_invalid = error && error != http::error::need_more;
  m_has_whole_request = m_parser.is_done() && m_input.empty();
  if (is_invalid || m_parser.is_header_done()) Respond();
}

void RefusedCaller::Respond() {
  m_has_responded = true;
  m_socket.write(m_response.data(), static_cast<qint64>(m_response.size()));
  m_socket.flush();
  ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
  if (m_has_whole_request && m_socket.bytesToWrite() == 0) return End();
  m_timer.start(kCloseTimeout);
}

void RefusedCaller::End() {
  m_timer.stop();
  m_socket.disconnect(this);
  m_socket.abort();
  m_ended();
}

void RefuseAtOnce(int descriptor, std::string_view response) {
  // Closing with unread bytes would reset the connection.
  std::array<char, 4096> discarded{};
  for (std::size_t bytes = 0; bytes < kMaxReadBytes; bytes += discarded.size()) {
    if (::recv(descriptor, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) break;
  }
  ::send(descriptor, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(descriptor, SHUT_WR);
  ::close(descriptor);
}

}  // namespace damaskhollow
