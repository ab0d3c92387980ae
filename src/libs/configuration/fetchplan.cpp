#include "configuration/fetchplan.h"

#include <algorithm>
#include <utility>

namespace damaskhollow {

namespace {

// How long after one reader's turn begins the next reader's turn begins. From its turn on, a reader
// may fetch over the paid link. Covers the transfer of one 64 KB part over the link with a
// round-trip time of 60 ms.
constexpr std::chrono::milliseconds kTurnDuration{300};
constexpr std::chrono::milliseconds kPeerRetryDelay{1000};
// Longest first and later delay between the start of a failed read and the retry. With jitter, the
// first retry follows after 0.25 to 0.5 s, and later ones back off to 1.25 to 2.5 s, because all
// nodes must be current 4 s after the return of the service.
constexpr std::chrono::milliseconds kInitialRetryDelay{500};
constexpr std::chrono::milliseconds kMaxRetryDelay{2500};
constexpr unsigned kMaxDoublings = 4;

}  // namespace

FetchPlan::FetchPlan(FleetNode self) : m_self(std::move(self)) {}

void FetchPlan::SetAssignment(ReaderAssignment assignment, TimePoint now) {
  const bool was_follower = m_assignment.role == ReaderRole::kFollower;
  m_assignment = std::move(assignment);
  const bool becomes_reader = was_follower && m_assignment.role != ReaderRole::kFollower;
  if (becomes_reader) m_next_read = std::max(m_next_read, now);
  if (m_assignment.role == ReaderRole::kFollower) m_failures = 0;
}

void FetchPlan::RecordPeerVersion(const FleetNode& peer, std::uint64_t version, TimePoint now) {
  Peer& entry = m_peers[peer.id];
  entry.node = peer;
  if (version > entry.version) entry.not_before.reset();
  entry.version = version;
  RecordReportedVersion(version, now);
}

void FetchPlan::RecordReportedVersion(std::uint64_t version, TimePoint now) {
  if (version <= HighestKnown()) return;
  m_highest_known = version;
  m_highest_known_since = now;
}

void FetchPlan::RemovePeer(const BackendServerId& peer) { m_peers.erase(peer); }

void FetchPlan::OnPeerFailed(const BackendServerId& peer, TimePoint now) {
  const auto found = m_peers.find(peer);
  if (found != m_peers.end()) found->second.not_before = now + kPeerRetryDelay;
}

void FetchPlan::RecordHeld(std::uint64_t version) {
  m_held = std::max(m_held, version);
  RecordStoreVersion(version);
}

void FetchPlan::RecordStoreVersion(std::uint64_t version) {
  m_store_version = std::max(m_store_version, version);
}

int FetchPlan::DistanceOf(const Peer& peer) const {
  if (peer.node.data_centre == m_self.data_centre) return 0;
  return peer.node.region == m_self.region ? 1 : 2;
}

// Returns when this node may fetch the highest known version over the paid link, or nullopt if it
// is not a reader. The region's readers take turns. Even the first one waits for one turn, in which
// its long poll of the service may return the version.
std::optional<TimePoint> FetchPlan::PaidLinkTurn() const {
  const auto& readers = m_assignment.region_readers;
  const auto found = std::find(readers.begin(), readers.end(), m_self.id);
  if (found == readers.end()) return std::nullopt;
  return m_highest_known_since + kTurnDuration * (std::distance(readers.begin(), found) + 1);
}

bool FetchPlan::MayQuery(const Peer& peer, TimePoint now) const {
  if (peer.version <= m_held) return false;
  if (peer.not_before && now < *peer.not_before) return false;
  if (DistanceOf(peer) < 2 || m_assignment.region_readers.empty()) return true;
  // If the region has no readers, no other node of the region could fetch the peer's version.
  if (m_assignment.region_readers.empty()) return true;
  const std::optional<TimePoint> turn = PaidLinkTurn();
  return turn && now >= *turn;
}

std::optional<BackendServerId> FetchPlan::PeerToQuery(RandomSource& random, TimePoint now) const {
  std::vector<const Peer*> best;
  for (const auto& [id, peer] : m_peers) {
    if (!MayQuery(peer, now)) continue;
    if (!best.empty()) {
      const Peer& other = *best.front();
      const bool is_better = peer.version != other.version ? peer.version > other.version
                                                           : DistanceOf(peer) < DistanceOf(other);
      const bool is_equal = peer.version == other.version && DistanceOf(peer) == DistanceOf(other);
      if (is_better) best.clear();
      if (!is_better && !is_equal) continue;
    }
    best.push_back(&peer);
  }
  if (best.empty()) return std::nullopt;
  return best[random.Below(best.size())]->node.id;
}

std::optional<StoreRead> FetchPlan::StoreReadDue(TimePoint now) const {
  const std::optional<TimePoint> turn = PaidLinkTurn();
  const bool is_overdue = m_highest_known > m_store_version && turn && now >= *turn;
  // One extra read per reported version is allowed even while a read runs, because the connection
  // of the running read may no longer transfer data.
  if (is_overdue && m_read_started < m_highest_known_since && now >= m_retry_not_before) {
    return StoreRead{m_store_version, {}};
  }
  if (m_reading) return std::nullopt;
  if (m_requested_read && now >= std::max(*m_requested_read, m_retry_not_before)) {
    return StoreRead{m_store_version, {}};
  }
  if (m_assignment.role == ReaderRole::kFollower || now < m_next_read) return std::nullopt;
  const bool is_watcher = m_assignment.role == ReaderRole::kWatcher;
  return StoreRead{m_store_version, is_watcher ? kStoreReadInterval : std::chrono::milliseconds(0),
                   m_assignment.pause, m_assignment.turn};
}

void FetchPlan::OnStoreReadStarted(TimePoint now, std::chrono::milliseconds wait) {
  m_reading = true;
  m_read_waits = wait.count() > 0;
  m_read_started = now;
  m_requested_read.reset();
}

void FetchPlan::OnStoreReadChanged(TimePoint now) {
  m_reading = false;
  m_failures = 0;
  m_next_read =
      m_assignment.role == ReaderRole::kStandby ? m_read_started + kStoreReadInterval : now;
}

void FetchPlan::OnStoreReadUnchanged(TimePoint now) {
  m_reading = false;
  m_failures = 0;
  // A watcher's read without a wait returns immediately and is not a long poll, so the long poll
  // starts right after it.
  const bool goes_on = m_assignment.role == ReaderRole::kWatcher && !m_read_waits;
  m_next_read = goes_on ? now : m_read_started + kStoreReadInterval;
}

void FetchPlan::OnStoreReadFailed(RandomSource& random, TimePoint now) {
  m_reading = false;
  const Duration longest = std::min<Duration>(
      kInitialRetryDelay * (1U << std::min(m_failures, kMaxDoublings)), kMaxRetryDelay);
  ++m_failures;
  const auto jitter =
      static_cast<Duration::rep>(static_cast<double>(longest.count()) / 2.0 * random.Unit());
  // A read that was not answered has taken its time already.
  m_next_read = std::max(now, m_read_started + longest / 2 + Duration(jitter));
  m_retry_not_before = m_next_read;
}

bool FetchPlan::IsReadObsolete() const {
  return m_reading && m_read_waits && m_assignment.role != ReaderRole::kWatcher;
}

void FetchPlan::RequestStoreRead(TimePoint at) {
  if (!m_requested_read || at < *m_requested_read) m_requested_read = at;
}

}  // namespace damaskhollow
