#include "support/standinstore.h"

#include <QByteArray>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

namespace damaskhollow::test {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

}  // namespace

StandInStore::StandInStore()
    : m_server([this](ConnectionId connection, const HttpRequest& request) {
        Handle(connection, request);
      }) {
  m_server.Listen(Endpoint{"127.0.0.1", 0});
  m_address = Endpoint{"127.0.0.1", m_server.serverPort()};
}

void StandInStore::Put(const std::string& key, const std::string& value) {
  PutEncoded(key, QByteArray::fromStdString(value).toBase64().toStdString());
}

void StandInStore::PutEncoded(const std::string& key, const std::string& encoded) {
  Item& item = m_items[key];
  item.encoded = encoded;
  item.revision = ++m_revision;
  if (item.created == 0) item.created = m_revision;
  m_changes.push_back({m_revision, key});
  CompletePendingWatches();
}

void StandInStore::Delete(const std::string& key) {
  m_items.erase(key);
  m_changes.push_back({++m_revision, key});
  CompletePendingWatches();
}

void StandInStore::CompactHistory() {
  m_compacted_revision = ++m_revision;
  m_changes.clear();
  AbortWatches();
}

void StandInStore::SaveCopy() { m_copy = {m_items, m_changes, m_revision}; }

void StandInStore::Restore() {
  m_items = m_copy.items;
  m_changes = m_copy.changes;
  m_revision = m_copy.revision;
  ++m_epoch;
  AbortWatches();
}

void StandInStore::AbortWatches() {
  for (const PendingWatch& watch : std::exchange(m_pending, {})) m_server.Abort(watch.connection);
}

void StandInStore::SendResponse(ConnectionId connection, int status, std::string_view body) {
  m_server.SendResponse(connection, status, body, {{"Store-Era", std::to_string(m_epoch)}});
}

void StandInStore::MakeOpenConnectionsUnresponsive() {
  m_server.MakeOpenConnectionsUnresponsive();
  m_pending.clear();
}

void StandInStore::Handle(ConnectionId connection, const HttpRequest& request) {
  switch (m_mode) {
    case Mode::kBusy:
      return SendResponse(connection, kUnavailable, "");
    case Mode::kTooMany:
      return SendResponse(connection, kTooManyRequests, "");
    case Mode::kAborting:
      return m_server.Abort(connection);
    case Mode::kSilent:
      return;
    case Mode::kServing:
      break;
  }
  const QUrl url(QString::fromStdString(request.target));
  const QUrlQuery query(url);
  const auto value = [&](const char* name) {
    return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
  };
  if (url.path() == "/v1/kv-range") {
    ++m_ranges;
    const bool is_stale = value("allowStale") == "1";
    m_stale_ranges += is_stale ? 1 : 0;
    const auto& state = is_stale && m_stale_items ? *m_stale_items : m_items;
    return SendRange(connection, state, value("prefix"),
                     m_repeats_first_page ? std::string() : value("after"));
  }
  ++m_watches;
  const PendingWatch watch{connection, value("prefix"), std::stoull(value("after"))};
  const bool is_known = watch.after >= m_compacted_revision && watch.after <= m_revision;
  if (!is_known) return SendResponse(connection, kGone, "{}");
  if (HasEvents(watch)) return SendWatchEvents(watch);
  m_pending.push_back(watch);
  QTimer::singleShot(std::stoi(value("waitMs")), &m_server, [this, connection] {
    const auto found =
        std::find_if(m_pending.begin(), m_pending.end(),
                     [&](const PendingWatch& entry) { return entry.connection == connection; });
    if (found == m_pending.end()) return;
    const PendingWatch ended = *found;
    m_pending.erase(found);
    SendWatchEvents(ended);
  });
}

std::string StandInStore::ItemJson(const std::string& key, const Item& item) {
  return "{\"key\":" + Quoted(key) + ",\"value\":" + Quoted(item.encoded) +
         ",\"revision\":" + std::to_string(item.revision) +
         ",\"created\":" + std::to_string(item.created) + ",\"lease\":0}";
}

void StandInStore::SendRange(ConnectionId connection, const std::map<std::string, Item>& state,
                             const std::string& prefix, const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  for (const auto& [key, item] : state) {
    if (!key.starts_with(prefix) || key <= after) continue;
    has_more = count == m_page_size;
    if (has_more) break;
    items += (items.empty() ? "" : ",") + ItemJson(key, item);
    ++count;
  }
  SendResponse(connection, kOk,
               "{\"items\":[" + items + "],\"hasMore\":" + (has_more ? "true" : "false") +
                   ",\"currentRev\":" + std::to_string(m_revision) + "}");
  if (std::exchange(m_restores_after_page, false)) Restore();
}

bool StandInStore::HasEvents(const PendingWatch& watch) const {
  return std::any_of(m_changes.begin(), m_changes.end(), [&](const Change& change) {
    return change.revision > watch.after && change.key.starts_with(watch.prefix);
  });
}

std::string StandInStore::EventsSince(const PendingWatch& watch) const {
  std::string events;
  for (const Change& change : m_changes) {
    if (change.revision <= watch.after || !change.key.starts_with(watch.prefix)) continue;
    const auto item = m_items.find(change.key);
    const bool is_deleted = item == m_items.end();
    events += events.empty() ? "" : ",";
    events += is_deleted
                  ? "{\"key\":" + Quoted(change.key) +
                        ",\"revision\":" + std::to_string(change.revision) + ",\"deleted\":true}"
                  : ItemJson(change.key, item->second);
  }
  return events;
}

void StandInStore::SendWatchEvents(const PendingWatch& watch) {
  SendResponse(watch.connection, kOk,
               "{\"events\":[" + EventsSince(watch) +
                   "],\"currentRev\":" + std::to_string(m_revision) + "}");
}

std::size_t StandInStore::PendingWatches(std::string_view prefix) const {
  return static_cast<std::size_t>(
      std::count_if(m_pending.begin(), m_pending.end(),
                    [&](const PendingWatch& watch) { return watch.prefix == prefix; }));
}

void StandInStore::CompletePendingWatches() {
  for (const PendingWatch& watch : std::exchange(m_pending, {})) {
    if (HasEvents(watch)) {
      SendWatchEvents(watch);
    } else {
      m_pending.push_back(watch);
    }
  }
}

}  // namespace damaskhollow::test
