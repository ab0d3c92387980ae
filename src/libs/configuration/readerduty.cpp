#include "configuration/readerduty.h"

#include <algorithm>
#include <utility>

namespace damaskhollow {

namespace {

// A single failure may be the loss of one response.
constexpr unsigned kFailedReadsToGiveWay = 2;

}  // namespace

ReaderDuty::ReaderDuty(FleetNode self, RegionId store_region, bool has_live_inventory)
    : m_self(std::move(self)),
      m_store_region(std::move(store_region)),
      m_has_live_inventory(has_live_inventory) {}

ReaderAssignment ReaderDuty::Assign(const ReaderSurroundings& surroundings, TimePoint now) {
  m_is_listed = std::any_of(surroundings.live.begin(), surroundings.live.end(),
                            [this](const FleetNode& node) { return node.id == m_self.id; });
  ReaderAssignment assignment =
      ReaderAssignmentOf(surroundings.live, m_self, m_store_region, surroundings.is_unable);
  if (!HasToAskPeers()) return assignment;
  const bool watches = now - m_started > kUnlistedPause && IsIsolated(surroundings);
  assignment.role = watches ? ReaderRole::kWatcher : ReaderRole::kFollower;
  assignment.pause = kUnlistedPause;
  assignment.region_readers.push_back(m_self.id);
  return assignment;
}

std::vector<BackendServerId> ReaderDuty::PeersToAsk(std::span<const FleetNode> connected) const {
  std::vector<BackendServerId> near;
  std::vector<BackendServerId> all;
  for (const FleetNode& node : connected) {
    if (node.id == m_self.id) continue;
    all.push_back(node.id);
    if (node.region == m_self.region) near.push_back(node.id);
  }
  return near.empty() ? all : near;
}

bool ReaderDuty::IsIsolated(const ReaderSurroundings& surroundings) const {
  const std::vector<BackendServerId> readers =
      RegionReaders(surroundings.live, m_self.region, m_store_region, surroundings.is_unable);
  return std::none_of(readers.begin(), readers.end(), surroundings.is_linked);
}

bool ReaderDuty::UpdateFailures(unsigned failed_reads, TimePoint now) {
  if (m_unable_until) {
    if (now < *m_unable_until) return false;
    m_unable_until.reset();
    m_failures_before_return = failed_reads;
    return true;
  }
  m_failures_before_return = std::min(m_failures_before_return, failed_reads);
  const unsigned new_failures = failed_reads - m_failures_before_return;
  if (!m_is_listed || new_failures < kFailedReadsToGiveWay) return false;
  m_unable_until = now + kReaderRest;
  return true;
}

}  // namespace damaskhollow
