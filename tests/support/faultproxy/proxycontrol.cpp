#include "support/faultproxy/proxycontrol.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace damaskhollow::test {

namespace {

constexpr double kBitsPerByte = 8.0;

}  // namespace

ProxyControl::ProxyControl()
    : m_server([this](ConnectionId connection, const HttpRequest& request) {
        HandleRequest(connection, request);
      }) {}

bool ProxyControl::AddPair(const Endpoint& listen, const Endpoint& target) {
  m_pairs.push_back(std::make_unique<ProxyPair>(listen, target));
  return m_pairs.back()->Listen();
}

void ProxyControl::HandleRequest(ConnectionId connection, const HttpRequest& request) {
  const std::string_view path = PathOf(request.target);
  const QueryOptions options = QueryOptions::FromTarget(request.target);
  bool is_known = path == "/control/statistics" || path == "/control/group";
  if (path == "/control/set") is_known = SetFaults(options);
  if (path == "/control/group") SetGroup(options);
  m_server.SendResponse(connection, is_known ? 200 : 404, StatisticsJson(),
                        {{"Content-Type", "application/json"}});
}

bool ProxyControl::SetFaults(const QueryOptions& options) {
  const bool all_pairs = !options.Has("pair") || options.Text("pair") == "all";
  const auto requested_pair = static_cast<std::size_t>(options.Number("pair", 0.0));
  if (!all_pairs && requested_pair >= m_pairs.size()) return false;
  for (std::size_t index = 0; index < m_pairs.size(); ++index) {
    if (!all_pairs && index != requested_pair) continue;
    if (options.Has("group")) {
      Group& group = m_groups[static_cast<int>(options.Number("group", 0.0))];
      const bool flip = options.IsOn("flip");
      m_pairs[index]->SetLinks(flip ? &group.down : &group.up, flip ? &group.up : &group.down);
    }
    m_pairs[index]->ApplyOptions(options);
  }
  return true;
}

void ProxyControl::SetGroup(const QueryOptions& options) {
  Group& group = m_groups[static_cast<int>(options.Number("group", 0.0))];
  const double bytes_per_second = options.Number("bits_per_second", 0.0) / kBitsPerByte;
  group.up.bytes_per_second = bytes_per_second;
  group.down.bytes_per_second = bytes_per_second;
}

std::string ProxyControl::StatisticsJson() const {
  QJsonArray json;
  for (const std::unique_ptr<ProxyPair>& pair : m_pairs) json.append(pair->Statistics());
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace damaskhollow::test
