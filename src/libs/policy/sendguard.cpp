#include "policy/sendguard.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxRefused = 16384;
// Longest deadline that classification accepts. It bounds how long a peer with a faulty clock can
// make an owner keep tombstones.
constexpr std::uint64_t kMaxTombstoneExpiryUs = 86400000000ULL;

}  // namespace

SendDecision SendGuard::CheckArrival(const CallKey& key, Incarnation owner,
                                     std::uint64_t expires_at_us, std::uint64_t now_us) const {
  if (owner != m_self) return {Reason::kWrongIncarnation, false};
  const auto ended = m_ended.find(key);
  // The response to a second delivery could overtake and contradict the first one's.
  if (ended != m_ended.end() && ended->second.state == InactiveCallState::kMayHaveRun) {
    return {Reason::kNone, true};
  }
  if (ended != m_ended.end() || m_refused.contains(key)) return {Reason::kCancelled, false};
  if (expires_at_us <= now_us) return {Reason::kExpired, false};
  if (expires_at_us > now_us + kMaxTombstoneExpiryUs) return {Reason::kDeadlineInvalid, false};
  return {};
}

void SendGuard::RecordRefused(const CallKey& key, std::uint64_t expires_at_us,
                              std::uint64_t now_us) {
  if (expires_at_us <= now_us || !m_refused.emplace(key, expires_at_us).second) return;
  m_refused_order.push_back(key);
  if (m_refused_order.size() <= kMaxRefused) return;
  m_refused.erase(m_refused_order.front());
  m_refused_order.pop_front();
}

void SendGuard::RecordCancelled(const CallKey& key, std::uint64_t expires_at_us,
                                std::uint64_t now_us) {
  AddTombstone(key, expires_at_us, now_us, InactiveCallState::kNotRun);
}

void SendGuard::RecordEnded(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us) {
  AddTombstone(key, expires_at_us, now_us, InactiveCallState::kMayHaveRun);
}

void SendGuard::AddTombstone(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us,
                             InactiveCallState state) {
  m_ended.emplace(key, Tombstone{std::min(expires_at_us, now_us + kMaxTombstoneExpiryUs), state});
}

InactiveCallState SendGuard::ResolveState(const CallKey& key, std::uint64_t expires_at_us,
                                          std::uint64_t now_us) {
  const auto ended = m_ended.find(key);
  if (ended != m_ended.end()) return ended->second.state;
  if (m_refused.contains(key)) return InactiveCallState::kNotRun;
  // After this time the tombstone of the call may have been removed, so its absence does not prove
  // that the call did not run.
  if (expires_at_us + kTombstoneRetentionUs <= now_us) return InactiveCallState::kMayHaveRun;
  AddTombstone(key, expires_at_us, now_us, InactiveCallState::kNotRun);
  return InactiveCallState::kNeverSeen;
}

void SendGuard::Sweep(std::uint64_t now_us) {
  std::erase_if(m_ended, [&](const auto& entry) {
    return entry.second.expires_at_us + kTombstoneRetentionUs < now_us;
  });
  while (!m_refused_order.empty()) {
    const auto oldest = m_refused.find(m_refused_order.front());
    if (oldest->second + kTombstoneRetentionUs >= now_us) break;
    m_refused.erase(oldest);
    m_refused_order.pop_front();
  }
}

}  // namespace damaskhollow
