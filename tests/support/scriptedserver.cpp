#include "support/scriptedserver.h"

#include <cppunit/TestAssert.h>
#include <sys/socket.h>

#include <QTimer>
#include <chrono>
#include <memory>
#include <utility>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

// Gives the client time to read the bytes, which a reset could otherwise overtake.
constexpr milliseconds kEndDelay{50};
constexpr milliseconds kRequestTimeout{5000};
constexpr std::size_t kCreditBytes = 65536;

// Records the response or failure of one request.
class ResponseCollector : public BackendEvents {
 public:
  void OnBackendResponsePart(ConnectionId, ResponsePart part, bool reusable) override {
    if (part.head) {
      m_response.status = part.head->status;
      m_response.refused = HasHeader(part.head->headers, "Not-Run");
    }
    m_response.body += part.data;
    m_response.body_bytes += part.data.size();
    m_response.complete = part.last;
    m_response.reusable = reusable;
  }
  void OnBackendFailed(ConnectionId, Reason reason, bool) override { m_response.failure = reason; }
  void OnBackendIdleClosed(ConnectionId) override {}

  const CollectedResponse& Response() const { return m_response; }

 private:
  CollectedResponse m_response;
};

}  // namespace

ScriptedServer::ScriptedServer(std::vector<std::string> pieces, End end)
    : m_pieces(std::move(pieces)), m_end(end) {
  listen(QHostAddress::LocalHost);
}

void ScriptedServer::incomingConnection(qintptr descriptor) {
  auto* socket = new QTcpSocket(this);
  socket->setSocketDescriptor(descriptor);
  ++m_open_connections;
  connect(socket, &QTcpSocket::disconnected, this, [this] { --m_open_connections; });
  connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
    if (socket->readAll().contains("\r\n\r\n")) WritePiece(*socket, 0);
  });
}

void ScriptedServer::WritePiece(QTcpSocket& socket, std::size_t index) {
  if (index == m_pieces.size()) return EndConnection(socket);
  if (socket.state() != QAbstractSocket::ConnectedState) return;
  const std::string& piece = m_pieces[index];
  socket.write(piece.data(), static_cast<qint64>(piece.size()));
  socket.flush();
  QTimer::singleShot(0, &socket, [this, &socket, index] { WritePiece(socket, index + 1); });
}

void ScriptedServer::RepeatLast(QTcpSocket& socket) {
  if (socket.state() != QAbstractSocket::ConnectedState) return;
  // The socket must not collect what the client does not read.
  if (socket.bytesToWrite() == 0) {
    const std::string& piece = m_pieces.back();
    m_repeated_bytes += piece.size();
    socket.write(piece.data(), static_cast<qint64>(piece.size()));
    socket.flush();
  }
  QTimer::singleShot(0, &socket, [this, &socket] { RepeatLast(socket); });
}

void ScriptedServer::EndConnection(QTcpSocket& socket) {
  if (m_end == End::kKeepOpen) return;
  if (m_end == End::kRepeatLast) return RepeatLast(socket);
  const milliseconds delay = m_end == End::kResetAtOnce ? milliseconds(0) : kEndDelay;
  QTimer::singleShot(delay, &socket, [this, &socket] {
    if (m_end != End::kClose) {
      const linger reset_on_close{1, 0};
      ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER,
                   &reset_on_close, sizeof(reset_on_close));
    }
    socket.abort();
  });
}

ConversationServer::ConversationServer(std::vector<std::vector<std::string>> responses)
    : m_responses(std::move(responses)) {
  listen(QHostAddress::LocalHost);
}

void ConversationServer::incomingConnection(qintptr descriptor) {
  auto* socket = new QTcpSocket(this);
  socket->setSocketDescriptor(descriptor);
  const std::size_t connection = m_sockets.size();
  m_sockets.push_back(socket);
  const auto request = std::make_shared<std::size_t>(0);
  connect(socket, &QTcpSocket::readyRead, socket, [this, socket, connection, request] {
    if (!socket->readAll().contains("\r\n\r\n")) return;
    const std::size_t index = (*request)++;
    if (connection >= m_responses.size() || index >= m_responses[connection].size()) return;
    SendNow(connection, m_responses[connection][index]);
  });
}

void ConversationServer::SendNow(std::size_t connection, std::string_view bytes) {
  QTcpSocket& socket = *m_sockets.at(connection);
  socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
  socket.flush();
}

CollectedResponse FetchFrom(const ScriptedServer& server) {
  return FetchFrom(server, kRequestTimeout, kCreditBytes);
}

CollectedResponse FetchFrom(const ScriptedServer& server, milliseconds timeout,
                            std::size_t credit) {
  ResponseCollector collector;
  BackendConnection connection(ConnectionId{1}, server.Address(), collector);
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}, {"Request-Id", "mine"}};
  connection.Send(request, credit, timeout, ResponseCheck{"Request-Id", "mine", "Seal", "Not-Run"});
  CPPUNIT_ASSERT(
      WaitUntil([&] { return collector.Response().complete || collector.Response().failure; }));
  CollectedResponse response = collector.Response();
  response.fault = connection.Fault();
  return response;
}

}  // namespace damaskhollow::test
