#include "support/httpclient.h"

#include <utility>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::size_t kUnlimitedCredit = static_cast<std::size_t>(1) << 40U;
constexpr std::chrono::milliseconds kFetchWaitMargin{5000};
constexpr std::size_t kMaxDescribedBytes = 200;

}  // namespace

std::string HttpResponse::Outcome() const {
  if (status == 0) return failure == Reason::kBackendUnreachable ? "refused" : "unknown";
  const std::string outcome = Header("Damaskhollow-Outcome");
  return complete || outcome != "answered" ? outcome : "unknown";
}

std::string HttpResponse::ReasonName() const { return Header("Damaskhollow-Reason"); }

std::string HttpResponse::Header(std::string_view name) const {
  return std::string(FindHeader(headers, name));
}

std::string HttpResponse::Describe() const {
  return "status " + std::to_string(status) + ", outcome " + Outcome() + ", reason " +
         ReasonName() + (complete ? ", complete, " : ", incomplete, ") +
         std::to_string(body.size()) +
         " bytes: " + body.substr(0, status == 200 ? 0 : kMaxDescribedBytes);
}

HttpClient::~HttpClient() = default;

ConnectionId HttpClient::Send(const Endpoint& endpoint, const HttpRequest& request,
                              std::chrono::milliseconds timeout, Done done) {
  const ConnectionId id = AcquireConnection(endpoint);
  m_pending.emplace(id, Exchange{endpoint, HttpResponse(), std::move(done)});
  HttpRequest complete = request;
  if (!HasHeader(complete.headers, "Host")) {
    complete.headers.push_back({"Host", ToString(endpoint)});
  }
  m_connections.at(id)->Send(complete, kUnlimitedCredit, timeout);
  return id;
}

ConnectionId HttpClient::AcquireConnection(const Endpoint& endpoint) {
  std::vector<ConnectionId>& idle = m_idle[endpoint];
  if (!idle.empty()) {
    const ConnectionId id = idle.back();
    idle.pop_back();
    return id;
  }
  const ConnectionId id{m_next_connection++};
  m_connections.emplace(id, std::make_unique<BackendConnection>(id, endpoint, *this));
  return id;
}

void HttpClient::Cancel(ConnectionId connection) {
  if (m_pending.erase(connection) == 0) return;
  m_connections.at(connection)->Abort();
  Remove(connection);
}

HttpResponse HttpClient::Fetch(const Endpoint& endpoint, const HttpRequest& request,
                               std::chrono::milliseconds timeout) {
  HttpResponse result;
  bool is_done = false;
  Send(endpoint, request, timeout, [&](const HttpResponse& response) {
    result = response;
    is_done = true;
  });
  WaitUntil([&] { return is_done; }, timeout + kFetchWaitMargin);
  return result;
}

void HttpClient::OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) {
  const auto found = m_pending.find(connection);
  if (found == m_pending.end()) return;
  HttpResponse& response = found->second.response;
  if (part.head) {
    response.status = part.head->status;
    response.headers = std::move(part.head->headers);
  }
  response.body += part.data;
  if (!part.last) return;
  response.complete = true;
  if (reusable && m_reuse) {
    m_idle[found->second.endpoint].push_back(connection);
  } else {
    Remove(connection);
  }
  Finish(connection);
}

void HttpClient::OnBackendFailed(ConnectionId connection, Reason reason, bool) {
  const auto found = m_pending.find(connection);
  if (found == m_pending.end()) return;
  found->second.response.failure = reason;
  Remove(connection);
  Finish(connection);
}

void HttpClient::OnBackendIdleClosed(ConnectionId connection) {
  for (auto& [endpoint, idle] : m_idle) std::erase(idle, connection);
  Remove(connection);
}

void HttpClient::Remove(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  found->second.release()->deleteLater();  // It may be the source of the current event.
  m_connections.erase(found);
}

void HttpClient::Finish(ConnectionId connection) {
  const auto found = m_pending.find(connection);
  const Exchange exchange = std::move(found->second);
  m_pending.erase(found);
  // Queued, so that the callback may delete the client.
  QMetaObject::invokeMethod(
      this, [exchange] { exchange.done(exchange.response); }, Qt::QueuedConnection);
}

HttpRequest MakeRequest(std::string_view method, std::string_view target,
                        std::vector<HttpHeader> headers, std::string body) {
  return HttpRequest{std::string(method), std::string(target), std::move(headers), std::move(body)};
}

}  // namespace damaskhollow::test
