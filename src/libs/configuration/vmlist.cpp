#include "configuration/vmlist.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <set>
#include <string>

#include "base/endpoint.h"
#include "declaration/declarationlimits.h"

namespace damaskhollow {

namespace {

constexpr char kLive[] = "live";
constexpr char kLeaving[] = "leaving";

std::string TextOf(const QJsonObject& entry, const char* field) {
  return entry.value(field).toString().toStdString();
}

QString ToQString(const std::string& text) { return QString::fromStdString(text); }

// Parses the backend server of an entry. Returns nullopt if the service is missing, an address is
// invalid, a port is 0 or the number of slots is out of range.
std::optional<BackendServer> ReadServer(const QJsonObject& entry) {
  BackendServer server;
  server.id = BackendServerId(TextOf(entry, "id"));
  server.service = ServiceId(TextOf(entry, "service"));
  server.address = TextOf(entry, "address");
  server.peer_address = TextOf(entry, "peer_address");
  server.region = RegionId(TextOf(entry, "region"));
  server.data_centre = DataCentreId(TextOf(entry, "data_centre"));
  server.instance = TextOf(entry, "instance");
  server.started_ms =
      static_cast<std::uint64_t>(std::max<qint64>(entry.value("started_ms").toInteger(), 0));
  server.warming = entry.value("warming").toBool();
  const int slots = entry.value("slots").toInt();
  const Result<Endpoint> address = ParseEndpoint(server.address);
  const Result<Endpoint> peer_address = ParseEndpoint(server.peer_address);
  const bool has_addresses =
      address && address.value().port > 0 && peer_address && peer_address.value().port > 0;
  if (server.service.IsEmpty() || !has_addresses || slots < 1 ||
      slots > static_cast<int>(kMaxSlots)) {
    return std::nullopt;
  }
  server.slots = static_cast<std::size_t>(slots);
  return server;
}

}  // namespace

std::optional<VmList> ParseVmList(std::string_view text) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())));
  const QJsonValue vms = document.object().value("vms");
  if (!vms.isArray()) return std::nullopt;
  VmList list;
  if (document.object().value("live_inventory").toBool()) list.inventory.emplace();
  std::set<std::string> ids;
  for (const QJsonValue value : vms.toArray()) {
    const QJsonObject entry = value.toObject();
    const std::string id = TextOf(entry, "id");
    const std::string state = TextOf(entry, "state");
    std::optional<BackendServer> server = list.inventory ? ReadServer(entry) : BackendServer();
    const bool is_valid = !id.empty() && (state == kLive || state == kLeaving) && server;
    if (!is_valid || !ids.insert(id).second) {
      list.refused.push_back(id);
      continue;
    }
    list.entries.push_back({BackendServerId(id), state == kLeaving});
    if (list.inventory) list.inventory->push_back(std::move(*server));
  }
  return list;
}

std::string FormatVmList(const std::vector<BackendServer>& inventory,
                         const std::vector<VmEntry>& entries) {
  std::set<BackendServerId> leaving;
  for (const VmEntry& entry : entries) {
    if (entry.leaving) leaving.insert(entry.server);
  }
  // One line for each entry, so that changes of the text are short.
  std::string text = "{\"live_inventory\":true,\"vms\":[";
  std::string_view separator = "\n";
  for (const BackendServer& server : inventory) {
    QJsonObject entry;
    entry.insert("id", ToQString(server.id.Value()));
    entry.insert("state", leaving.contains(server.id) ? kLeaving : kLive);
    entry.insert("service", ToQString(server.service.Value()));
    entry.insert("address", ToQString(server.address));
    entry.insert("peer_address", ToQString(server.peer_address));
    entry.insert("region", ToQString(server.region.Value()));
    entry.insert("data_centre", ToQString(server.data_centre.Value()));
    entry.insert("slots", static_cast<int>(server.slots));
    entry.insert("instance", ToQString(server.instance));
    if (server.started_ms > 0) {
      entry.insert("started_ms", static_cast<qint64>(server.started_ms));
    }
    entry.insert("warming", server.warming);
    text += separator;
    text += QJsonDocument(entry).toJson(QJsonDocument::Compact).toStdString();
    separator = ",\n";
  }
  text += "\n]}";
  return text;
}

}  // namespace damaskhollow
