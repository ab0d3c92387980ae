#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_RELAY_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_RELAY_H_

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace damaskhollow::test {

using ProxyClock = std::chrono::steady_clock;

// A link whose bandwidth several pairs share, in one direction.
struct SharedLink {
  double bytes_per_second = 0.0;  // 0: no limit.
  ProxyClock::time_point busy_until{};

  // When bytes that arrive now have passed the link.
  ProxyClock::time_point Transmit(std::size_t bytes);
};

// What happens to the bytes of one direction of a pair.
struct DirectionFaults {
  std::chrono::milliseconds delay{0};
  bool freeze = false;  // Nothing is read, so the sender's window closes.
  bool hold = false;    // Bytes are read and kept until released.
  SharedLink* link = nullptr;
  std::uint64_t bytes = 0;  // Passed on so far.
};

// Carries the bytes of one direction of one connection.
class Relay : public QObject {
 public:
  Relay(QTcpSocket& from, QTcpSocket& to, DirectionFaults& faults);

  // Reads and passes on what the faults allow; to be called when they change.
  void Update();

  // Discards all bytes from now on.
  void Silence();

  // The sender closed; the receiver is closed after the last byte.
  void OnSenderClosed();

 private:
  struct Piece {
    ProxyClock::time_point due;
    QByteArray data;
  };

  void Read();
  void Deliver();

  QTcpSocket& m_from;
  QTcpSocket& m_to;
  DirectionFaults& m_faults;
  std::deque<Piece> m_pieces;
  std::size_t m_buffered_bytes = 0;
  bool m_silent = false;
  bool m_sender_closed = false;
  QTimer m_timer;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_RELAY_H_
