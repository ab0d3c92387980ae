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

// Number of nodes per data centre that read the configuration service. With two, the loss of one or
// a silent connection delays no change.
inline constexpr std::size_t kReadersPerDataCentre = 2;

// How long the watchers of a region other than the first pause after a change, so that a series of
// changes is read once per region instead of by each of them. Short enough that a change reaches
// all nodes within the platform's bound of 2.5 s even if the first watcher is lost.
inline constexpr std::chrono::milliseconds kSuccessorPause{750};

// The same for a node that the inventory does not list. While a fleet starts, all nodes are
// unlisted for some seconds, in which the entries of all arrive. After an outage of the store in
// which all entries expired, peers may be unlisted too, so the pause must not exceed the time
// within which a change must be active.
inline constexpr std::chrono::milliseconds kUnlistedPause{1000};

// How a node obtains the documents of the platform's services.
enum class ReaderRole {
  kFollower,  // Fetches from peers only.
  kStandby,   // Reads the service every 30 s; otherwise relies on the region's first reader.
  kWatcher,   // Watches the service by long polling.
};

// Returns the name shown in /status: follower, standby or watcher.
std::string_view ReaderRoleName(ReaderRole role);

// The role of one node and the readers of its region.
struct ReaderAssignment {
  ReaderRole role = ReaderRole::kFollower;
  std::vector<BackendServerId> region_readers;  // In the order in which they use the paid link.
  std::chrono::milliseconds pause{};            // Minimum delay between a change and the next read.
};

// Returns the live nodes of a data centre in the order in which they become readers. Every node
// computes the same order from the same live nodes, and the loss of a node moves only its
// successors.
std::vector<BackendServerId> ReaderOrder(std::span<const FleetNode> live,
                                         const DataCentreId& data_centre);

// Returns the readers of a region in the order in which they fetch over the paid link.
std::vector<BackendServerId> RegionReaders(std::span<const FleetNode> live, const RegionId& region);

// Returns the role of `self`. `store_region` is the region of the configuration service; if it is
// empty, all readers are watchers. In other regions than this one only the first reader is a
// watcher, so that a change crosses the paid link once.
ReaderAssignment ReaderAssignmentOf(std::span<const FleetNode> live, const FleetNode& self,
                                    const RegionId& store_region);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_READERELECTION_H_
