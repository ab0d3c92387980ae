#ifndef DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_

#include <QTcpSocket>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "support/wait.h"

namespace damaskhollow::test {

// A connection that sends bytes as given, for requests that no proper client would send.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint);

  void Send(std::string_view bytes);

  // Runs the event loop until the text was received; false if the connection closed before.
  bool WaitFor(std::string_view text);

  bool WaitForClose();

  // Waits until all has been handed to the network or the connection closed.
  void Flush();

  // Closes at once, as a caller that leaves.
  void Abort() { m_socket.abort(); }

  const std::string& Received();
  bool IsOpen() const { return m_socket.state() == QAbstractSocket::ConnectedState; }

 private:
  QTcpSocket m_socket;
  std::string m_received;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_RAWCLIENT_H_
