#ifndef DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_
#define DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "fleet/fleetnode.h"

namespace damaskhollow {

// Number of nodes that read the configuration service in its own region and in each other one. It
// depends on neither the number of nodes nor that of data centres, because each read is paid for.
// The loss of two readers, or silent connections of two, delays no change in the service's region.
inline constexpr std::size_t kReadersNearStore = 3;
inline constexpr std::size_t kReadersFarFromStore = 2;

// How many times as many nodes as readers are considered if some are unable to read.
inline constexpr std::size_t kReaderCandidateFactor = 3;

// Number of nodes after the readers that keep links to them and replace them.
inline constexpr std::size_t kReaderSuccessors = 2;

// How long a reader that is not the first of its own region pauses after a change, so that a series
// of changes is read once per region instead of once by each watcher of the region. The pause is
// short enough that a change reaches all nodes within 2.5 s, the platform's bound, even if the
// first watcher of the region is lost.
inline constexpr std::chrono::milliseconds kSuccessorPause{750};

// How long a node that the inventory does not list pauses after a change. While a fleet starts, all
// nodes are unlisted for some seconds, in which the entries of all nodes arrive. After an outage of
// the store in which all entries expired, the peers of the node may be unlisted too, so the pause
// must not exceed the time within which a change must be active.
inline constexpr std::chrono::milliseconds kUnlistedPause{1000};

// The longest time that the service may hold one watch. A watch on a service that has stopped
// responding is noticed only when it is overdue, and the nodes must be current 4 s after the
// service's return.
inline constexpr std::chrono::milliseconds kMaxWatchDuration{2000};

// Determines how a node obtains the documents of the platform's services.
enum class ReaderRole {
  kFollower,  // Fetches the documents from peers only.
  kStandby,   // Reads the service every 30 s; otherwise relies on its own region's first reader.
  kWatcher,   // Watches the service by long polling.
};

// Returns the name shown in /status: follower, standby or watcher.
std::string_view ReaderRoleName(ReaderRole role);

// The role of one node and the readers of that node's region.
struct ReaderAssignment {
  ReaderRole role = ReaderRole::kFollower;
  std::vector<BackendServerId> region_readers;  // In the order in which they use the paid link.
  std::chrono::milliseconds pause{};            // Minimum delay between a change and the next read.
  // How long after a change the first watch ends. It differs between the readers of a region, whose
  // watches would otherwise all begin and end at the same time.
  std::chrono::milliseconds turn = kSuccessorPause + kMaxWatchDuration;
};

// Returns the live nodes of a region in the order in which they become readers. The data centres
// take turns, so that the loss of one leaves readers in the others. Every node computes the same
// order from the same live nodes.
std::vector<BackendServerId> ReaderOrder(std::span<const FleetNode> live, const RegionId& region);

// Returns the number of readers of a region. `store_region` is the region of the configuration
// service; if it is empty, every region counts as its own.
std::size_t ReaderCount(const RegionId& region, const RegionId& store_region);

// Whether the reads of a node fail, as far as this node knows.
using IsUnableFunction = std::function<bool(const BackendServerId& node)>;

// Returns the readers of a region in the order in which they fetch over the paid link. Nodes that
// are unable to read give way to the next ones in order, as far as there are able ones among the
// first few; otherwise the service itself is likely to be down.
std::vector<BackendServerId> RegionReaders(std::span<const FleetNode> live, const RegionId& region,
                                           const RegionId& store_region,
                                           const IsUnableFunction& is_unable = nullptr);

// Returns the role of `self`. `store_region` is the region of the configuration service; if it is
// empty, all readers are watchers. In other regions than this one only the first reader is a
// watcher, so that a change crosses the paid link once.
ReaderAssignment ReaderAssignmentOf(std::span<const FleetNode> live, const FleetNode& self,
                                    const RegionId& store_region,
                                    const IsUnableFunction& is_unable = nullptr);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_
