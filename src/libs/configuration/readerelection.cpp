#include "configuration/readerelection.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <string>
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

std::vector<BackendServerId> ReaderOrder(std::span<const FleetNode> live,
                                         const DataCentreId& data_centre) {
  std::vector<BackendServerId> members;
  for (const FleetNode& node : live) {
    if (node.data_centre == data_centre) members.push_back(node.id);
  }
  return ByRendezvous("reader/" + data_centre.Value(), std::move(members));
}

std::vector<BackendServerId> RegionReaders(std::span<const FleetNode> live,
                                           const RegionId& region) {
  std::set<DataCentreId> data_centres;
  for (const FleetNode& node : live) {
    if (node.region == region) data_centres.insert(node.data_centre);
  }
  std::vector<BackendServerId> readers;
  for (const DataCentreId& data_centre : data_centres) {
    std::vector<BackendServerId> order = ReaderOrder(live, data_centre);
    order.resize(std::min(order.size(), kReadersPerDataCentre));
    readers.insert(readers.end(), order.begin(), order.end());
  }
  return ByRendezvous("region-reader/" + region.Value(), std::move(readers));
}

ReaderAssignment ReaderAssignmentOf(std::span<const FleetNode> live, const FleetNode& self,
                                    const RegionId& store_region) {
  ReaderAssignment assignment;
  assignment.region_readers = RegionReaders(live, self.region);
  const auto found =
      std::find(assignment.region_readers.begin(), assignment.region_readers.end(), self.id);
  if (found == assignment.region_readers.end()) return assignment;
  const bool is_near = store_region.IsEmpty() || store_region == self.region;
  const bool is_first = found == assignment.region_readers.begin();
  assignment.role = is_near || is_first ? ReaderRole::kWatcher : ReaderRole::kStandby;
  if (!is_first) assignment.pause = kSuccessorPause;
  return assignment;
}

}  // namespace damaskhollow
