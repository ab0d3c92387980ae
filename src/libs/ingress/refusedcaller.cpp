#include "ingress/refusedcaller.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <utility>

namespace damaskhollow {

namespace {

// Covers a round trip between regions.
constexpr std::chrono::milliseconds kReadTimeout{200};
constexpr std::chrono::milliseconds kCloseTimeout{200};
constexpr std::size_t kMaxReadBytes = 64UL * 1024UL;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

RefusedCaller::RefusedCaller(qintptr descriptor, std::string response, std::function<void()> ended,
                             QObject* parent)
    : QObject(parent), m_response(std::move(response)), m_ended(std::move(ended)) {
  connect(&m_socket, &QTcpSocket::readyRead, this, &RefusedCaller::ReadMore);
  connect(&m_socket, &QTcpSocket::disconnected, this, &RefusedCaller::End);
  connect(&m_timer, &QTimer::timeout, this, [this] { m_has_responded ? End() : Respond(); });
  if (!m_socket.setSocketDescriptor(descriptor)) ::close(static_cast<int>(descriptor));
  m_timer.start(kReadTimeout);
}

void RefusedCaller::ReadMore() {
  const QByteArray data = m_socket.readAll();
  m_read_bytes += static_cast<std::size_t>(data.size());
  if (m_read_bytes > kMaxReadBytes) return End();
  if (m_has_responded) return;
  m_head.append(data.constData(), static_cast<std::size_t>(data.size()));
  if (m_head.find(kHeadEnd) != std::string::npos) Respond();
}

void RefusedCaller::Respond() {
  m_has_responded = true;
  m_socket.write(m_response.data(), static_cast<qint64>(m_response.size()));
  m_socket.flush();
  ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
  m_timer.start(kCloseTimeout);
}

void RefusedCaller::End() {
  m_timer.stop();
  m_socket.disconnect(this);
  m_socket.abort();
  deleteLater();
  m_ended();
}

}  // namespace damaskhollow
