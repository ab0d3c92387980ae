#ifndef DAMASKHOLLOW_TESTS_SUPPORT_HTTPSERVER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_HTTPSERVER_H_

#include <QTcpServer>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "http/bodybudget.h"
#include "http/callerconnection.h"
#include "http/message.h"

namespace damaskhollow::test {

// A minimal HTTP/1.1 server for stand-ins. Runs on the thread that creates it.
class HttpServer : public QTcpServer, public CallerEvents {
 public:
  using RequestHandler = std::function<void(ConnectionId, HttpRequest)>;
  using ClosedHandler = std::function<void(ConnectionId)>;

  // `handle` receives each complete request and responds to it immediately or later. `on_closed` is
  // called when a connection has been closed.
  explicit HttpServer(RequestHandler handle, ClosedHandler on_closed = nullptr);
  ~HttpServer() override;

  // Returns false if the server cannot listen on the address.
  bool Listen(const Endpoint& endpoint);

  // Returns the connection, or null if it has been closed.
  CallerConnection* Find(ConnectionId connection);

  // Responds to the oldest open request of the connection with a Content-Length body. Does nothing
  // if the connection has been closed.
  void SendResponse(ConnectionId connection, int status, std::string_view body,
                    std::vector<HttpHeader> headers = {});

  // Like SendResponse(), but with chunked encoding in chunks of at most `chunk_bytes`.
  void SendChunkedResponse(ConnectionId connection, int status, std::string_view body,
                           std::size_t chunk_bytes, std::vector<HttpHeader> headers = {});

  // Makes all open connections silent for their clients, as described for MakeUnresponsive(). New
  // connections work.
  void MakeOpenConnectionsUnresponsive();

  // Closes the connection without a response.
  void Abort(ConnectionId connection);

  std::size_t BodyLimit(const HttpRequest& head) const override;
  void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) override;
  void OnBadRequest(ExchangeId exchange, Reason reason) override;
  void OnBodySent(ExchangeId exchange, std::size_t bytes) override;
  void OnCallerDisconnected(ConnectionId connection) override;

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  void Remove(ConnectionId connection);

  RequestHandler m_handle;
  ClosedHandler m_on_closed;
  BodyBudget m_budget;
  std::uint64_t m_next_connection = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<CallerConnection>> m_connections;
  std::unordered_map<ConnectionId, qintptr> m_descriptors;  // Of the open connections.
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_HTTPSERVER_H_
