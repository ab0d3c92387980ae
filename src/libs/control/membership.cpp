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

FleetView::ListResult Membership::OfferList(std::vector<VmEntry> entries) {
  const std::lock_guard lock(m_lock);
  return m_view.OfferList(std::move(entries), MonotonicNow(), WallNow());
}

bool Membership::RecordStatement(const PeerStatement& statement) {
  const std::lock_guard lock(m_lock);
  const PeerStatement* known = m_view.StatementOf(statement.server);
  const bool was_draining = known != nullptr && known->draining;
  const bool was_unreachable = known != nullptr && known->store_unreachable.value_or(false);
  if (!m_view.RecordStatement(statement)) return false;
  const PeerStatement* stored = m_view.StatementOf(statement.server);
  return stored->draining != was_draining ||
         stored->store_unreachable.value_or(false) != was_unreachable;
}

bool Membership::IsStoreUnreachableFrom(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  const PeerStatement* statement = m_view.StatementOf(server);
  return statement != nullptr && statement->store_unreachable.value_or(false);
}

void Membership::OnLinkUp(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.OnLinkUp(server);
}

void Membership::OnLinkDown(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.OnLinkDown(server);
}

void Membership::OnLinkClosed(const BackendServerId& server) {
  const std::lock_guard lock(m_lock);
  m_view.OnLinkClosed(server);
}

bool Membership::Refresh(TimePoint now) {
  const std::lock_guard lock(m_lock);
  std::map<BackendServerId, MemberState> states;
  bool has_changed = m_states.size() != m_view.Inventory().size();
  for (const FleetNode& node : m_view.Inventory()) {
    const MemberState state = m_view.StateOf(node.id, now);
    states[node.id] = state;
    const auto known = m_states.find(node.id);
    if (known != m_states.end() && known->second == state) continue;
    has_changed = true;
    m_router.SetEligible(node.id, AcceptsNewWork(state));
    const bool is_initially_live = known == m_states.end() && state == MemberState::kLive;
    if (!is_initially_live) {
      EventLine(LogPart::kFleet, LogLevel::kInfo, "standing")
          .With("server", node.id.Value())
          .With("state", MemberStateName(state))
          .With("detail", MemberStateReason(state));
    }
  }
  m_states = std::move(states);
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
    if (m_view.StateOf(node.id, now) != MemberState::kGone) present.push_back(node);
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

MemberState Membership::StateOf(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  return m_view.StateOf(server, MonotonicNow());
}

bool Membership::IsListedAsLeaving(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  return m_view.IsListedAsLeaving(server);
}

bool Membership::IsListSuspect() const {
  const std::lock_guard lock(m_lock);
  return m_view.IsListSuspect();
}

QJsonArray Membership::Status() const {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  QJsonArray peers;
  for (const FleetNode& node : m_view.Inventory()) {
    const MemberState state = m_view.StateOf(node.id, now);
    QJsonObject peer;
    peer.insert("server", ToQString(node.id.Value()));
    peer.insert("state", ToQString(MemberStateName(state)));
    peer.insert("reason", ToQString(MemberStateReason(state)));
    peer.insert("linked", m_view.HasLiveLink(node.id));
    if (const PeerStatement* statement = m_view.StatementOf(node.id); statement != nullptr) {
      peer.insert("configuration_version", static_cast<qint64>(statement->configuration_version));
    }
    peers.append(peer);
  }
  return peers;
}

}  // namespace damaskhollow
