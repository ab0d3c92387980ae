#include "support/httpserver.h"

#include <QHostAddress>
#include <algorithm>
#include <utility>

#include "support/unresponsive.h"

namespace damaskhollow::test {

namespace {

constexpr std::size_t kBodyLimitBytes = 64UL * 1024UL * 1024UL;
constexpr std::size_t kBodyBudgetBytes = 512UL * 1024UL * 1024UL;
constexpr int kListenBacklog = 1024;
// Longer than any test, so that the stand-in never closes an idle connection.
constexpr int kIdleTimeoutMs = 3600000;

}  // namespace

HttpServer::HttpServer(RequestHandler handle, ClosedHandler on_closed)
    : m_handle(std::move(handle)), m_on_closed(std::move(on_closed)), m_budget(kBodyBudgetBytes) {
  setListenBacklogSize(kListenBacklog);
}

HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const Endpoint& endpoint) {
  return listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port);
}

CallerConnection* HttpServer::Find(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? nullptr : found->second.get();
}

void HttpServer::SendResponse(ConnectionId connection, int status, std::string_view body,
                              std::vector<HttpHeader> headers) {
  CallerConnection* caller = Find(connection);
  if (caller == nullptr) return;
  HttpResponseHead head;
  head.status = status;
  head.headers = std::move(headers);
  head.content_length = body.size();
  const std::uint64_t number = caller->OldestPendingExchange();
  caller->StartResponse(number, head);
  caller->SendBody(number, body);
  caller->FinishResponse(number);
}

void HttpServer::SendChunkedResponse(ConnectionId connection, int status, std::string_view body,
                                     std::size_t chunk_bytes, std::vector<HttpHeader> headers) {
  CallerConnection* caller = Find(connection);
  if (caller == nullptr) return;
  HttpResponseHead head;
  head.status = status;
  head.headers = std::move(headers);
  const std::uint64_t number = caller->OldestPendingExchange();
  caller->StartResponse(number, head);
  for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
    caller->SendBody(number, body.substr(at, chunk_bytes));
  }
  caller->FinishResponse(number);
}

void HttpServer::MakeOpenConnectionsUnresponsive() {
  for (const auto& [id, descriptor] : m_descriptors) MakeUnresponsive(static_cast<int>(descriptor));
}

void HttpServer::Abort(ConnectionId connection) {
  if (CallerConnection* caller = Find(connection); caller != nullptr) caller->Abort();
  Remove(connection);
}

std::size_t HttpServer::BodyLimit(const HttpRequest&) const { return kBodyLimitBytes; }

void HttpServer::OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) {
  const ConnectionId connection = exchange.connection;
  m_budget.Release(body_bytes);
  m_handle(connection, std::move(request));
}

void HttpServer::OnBadRequest(ExchangeId exchange, Reason reason) {
  SendResponse(exchange.connection, InfoOf(reason).http_status, InfoOf(reason).name);
}

void HttpServer::OnBodySent(ExchangeId, std::size_t) {}

void HttpServer::OnCallerDisconnected(ConnectionId connection) {
  Remove(connection);
  if (m_on_closed) m_on_closed(connection);
}

void HttpServer::Remove(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  found->second.release()->deleteLater();  // It may be the source of the current event.
  m_connections.erase(found);
  m_descriptors.erase(connection);
}

void HttpServer::incomingConnection(qintptr descriptor) {
  const ConnectionId id{m_next_connection++};
  m_descriptors[id] = descriptor;
  CallerLimits limits;
  limits.idle_timeout_ms = kIdleTimeoutMs;
  m_connections.emplace(
      id, std::make_unique<CallerConnection>(id, descriptor, limits, m_budget, *this));
}

}  // namespace damaskhollow::test
