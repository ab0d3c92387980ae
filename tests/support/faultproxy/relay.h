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

// One direction of a link whose bandwidth several pairs share.
struct SharedLink {
  double bytes_per_second = 0.0;  // 0: no limit.
  ProxyClock::time_point busy_until{};

  // Reserves the link for bytes that arrive now. Returns the time at which they have been
  // transmitted.
  ProxyClock::time_point Transmit(std::size_t bytes);
};

// The faults of one direction of a pair, and its byte count.
struct DirectionFaults {
  std::chrono::milliseconds delay{0};
  bool freeze = false;  // Nothing is read, so the TCP window closes.
  bool hold = false;    // Bytes are read, but buffered until this is cleared.
  SharedLink* link = nullptr;
  std::uint64_t bytes = 0;  // Forwarded so far.
};

// Forwards the bytes of one direction of one connection.
class Relay : public QObject {
 public:
  Relay(QTcpSocket& from, QTcpSocket& to, DirectionFaults& faults);

  // Reads and forwards as far as the faults allow. Must be called when the faults change.
  void Update();

  // Discards all bytes from now on.
  void Silence();

  // To be called when the sender has closed its connection; closes the connection to the receiver
  // after the last byte.
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
