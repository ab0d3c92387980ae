#ifndef DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_

#include <QTcpServer>
#include <QTcpSocket>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "http/backendconnection.h"

namespace damaskhollow::test {

// A server that responds to each request with the same bytes, split into the given writes.
class ScriptedServer : public QTcpServer {
 public:
  enum class End { kKeepOpen, kClose, kReset };

  ScriptedServer(std::vector<std::string> pieces, End end);

  Endpoint Address() const { return Endpoint{"127.0.0.1", serverPort()}; }

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  void WritePiece(QTcpSocket& socket, std::size_t index);
  void EndConnection(QTcpSocket& socket) const;

  const std::vector<std::string> m_pieces;
  const End m_end;
};

// The response or failure that a BackendConnection reports for the server's bytes.
struct CollectedResponse {
  bool complete = false;
  int status = 0;  // 0: no response head was accepted.
  std::string body;
  std::optional<Reason> failure;
};

// Sends one request with the id "mine" and runs the event loop until the request has ended. The
// connection only accepts a response that repeats the id in Request-Id and has the header Seal.
CollectedResponse FetchFrom(const ScriptedServer& server);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_SCRIPTEDSERVER_H_
