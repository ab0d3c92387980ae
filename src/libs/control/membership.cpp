#include "control/membership.h"

#include <QJsonObject>
#include <algorithm>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

void Membership::SetInventory(std::span<const FleetNode> nodes) {
  const std::lock_guard lock(m_lock);
  m_view.SetInventory(nodes, MonotonicNow(), WallNow());
}

void Membership::SetListTrusted(bool trusted) {
  const std::lock_guard lock(m_lock);
  m_view.SetListTrusted(trusted);
}

FleetView::ListResult Membership::NoteList(std::vector<VmEntry> entries) {
  const std::lock_guard lock(m_lock);
  return m_view.NoteList(std::move(entries), MonotonicNow(), WallNow());
}

bool Membership::NoteStatement(const PeerStatement& statement) {
  const std::lock_guard lock(m_lock);
  const PeerStatement* known = m_view.StatementOf(statement.server);
  const bool was_draining = known != nullptr && known->draining;
  return m_view.NoteStatement(statement) && statement.draining != was_draining;
}

void Membership::NoteLinkUp(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.NoteLinkUp(server);
}

void Membership::NoteLinkDown(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.NoteLinkDown(server);
}

void Membership::NoteLinkClosed(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.NoteLinkClosed(server);
}

bool Membership::Refresh(TimePoint now) {
  const std::lock_guard lock(m_lock);
  std::map<BackendServerId, Standing> standings;
  bool has_changed = m_standings.size() != m_view.Inventory().size();
  for (const FleetNode& node : m_view.Inventory()) {
    const Standing standing = m_view.StandingOf(node.id, now);
    standings[node.id] = standing;
    const auto known = m_standings.find(node.id);
    if (known != m_standings.end() && known->second == standing) continue;
    has_changed = true;
    m_router.SetEligible(node.id, MayGetWork(standing));
    const bool is_quiet = known == m_standings.end() && standing == Standing::kLive;
    if (!is_quiet) {
      EventLine(LogPart::kFleet, LogLevel::kInfo, "standing")
          .With("server", node.id.Value())
          .With("state", StandingName(standing))
          .With("detail", StandingReason(standing));
    }
  }
  m_standings = std::move(standings);
  return has_changed;
}

std::vector<FleetNode> Membership::LiveNodes() const {
  const std::lock_guard lock(m_lock);
  return m_view.LiveNodes(MonotonicNow());
}

std::vector<FleetNode> Membership::PresentNodes() const {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  std::vector<FleetNode> present;
  for (const FleetNode& node : m_view.Inventory()) {
    if (m_view.StandingOf(node.id, now) != Standing::kGone) present.push_back(node);
  }
  return present;
}

std::optional<FleetNode> Membership::FindNode(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  const std::vector<FleetNode>& nodes = m_view.Inventory();
  const auto found = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const FleetNode& node) { return node.id == server; });
  if (found == nodes.end()) return std::nullopt;
  return *found;
}

std::optional<PeerStatement> Membership::StatementOf(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  const PeerStatement* statement = m_view.StatementOf(server);
  if (statement == nullptr) return std::nullopt;
  return *statement;
}

std::vector<BackendServerId> Membership::DrainingServers() const {
  const std::lock_guard lock(m_lock);
  std::vector<BackendServerId> draining;
  for (const FleetNode& node : m_view.Inventory()) {
    const PeerStatement* statement = m_view.StatementOf(node.id);
    if (statement != nullptr && statement->draining) draining.push_back(node.id);
  }
  return draining;
}

std::optional<WallTime> Membership::AbsentSince(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  return m_view.AbsentSince(server);
}

Standing Membership::StandingOf(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  return m_view.StandingOf(server, MonotonicNow());
}

bool Membership::IsListDoubted() const {
  const std::lock_guard lock(m_lock);
  return m_view.IsListDoubted();
}

QJsonArray Membership::Status() const {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  QJsonArray peers;
  for (const FleetNode& node : m_view.Inventory()) {
    const Standing standing = m_view.StandingOf(node.id, now);
    QJsonObject peer;
    peer.insert("server", ToQString(node.id.Value()));
    peer.insert("state", ToQString(StandingName(standing)));
    peer.insert("reason", ToQString(StandingReason(standing)));
    peer.insert("linked", m_view.HasLiveLink(node.id));
    if (const PeerStatement* statement = m_view.StatementOf(node.id); statement != nullptr) {
      peer.insert("configuration_version", static_cast<qint64>(statement->configuration_version));
    }
    peers.append(peer);
  }
  return peers;
}

}  // namespace damaskhollow
