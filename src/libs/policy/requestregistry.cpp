#include "policy/requestregistry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskhollow {

namespace {

// Ids are kept slightly longer than they are accepted.
constexpr std::chrono::milliseconds kRetentionTime = kRequestIdAge + 2 * kClockAllowance;

RequestDecision Refuse(Reason reason) {
  return RequestDecision{RequestDecision::Kind::kRefuse, reason, {}, nullptr};
}

}  // namespace

RequestRegistry::RequestRegistry(BackendServerId self, WallTime started, RegistryLimits limits)
    : m_self(std::move(self)), m_started(started), m_limits(limits) {}

void RequestRegistry::SetInventory(std::span<const BackendServerId> members, std::uint64_t version,
                                   WallTime now) {
  const std::set<BackendServerId> wanted(members.begin(), members.end());
  const bool is_member = wanted.contains(m_self);
  std::set<BackendServerId> present;
  for (const auto& [id, member] : m_members) {
    if (member.is_present) present.insert(id);
  }
  std::set<BackendServerId> others = wanted;
  others.erase(m_self);
  m_version = version;
  if (m_inventory_version == 0 || is_member != m_is_member || others != present) {
    m_is_member = is_member;
    m_inventory_version = version;
    for (auto& [id, member] : m_members) member.is_present = others.contains(id);
    for (const BackendServerId& id : others) m_members[id].is_present = true;
  }
  for (auto& [id, member] : m_members) UpdateAgreement(member, now);
}

void RequestRegistry::UpdateAgreement(Member& member, WallTime now) const {
  // A server with a newer version may have an inventory that this node has not seen, and a version
  // that the server skipped may have removed this node from it.
  const bool agrees = member.version >= m_inventory_version && member.version <= m_version;
  if (!agrees) member.agrees_since.reset();
  if (agrees && !member.agrees_since) member.agrees_since = now;
}

void RequestRegistry::RecordConfigurationVersion(const BackendServerId& server,
                                                 Incarnation incarnation, std::uint64_t version,
                                                 WallTime now) {
  const auto found = m_members.find(server);
  if (found == m_members.end()) return;
  Member& member = found->second;
  if (member.incarnation != incarnation) {
    // A restarted process may have loaded an older configuration.
    member.incarnation = incarnation;
    member.version = 0;
    member.agrees_since.reset();
  }
  member.version = std::max(member.version, version);
  UpdateAgreement(member, now);
}

Reason RequestRegistry::CheckTime(WallTime created, WallTime now) const {
  if (created > now + kClockAllowance) return Reason::kRequestIdInvalid;
  if (created < m_latest - kRequestIdAge) return Reason::kRequestIdExpired;
  // Requests unknown to this process may have run in its previous incarnation.
  if (m_started >= created - kClockAllowance) return Reason::kHomeRestarted;
  return Reason::kNone;
}

RequestDecision RequestRegistry::DecideKnown(const Entry& entry, std::string_view digest) const {
  const bool is_other_request = entry.state != State::kReleased && entry.digest != digest;
  if (is_other_request) return Refuse(Reason::kRequestIdConflict);
  switch (entry.state) {
    case State::kRunning:
      return Refuse(Reason::kAlreadyRunning);
    case State::kReleased:
      return Refuse(Reason::kHomeReleased);
    case State::kDone:
      break;
  }
  if (!entry.response) return Refuse(entry.reason);
  return RequestDecision{RequestDecision::Kind::kReplay, Reason::kNone, {}, &*entry.response};
}

std::vector<BackendServerId> RequestRegistry::ServersToQuery(
    const Key& key, const AbsentSince& absent_since) const {
  const WallTime limit = key.created - kClockAllowance;
  std::vector<BackendServerId> servers;
  for (const auto& [id, member] : m_members) {
    // A server that still acts on another inventory may consider itself the home, whatever its
    // position in the current order.
    const bool agrees = member.agrees_since && *member.agrees_since < limit;
    const bool is_higher = member.is_present && IsBefore(id, m_self, key.id);
    if (agrees && !is_higher) continue;
    const std::optional<WallTime> absent = absent_since ? absent_since(id) : std::nullopt;
    if (absent && *absent < limit) continue;
    servers.push_back(id);
  }
  return servers;
}

RequestDecision RequestRegistry::RegisterArrival(std::string_view request_id,
                                                 std::string_view digest,
                                                 const AbsentSince& absent_since, WallTime now) {
  m_latest = std::max(m_latest, now);
  const std::optional<WallTime> created = CreationTime(request_id);
  if (!created) return Refuse(Reason::kRequestIdInvalid);
  Key key{*created, std::string(request_id)};
  const auto known = m_entries.find(key);
  if (known != m_entries.end()) return DecideKnown(known->second, digest);
  if (const Reason reason = CheckTime(*created, now); reason != Reason::kNone) {
    return Refuse(reason);
  }
  if (!m_is_member) return Refuse(Reason::kWrongServer);
  SweepEntries();
  if (m_entries.size() >= m_limits.entries) return Refuse(Reason::kRegistryFull);
  RequestDecision decision;
  decision.servers_to_query = ServersToQuery(key, absent_since);
  decision.kind = decision.servers_to_query.empty() ? RequestDecision::Kind::kAccept
                                                    : RequestDecision::Kind::kQueryServers;
  Entry entry;
  entry.digest = digest;
  m_entries.emplace(std::move(key), std::move(entry));
  return decision;
}

RequestRegistry::Entries::iterator RequestRegistry::Find(std::string_view request_id) {
  const std::optional<WallTime> created = CreationTime(request_id);
  if (!created) return m_entries.end();
  return m_entries.find(Key{*created, std::string(request_id)});
}

void RequestRegistry::RecordNotRun(std::string_view request_id) {
  const auto found = Find(request_id);
  if (found != m_entries.end() && found->second.state == State::kRunning) m_entries.erase(found);
}

void RequestRegistry::RecordResponse(std::string_view request_id, StoredResponse response) {
  const auto found = Find(request_id);
  if (found == m_entries.end()) return;
  found->second.state = State::kDone;
  found->second.reason = Reason::kAlreadyRan;
  StoreResponse(found, std::move(response));
}

void RequestRegistry::RecordUnknownOutcome(std::string_view request_id, Reason reason) {
  const auto found = Find(request_id);
  if (found == m_entries.end()) return;
  found->second.state = State::kDone;
  found->second.reason = reason;
}

void RequestRegistry::StoreResponse(Entries::iterator entry, StoredResponse response) {
  const std::size_t bytes = response.Bytes();
  if (bytes > m_limits.response_bytes) return;
  EvictResponsesAbove(m_limits.total_response_bytes - bytes);
  m_response_bytes += bytes;
  entry->second.response = std::move(response);
  m_response_order.push_back(entry->first);
}

void RequestRegistry::EvictResponsesAbove(std::size_t bytes) {
  while (m_response_bytes > bytes) {
    const auto oldest = m_entries.find(m_response_order.front());
    m_response_order.pop_front();
    if (oldest == m_entries.end()) continue;
    m_response_bytes -= oldest->second.response->Bytes();
    oldest->second.response.reset();
  }
}

ReleaseReply RequestRegistry::Release(std::string_view request_id, WallTime now) {
  m_latest = std::max(m_latest, now);
  const std::optional<WallTime> created = CreationTime(request_id);
  if (!created) return {false, Reason::kRequestIdInvalid};
  Key key{*created, std::string(request_id)};
  const auto known = m_entries.find(key);
  if (known != m_entries.end()) {
    const Entry& entry = known->second;
    if (entry.state == State::kReleased) return {true, Reason::kNone};
    return {false, entry.state == State::kRunning ? Reason::kAlreadyRunning : entry.reason};
  }
  if (const Reason reason = CheckTime(*created, now); reason != Reason::kNone) {
    return {false, reason};
  }
  SweepEntries();
  if (m_entries.size() >= m_limits.entries) return {false, Reason::kRegistryFull};
  m_entries.emplace(std::move(key), Entry{{}, State::kReleased, Reason::kNone, std::nullopt});
  return {true, Reason::kNone};
}

void RequestRegistry::SweepEntries() {
  while (!m_entries.empty() && m_entries.begin()->first.created < m_latest - kRetentionTime) {
    const auto oldest = m_entries.begin();
    if (oldest->second.response) {
      m_response_bytes -= oldest->second.response->Bytes();
      std::erase(m_response_order, oldest->first);
    }
    m_entries.erase(oldest);
  }
}

void RequestRegistry::Sweep(const AbsentSince& absent_since, WallTime now) {
  m_latest = std::max(m_latest, now);
  SweepEntries();
  const WallTime horizon = m_latest - kRetentionTime;
  std::erase_if(m_members, [&](const auto& entry) {
    const auto& [id, member] = entry;
    if (member.is_present) return false;
    const std::optional<WallTime> absent = absent_since ? absent_since(id) : std::nullopt;
    return (member.agrees_since && *member.agrees_since < horizon) || (absent && *absent < horizon);
  });
}

}  // namespace damaskhollow
