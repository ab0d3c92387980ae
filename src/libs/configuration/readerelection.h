#ifndef DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_
#define DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_

#include <chrono>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "fleet/fleetnode.h"

namespace damaskhollow {

// Readers of the configuration service in each data centre. Two, so that the loss of one or a
// silent connection delays no change.
inline constexpr std::size_t kReadersPerDataCentre = 2;

// How long the watchers behind a region's first one rest after a change, so that a series of
// changes is read once in each region and not by all of them. Within it a change still reaches
// everyone in time if the first watcher is lost (bounds of the platform: 2.5 s).
inline constexpr std::chrono::milliseconds kSuccessorPause{750};

// The same for a node that the inventory does not list: all nodes of a fleet that starts are
// unlisted for some seconds, in which all entries come. After an outage of the store in which all
// entries lapsed no peer may be listed either, so it must not rest for longer than a change may
// take.
inline constexpr std::chrono::milliseconds kUnlistedPause{1000};

// What a node does towards the configuration service.
enum class ReaderRole {
  kFollower,  // Reads from peers only.
  kStandby,   // Looks once in 30 s; otherwise waits for the region's first reader.
  kWatcher,   // Watches the service.
};

// The name shown in the status: follower, standby or watcher.
std::string_view ReaderRoleName(ReaderRole role);

// The place of one node in the reading order.
struct ReaderAssignment {
  ReaderRole role = ReaderRole::kFollower;
  std::vector<BackendServerId> region_readers;  // Of the node's region, first fetcher first.
  std::chrono::milliseconds pause{};            // Between a change and the next watch, at least.
};

// The live nodes of a data centre in the order in which they become readers. Each node comes to the
// same order from the same live nodes, and the loss of one moves only its successors.
std::vector<BackendServerId> ReaderOrder(std::span<const FleetNode> live,
                                         const DataCentreId& data_centre);

// The readers of a region, in the order in which they fetch over the paid link.
std::vector<BackendServerId> RegionReaders(std::span<const FleetNode> live, const RegionId& region);

// The place of `self`. `store_region` is the region of the configuration service; if it is empty,
// each reader watches. In a region far from it only the first reader watches, so that a change
// crosses the paid link once.
ReaderAssignment ReaderAssignmentOf(std::span<const FleetNode> live, const FleetNode& self,
                                    const RegionId& store_region);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_
