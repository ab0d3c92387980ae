#include "support/faultproxy/relay.h"

#include <algorithm>
#include <utility>

namespace damaskhollow::test {

namespace {

constexpr qint64 kReadBytes = 64LL * 1024LL;
// Maximum number of bytes in transit per connection and direction; further bytes are not read from
// the sender.
constexpr std::size_t kMaxBufferedBytes = 512UL * 1024UL;
constexpr std::size_t kMaxHeldBytes = 64UL * 1024UL * 1024UL;

}  // namespace

ProxyClock::time_point SharedLink::Transmit(std::size_t bytes) {
  const ProxyClock::time_point now = ProxyClock::now();
  if (bytes_per_second <= 0.0) return now;
  const std::chrono::duration<double> duration(static_cast<double>(bytes) / bytes_per_second);
  busy_until =
      std::max(busy_until, now) + std::chrono::duration_cast<ProxyClock::duration>(duration);
  return busy_until;
}

Relay::Relay(QTcpSocket& from, QTcpSocket& to, DirectionFaults& faults)
    : m_from(from), m_to(to), m_faults(faults) {
  m_timer.setSingleShot(true);
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(&m_timer, &QTimer::timeout, this, &Relay::Update);
  connect(&m_from, &QTcpSocket::readyRead, this, &Relay::Update);
  connect(&m_to, &QTcpSocket::connected, this, &Relay::Update);
  connect(&m_to, &QTcpSocket::bytesWritten, this, &Relay::Update);
}

void Relay::Update() {
  if (m_silent) {
    m_from.readAll();
    return;
  }
  Read();
  Deliver();
}

void Relay::Read() {
  const std::size_t limit = m_faults.hold ? kMaxHeldBytes : kMaxBufferedBytes;
  while (!m_faults.freeze && m_buffered_bytes < limit && m_from.bytesAvailable() > 0) {
    QByteArray data = m_from.read(kReadBytes);
    const auto size = static_cast<std::size_t>(data.size());
    m_buffered_bytes += size;
    const ProxyClock::time_point transmitted_at =
        m_faults.link == nullptr ? ProxyClock::now() : m_faults.link->Transmit(size);
    m_pieces.push_back({transmitted_at + m_faults.delay, std::move(data)});
  }
}

void Relay::Deliver() {
  if (m_to.state() != QAbstractSocket::ConnectedState || m_faults.hold) return;
  const ProxyClock::time_point now = ProxyClock::now();
  while (!m_pieces.empty() && m_pieces.front().due <= now &&
         m_to.bytesToWrite() < static_cast<qint64>(kMaxBufferedBytes)) {
    const Piece piece = std::move(m_pieces.front());
    m_pieces.pop_front();
    m_buffered_bytes -= static_cast<std::size_t>(piece.data.size());
    m_faults.bytes += static_cast<std::uint64_t>(piece.data.size());
    m_to.write(piece.data);
  }
  if (!m_pieces.empty()) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(m_pieces.front().due - now);
    if (wait.count() > 0) m_timer.start(wait);
    return;
  }
  if (m_from.bytesAvailable() > 0 && !m_faults.freeze) return m_timer.start(0);
  if (m_sender_closed && m_from.bytesAvailable() == 0) m_to.disconnectFromHost();
}

void Relay::Silence() {
  m_silent = true;
  m_pieces.clear();
  m_from.readAll();
}

void Relay::OnSenderClosed() {
  m_sender_closed = true;
  if (!m_silent) Update();
}

}  // namespace damaskhollow::test
