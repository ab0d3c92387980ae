#ifndef DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_

#include <QTcpSocket>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "support/wait.h"

namespace damaskhollow::test {

// A TCP client that sends raw bytes, for malformed or incomplete requests.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint);

  void Send(std::string_view bytes);

  // Runs the event loop until `text` has been received. Returns false on a timeout or if the
  // connection is closed before.
  bool WaitFor(std::string_view text);

  bool WaitForClose();

  // Waits until all bytes have been passed to the kernel or the connection is closed.
  void Flush();

  // Passes the bytes to the kernel without running the event loop, so that a server on the same
  // thread has not read them yet. Returns whether all bytes have been passed.
  bool FlushNow();

  // Closes the connection immediately, like a caller that disconnects.
  void Abort() { m_socket.abort(); }

  const std::string& Received();
  bool IsOpen() const { return m_socket.state() == QAbstractSocket::ConnectedState; }

 private:
  QTcpSocket m_socket;
  std::string m_received;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_
