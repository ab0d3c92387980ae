#include "platform.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrlQuery>
#include <utility>
#include <vector>

#include "support/unresponsive.h"

namespace damaskhollow::test {

namespace {

constexpr std::size_t kBodyBudgetBytes = 64UL * 1024UL * 1024UL;
constexpr std::size_t kBodyLimitBytes = 4UL * 1024UL * 1024UL;
constexpr std::string_view kVersionHeader = "Damaskhollow-Version";

std::uint64_t Number(const QUrl& url, const char* name) {
  return QUrlQuery(url).queryItemValue(name).toULongLong();
}

bool IsOn(const QUrl& url) { return QUrlQuery(url).queryItemValue("on") == "1"; }

}  // namespace

Platform::Platform() : m_budget(kBodyBudgetBytes) {
  m_current_values[static_cast<std::size_t>(Resource::kVms)].body = R"({"version": 0, "vms": []})";
}

bool Platform::Open(const Endpoint& endpoint) {
  return listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port);
}

void Platform::incomingConnection(qintptr descriptor) {
  const ConnectionId id{++m_last_connection};
  m_descriptors[id] = descriptor;
  m_connections.emplace(
      id, std::make_unique<CallerConnection>(id, descriptor, CallerLimits{}, m_budget, *this));
}

std::size_t Platform::BodyLimit(const HttpRequest&) const { return kBodyLimitBytes; }

void Platform::OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) {
  const ConnectionId connection = exchange.connection;
  m_budget.Release(body_bytes);
  const QUrl url(QString::fromStdString(request.target));
  const QString path = url.path();
  if (path.startsWith("/control/")) return Control(connection, request, url);
  if (path == "/v1/configuration") return Read(connection, Resource::kConfiguration, url);
  if (path == "/v1/vms") return Read(connection, Resource::kVms, url);
  SendResponse(connection, 404, "");
}

void Platform::OnBadRequest(ExchangeId exchange, Reason) {
  SendResponse(exchange.connection, 400, "");
}

void Platform::OnBodySent(ExchangeId, std::size_t) {}

void Platform::OnCallerDisconnected(ConnectionId connection) {
  std::erase_if(m_pending_reads,
                [&](const auto& entry) { return entry.second.connection == connection; });
  m_descriptors.erase(connection);
  auto found = m_connections.extract(connection);
  if (!found.empty()) found.mapped().release()->deleteLater();
}

void Platform::Read(ConnectionId connection, Resource resource, const QUrl& url) {
  if (resource == Resource::kConfiguration) ++m_reads;
  if (m_is_down) return m_connections.at(connection)->Abort();
  if (!QUrlQuery(url).hasQueryItem("after")) return SendValue(connection, resource);
  const std::uint64_t after = Number(url, "after");
  if (Served(resource).version > after) return SendValue(connection, resource);
  const std::uint64_t read_id = ++m_last_read_id;
  m_pending_reads[read_id] = PendingRead{connection, resource, after};
  QTimer::singleShot(static_cast<int>(Number(url, "wait_ms")), this,
                     [this, read_id] { OnReadWaitExpired(read_id); });
}

void Platform::OnReadWaitExpired(std::uint64_t read_id) {
  const auto ended = m_pending_reads.extract(read_id);
  if (ended.empty()) return;
  SendNotModified(ended.mapped().connection, ended.mapped().resource);
}

void Platform::CompletePendingReads() {
  std::vector<PendingRead> due;
  std::erase_if(m_pending_reads, [&](const auto& entry) {
    const PendingRead& read = entry.second;
    if (Served(read.resource).version <= read.after) return false;
    due.push_back(read);
    return true;
  });
  for (const PendingRead& read : due) SendValue(read.connection, read.resource);
}

void Platform::Control(ConnectionId connection, const HttpRequest& request, const QUrl& url) {
  const QString path = url.path();
  if (path == "/control/configuration") return PutConfiguration(connection, request);
  if (path == "/control/vms") return PutVms(connection, request);
  if (path == "/control/reads") {
    return SendResponse(connection, 200, "{\"reads\": " + std::to_string(m_reads) + "}");
  }
  if (path == "/control/down") {
    SetDown(IsOn(url));
  } else if (path == "/control/frozen") {
    SetFrozen(IsOn(url));
  } else if (path == "/control/unresponsive") {
    MakeOthersUnresponsive(connection);
  } else {
    return SendResponse(connection, 404, "");
  }
  SendResponse(connection, 200, "");
}

void Platform::PutConfiguration(ConnectionId connection, const HttpRequest& request) {
  const std::string version(FindHeader(request.headers, kVersionHeader));
  Value& value = m_current_values[static_cast<std::size_t>(Resource::kConfiguration)];
  value = Value{QByteArray::fromStdString(version).toULongLong(), request.body};
  SendResponse(connection, 200, "");
  CompletePendingReads();
}

void Platform::PutVms(ConnectionId connection, const HttpRequest& request) {
  const QJsonObject json =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  if (!json.contains("version")) return SendResponse(connection, 400, "");
  const auto version = static_cast<std::uint64_t>(json.value("version").toInteger());
  m_current_values[static_cast<std::size_t>(Resource::kVms)] = Value{version, request.body};
  SendResponse(connection, 200, "");
  CompletePendingReads();
}

void Platform::SetDown(bool is_down) {
  m_is_down = is_down;
  if (!is_down) return;
  const std::map<std::uint64_t, PendingRead> cut = std::exchange(m_pending_reads, {});
  for (const auto& [read_id, read] : cut) m_connections.at(read.connection)->Abort();
}

void Platform::SetFrozen(bool is_frozen) {
  if (!m_is_frozen) m_frozen_values = m_current_values;
  m_is_frozen = is_frozen;
  CompletePendingReads();
}

void Platform::MakeOthersUnresponsive(ConnectionId controller) {
  for (const auto& [id, descriptor] : m_descriptors) {
    if (id != controller) MakeUnresponsive(static_cast<int>(descriptor));
  }
  m_pending_reads.clear();
}

void Platform::SendValue(ConnectionId connection, Resource resource) {
  const Value& value = Served(resource);
  HttpResponseHead head;
  head.status = 200;
  head.content_length = value.body.size();
  head.headers.push_back({std::string(kVersionHeader), std::to_string(value.version)});
  CallerConnection& caller = *m_connections.at(connection);
  const std::uint64_t number = caller.OldestPendingExchange();
  caller.StartResponse(number, head);
  caller.SendBody(number, value.body);
  caller.FinishResponse(number);
}

void Platform::SendNotModified(ConnectionId connection, Resource resource) {
  HttpResponseHead head;
  head.status = 304;
  head.headers.push_back({std::string(kVersionHeader), std::to_string(Served(resource).version)});
  CallerConnection& caller = *m_connections.at(connection);
  const std::uint64_t number = caller.OldestPendingExchange();
  caller.StartResponse(number, head);
  caller.FinishResponse(number);
}

void Platform::SendResponse(ConnectionId connection, int status, std::string_view body) {
  HttpResponseHead head;
  head.status = status;
  head.content_length = body.size();
  CallerConnection& caller = *m_connections.at(connection);
  const std::uint64_t number = caller.OldestPendingExchange();
  caller.StartResponse(number, head);
  caller.SendBody(number, body);
  caller.FinishResponse(number);
}

const Platform::Value& Platform::Served(Resource resource) const {
  const Values& values = m_is_frozen ? m_frozen_values : m_current_values;
  return values[static_cast<std::size_t>(resource)];
}

}  // namespace damaskhollow::test
