#include "fleet/fleetview.h"

#include <algorithm>
#include <array>
#include <utility>

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kGoneAfter{10};
constexpr std::chrono::seconds kSuspectTime{30};
constexpr std::size_t kSuspectReads = 3;
// Request ids are retained for 10 minutes; the rest covers clock differences and the delay of
// lists.
constexpr std::chrono::minutes kRemovedRetention{15};

// Whether `statement` is later than `known`. A restarted node starts a new sequence.
bool IsLater(const PeerStatement& statement, const PeerStatement& known) {
  if (statement.incarnation == known.incarnation) return statement.sequence > known.sequence;
  return statement.started_ms > known.started_ms;
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  static constexpr std::array<std::string_view, 5> kNames{"live", "draining", "leaving", "gone",
                                                          "unreachable"};
  return kNames[static_cast<std::size_t>(state)];
}

std::string_view MemberStateReason(MemberState state) {
  static constexpr std::array<std::string_view, 5> kReasons{
      "Nothing speaks against it.", "Its owner states that it takes no new work.",
      "The VM list says that it leaves, or it has left the list while its link lives.",
      "It has been absent from the VM list for 10 s and has no live link, or is not declared.",
      "The link to its node is down."};
  return kReasons[static_cast<std::size_t>(state)];
}

bool AcceptsNewWork(MemberState state) {
  return state == MemberState::kLive || state == MemberState::kUnreachable;
}

FleetView::Member* FleetView::FindMember(const BackendServerId& server) {
  const auto found = m_members.find(server);
  return found == m_members.end() ? nullptr : &found->second;
}

const FleetView::Member* FleetView::FindMember(const BackendServerId& server) const {
  const auto found = m_members.find(server);
  return found == m_members.end() ? nullptr : &found->second;
}

void FleetView::SetInventory(std::span<const FleetNode> nodes, TimePoint now, WallTime wall) {
  m_inventory.assign(nodes.begin(), nodes.end());
  for (auto& [id, member] : m_members) {
    if (!member.removed) member.removed = now;
  }
  for (const FleetNode& node : m_inventory) {
    const auto [entry, is_new] = m_members.try_emplace(node.id);
    entry->second.removed.reset();
    if (is_new && m_has_list) UpdateListed(node.id, entry->second, now, wall);
  }
  std::erase_if(m_members, [&](const auto& entry) {
    return entry.second.removed && now - *entry.second.removed > kRemovedRetention;
  });
}

FleetView::ListResult FleetView::OfferList(std::vector<VmEntry> entries, TimePoint now,
                                           WallTime wall) {
  std::map<BackendServerId, bool> listed;
  for (VmEntry& entry : entries) listed[std::move(entry.server)] = entry.leaving;
  if (IsSuspect(listed)) {
    if (!m_suspect) m_suspect = SuspectList{now, 0};
    ++m_suspect->reads;
    if (!IsConfirmed(listed, now)) return ListResult::kSuspect;
  }
  m_suspect.reset();
  AcceptList(listed, now, wall);
  return ListResult::kAccepted;
}

bool FleetView::IsSuspect(const std::map<BackendServerId, bool>& listed) const {
  if (m_list_trusted) return false;
  return listed.empty() || listed.size() * 2 < m_listed.size();
}

bool FleetView::IsConfirmed(const std::map<BackendServerId, bool>& listed, TimePoint now) const {
  if (m_suspect->reads < kSuspectReads || now - m_suspect->since < kSuspectTime) return false;
  return std::none_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
    return entry.second.link == Link::kUp && !listed.contains(entry.first);
  });
}

void FleetView::AcceptList(const std::map<BackendServerId, bool>& listed, TimePoint now,
                           WallTime wall) {
  m_listed = listed;
  m_has_list = true;
  for (auto& [id, member] : m_members) UpdateListed(id, member, now, wall);
}

void FleetView::UpdateListed(const BackendServerId& server, Member& member, TimePoint now,
                             WallTime wall) const {
  const auto found = m_listed.find(server);
  if (found != m_listed.end()) {
    member.leaving = found->second;
    member.absent_since.reset();
    member.absent_since_wall.reset();
    return;
  }
  member.leaving = false;
  if (!member.absent_since) member.absent_since = now;
  if (!member.absent_since_wall) member.absent_since_wall = wall;
}

bool FleetView::RecordStatement(const PeerStatement& statement) {
  Member* member = FindMember(statement.server);
  if (member == nullptr) return false;
  if (member->statement && !IsLater(statement, *member->statement)) return false;
  const bool is_same_process =
      member->statement && member->statement->incarnation == statement.incarnation;
  const std::optional<bool> known =
      is_same_process ? member->statement->store_unreachable : std::nullopt;
  member->statement = statement;
  if (!statement.store_unreachable) member->statement->store_unreachable = known;
  return true;
}

void FleetView::OnLinkUp(const BackendServerId& server) {
  if (Member* member = FindMember(server); member != nullptr) member->link = Link::kUp;
}

void FleetView::OnLinkDown(const BackendServerId& server) {
  if (Member* member = FindMember(server); member != nullptr) member->link = Link::kDown;
}

void FleetView::OnLinkClosed(const BackendServerId& server) {
  if (Member* member = FindMember(server); member != nullptr) member->link = Link::kUnknown;
}

MemberState FleetView::StateOf(const BackendServerId& server, TimePoint now) const {
  const Member* member = FindMember(server);
  if (member == nullptr || member->removed) return MemberState::kGone;
  if (member->statement && member->statement->draining) return MemberState::kDraining;
  if (member->leaving) return MemberState::kLeaving;
  const bool is_linked = member->link == Link::kUp;
  if (member->absent_since && is_linked) return MemberState::kLeaving;
  if (member->absent_since && now - *member->absent_since >= kGoneAfter) return MemberState::kGone;
  return member->link == Link::kDown ? MemberState::kUnreachable : MemberState::kLive;
}

bool FleetView::IsListedAsLeaving(const BackendServerId& server) const {
  const Member* member = FindMember(server);
  return member != nullptr && member->leaving;
}

std::optional<WallTime> FleetView::AbsentSince(const BackendServerId& server) const {
  const Member* member = FindMember(server);
  return member == nullptr ? std::nullopt : member->absent_since_wall;
}

const PeerStatement* FleetView::StatementOf(const BackendServerId& server) const {
  const Member* member = FindMember(server);
  return member == nullptr || !member->statement ? nullptr : &*member->statement;
}

bool FleetView::HasLiveLink(const BackendServerId& server) const {
  const Member* member = FindMember(server);
  return member != nullptr && member->link == Link::kUp;
}

std::vector<FleetNode> FleetView::LiveNodes(TimePoint now) const {
  std::vector<FleetNode> live;
  for (const FleetNode& node : m_inventory) {
    if (StateOf(node.id, now) == MemberState::kLive) live.push_back(node);
  }
  return live;
}

}  // namespace damaskhollow
