#ifndef DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_

#include <QTcpServer>
#include <QTcpSocket>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "http/backendconnection.h"

namespace damaskhollow::test {

// A server that responds to each request with the same bytes, split into the given writes.
class ScriptedServer : public QTcpServer {
 public:
  // kRepeatLast writes the last piece again and again until the client closes.
  // kResetAtOnce leaves the client no time to read before the reset.
  enum class End { kKeepOpen, kClose, kReset, kResetAtOnce, kRepeatLast };

  ScriptedServer(std::vector<std::string> pieces, End end);

  Endpoint Address() const { return Endpoint{"127.0.0.1", serverPort()}; }

  // Bytes that clients have accepted from the repeated piece.
  std::size_t RepeatedBytes() const { return m_repeated_bytes; }
  std::size_t OpenConnections() const { return m_open_connections; }

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  void WritePiece(QTcpSocket& socket, std::size_t index);
  void EndConnection(QTcpSocket& socket);
  void RepeatLast(QTcpSocket& socket);

  const std::vector<std::string> m_pieces;
  const End m_end;
  std::size_t m_repeated_bytes = 0;
  std::size_t m_open_connections = 0;
};

// A server with a response for each request of each connection. `responses[c][r]` answers the
// request `r` of the connection `c`; requests beyond get no response.
class ConversationServer : public QTcpServer {
 public:
  explicit ConversationServer(std::vector<std::vector<std::string>> responses);

  Endpoint Address() const { return Endpoint{"127.0.0.1", serverPort()}; }

  // Sends bytes on a connection now, regardless of requests. They have left this process on return.
  void SendNow(std::size_t connection, std::string_view bytes);

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  const std::vector<std::vector<std::string>> m_responses;
  std::vector<QTcpSocket*> m_sockets;
};

// The response or failure that a BackendConnection reports for the server's bytes.
struct CollectedResponse {
  bool complete = false;
  int status = 0;        // 0: no response head was accepted.
  bool refused = false;  // The head says that the request was not run.
  bool reusable = false;
  std::string body;
  std::optional<Reason> failure;
  ResponseFault fault = ResponseFault::kNone;
  std::size_t body_bytes = 0;
};

// Sends one request with the id "mine" and runs the event loop until the request has ended. The
// connection only accepts a response that repeats the id in Request-Id and has the header Seal; the
// header Not-Run says that the request was not run.
CollectedResponse FetchFrom(const ScriptedServer& server);

// Like FetchFrom, but fails the request after `timeout` and grants no more credit than for `credit`
// bytes of body.
CollectedResponse FetchFrom(const ScriptedServer& server, std::chrono::milliseconds timeout,
                            std::size_t credit);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_
