#include "configuration/readerelection.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

std::vector<BackendServerId> ByRendezvous(const std::string& key,
                                          std::vector<BackendServerId> members) {
  std::vector<std::pair<std::uint64_t, BackendServerId>> ranked;
  ranked.reserve(members.size());
  for (BackendServerId& member : members) {
    const std::uint64_t rank = StableHash(key, member.Value());
    ranked.emplace_back(rank, std::move(member));
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<BackendServerId> order;
  order.reserve(ranked.size());
  for (auto& [rank, member] : ranked) order.push_back(std::move(member));
  return order;
}

}  // namespace

std::string_view ReaderRoleName(ReaderRole role) {
  static constexpr std::array<std::string_view, 3> kNames{"follower", "standby", "watcher"};
  return kNames[static_cast<std::size_t>(role)];
}

std::vector<BackendServerId> ReaderOrder(std::span<const FleetNode> live, const RegionId& region) {
  std::map<DataCentreId, std::vector<BackendServerId>> members;
  for (const FleetNode& node : live) {
    if (node.region == region) members[node.data_centre].push_back(node.id);
  }
  // Position within the data centre first, then the rank within the region.
  std::vector<std::tuple<std::size_t, std::uint64_t, BackendServerId>> ranked;
  for (auto& [data_centre, nodes] : members) {
    std::size_t position = 0;
    for (BackendServerId& node : ByRendezvous("reader/" + data_centre.Value(), std::move(nodes))) {
      const std::uint64_t rank = StableHash("region-reader/" + region.Value(), node.Value());
      ranked.emplace_back(position++, rank, std::move(node));
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<BackendServerId> order;
  order.reserve(ranked.size());
  for (auto& entry : ranked) order.push_back(std::move(std::get<BackendServerId>(entry)));
  return order;
}

std::size_t ReaderCount(const RegionId& region, const RegionId& store_region) {
  const bool is_near = store_region.IsEmpty() || store_region == region;
  return is_near ? kReadersNearStore : kReadersFarFromStore;
}

std::vector<BackendServerId> RegionReaders(std::span<const FleetNode> live, const RegionId& region,
                                           const RegionId& store_region,
                                           const IsUnableFunction& is_unable) {
  const std::size_t count = ReaderCount(region, store_region);
  std::vector<BackendServerId> readers = ReaderOrder(live, region);
  readers.resize(std::min(readers.size(), count * kReaderCandidateFactor));
  if (is_unable) {
    std::stable_partition(readers.begin(), readers.end(),
                          [&](const BackendServerId& node) { return !is_unable(node); });
  }
  readers.resize(std::min(readers.size(), count));
  return readers;
}

ReaderAssignment ReaderAssignmentOf(std::span<const FleetNode> live, const FleetNode& self,
                                    const RegionId& store_region,
                                    const IsUnableFunction& is_unable) {
  ReaderAssignment assignment;
  assignment.region_readers = RegionReaders(live, self.region, store_region, is_unable);
  const auto found =
      std::find(assignment.region_readers.begin(), assignment.region_readers.end(), self.id);
  if (found == assignment.region_readers.end()) return assignment;
  const bool is_near = store_region.IsEmpty() || store_region == self.region;
  const bool is_first = found == assignment.region_readers.begin();
  assignment.role = is_near || is_first ? ReaderRole::kWatcher : ReaderRole::kStandby;
  if (!is_first) assignment.pause = kSuccessorPause;
  const std::ptrdiff_t position = found - assignment.region_readers.begin();
  const auto readers = static_cast<std::ptrdiff_t>(assignment.region_readers.size());
  assignment.turn = kSuccessorPause + kMaxWatchDuration * (position + 1) / readers;
  return assignment;
}

}  // namespace damaskhollow
