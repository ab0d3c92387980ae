#include "support/faultproxy/proxypair.h"

#include <QHostAddress>
#include <utility>

#include "support/unresponsive.h"

namespace damaskhollow::test {

namespace {

constexpr qint64 kReadBufferBytes = 64LL * 1024LL;
constexpr int kListenBacklog = 1024;

}  // namespace

ProxyPair::ProxyPair(Endpoint listen, Endpoint target)
    : m_listen(std::move(listen)), m_target(std::move(target)) {
  m_server.setListenBacklogSize(kListenBacklog);
  connect(&m_server, &QTcpServer::newConnection, this, &ProxyPair::Accept);
}

ProxyPair::~ProxyPair() {
  for (auto& [id, connection] : m_connections) {
    connection.client->disconnect(this);
    connection.server->disconnect(this);
  }
}

bool ProxyPair::Listen() {
  return m_server.listen(QHostAddress(QString::fromStdString(m_listen.address)), m_listen.port);
}

void ProxyPair::SetLinks(SharedLink* up, SharedLink* down) {
  m_up.link = up;
  m_down.link = down;
}

void ProxyPair::Accept() {
  while (QTcpSocket* accepted = m_server.nextPendingConnection()) {
    const int id = m_next_connection++;
    Connection& connection = m_connections[id];
    connection.client.reset(accepted);
    connection.client->setParent(nullptr);
    connection.server = std::make_unique<QTcpSocket>();
    for (QTcpSocket* socket : {connection.client.get(), connection.server.get()}) {
      socket->setReadBufferSize(kReadBufferBytes);
      socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    }
    connection.up = std::make_unique<Relay>(*connection.client, *connection.server, m_up);
    connection.down = std::make_unique<Relay>(*connection.server, *connection.client, m_down);
    connect(connection.client.get(), &QTcpSocket::disconnected, this,
            [this, id] { OnClosed(id, true); });
    connect(connection.server.get(), &QTcpSocket::disconnected, this,
            [this, id] { OnClosed(id, false); });
    connect(connection.server.get(), &QTcpSocket::errorOccurred, this, [this, id] {
      const auto found = m_connections.find(id);
      if (found == m_connections.end()) return;
      if (found->second.server->state() == QAbstractSocket::UnconnectedState) OnClosed(id, false);
    });
    connect(connection.server.get(), &QTcpSocket::connected, this, [this, id] {
      // Socket options set before the connection is established have no effect.
      m_connections.at(id).server->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    });
    if (m_blackhole) {
      connection.silent = true;
      connection.up->Silence();
      connection.down->Silence();
      continue;
    }
    connection.server->connectToHost(QString::fromStdString(m_target.address), m_target.port);
  }
}

void ProxyPair::OnClosed(int id, bool by_client) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  Connection& connection = found->second;
  const bool client_open = connection.client->state() == QAbstractSocket::ConnectedState;
  const bool server_open = connection.server->state() == QAbstractSocket::ConnectedState ||
                           connection.server->state() == QAbstractSocket::ConnectingState;
  if (connection.silent) {
    // The close is not forwarded to the other end, like all else on a silent connection.
    if (!client_open && !server_open) Remove(id);
    return;
  }
  if (by_client && server_open) return connection.up->OnSenderClosed();
  if (!by_client && client_open) return connection.down->OnSenderClosed();
  Remove(id);
}

void ProxyPair::Remove(int id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  Connection connection = std::move(found->second);
  m_connections.erase(found);
  connection.client->disconnect(this);
  connection.server->disconnect(this);
  // One of these may be the source of the current event.
  connection.up.release()->deleteLater();
  connection.down.release()->deleteLater();
  connection.client->abort();
  connection.server->abort();
  connection.client.release()->deleteLater();
  connection.server.release()->deleteLater();
}

void ProxyPair::SetCut(bool cut) {
  if (!cut) {
    if (!m_server.isListening()) Listen();
    return;
  }
  m_server.close();
  while (!m_connections.empty()) Remove(m_connections.begin()->first);
}

void ProxyPair::SilenceAll() {
  for (auto& [id, connection] : m_connections) {
    connection.silent = true;
    connection.up->Silence();
    connection.down->Silence();
  }
}

void ProxyPair::MakeAllUnresponsive() {
  SilenceAll();
  for (auto& [id, connection] : m_connections) {
    for (QTcpSocket* socket : {connection.client.get(), connection.server.get()}) {
      MakeUnresponsive(static_cast<int>(socket->socketDescriptor()));
    }
  }
}

void ProxyPair::ApplyOptions(const QueryOptions& options) {
  if (options.Has("delay_ms")) {
    const auto delay_ms = static_cast<std::int64_t>(options.Number("delay_ms", 0.0));
    m_up.delay = m_down.delay = std::chrono::milliseconds(delay_ms);
  }
  const auto apply = [&](std::string_view name, bool DirectionFaults::*fault) {
    if (!options.Has(name)) return;
    const std::string value = options.Text(name);
    m_up.*fault = value == "up" || value == "both";
    m_down.*fault = value == "down" || value == "both";
  };
  apply("freeze", &DirectionFaults::freeze);
  apply("hold", &DirectionFaults::hold);
  if (options.Has("blackhole")) m_blackhole = options.IsOn("blackhole");
  if (options.IsOn("unresponsive")) MakeAllUnresponsive();
  if (options.IsOn("silence") || options.IsOn("blackhole")) SilenceAll();
  if (options.Has("cut")) SetCut(options.IsOn("cut"));
  for (auto& [id, connection] : m_connections) {
    connection.up->Update();
    connection.down->Update();
  }
}

QJsonObject ProxyPair::Statistics() const {
  QJsonObject json;
  json.insert("up_bytes", static_cast<qint64>(m_up.bytes));
  json.insert("down_bytes", static_cast<qint64>(m_down.bytes));
  json.insert("accepted", m_next_connection - 1);
  json.insert("open", static_cast<int>(m_connections.size()));
  return json;
}

}  // namespace damaskhollow::test
