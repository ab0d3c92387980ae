#ifndef DAMASKHOLLOW_CONFIGURATION_READERDUTY_H_
#define DAMASKHOLLOW_CONFIGURATION_READERDUTY_H_

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "configuration/readerelection.h"

namespace damaskhollow {

// How long a reader whose reads fail gives way to other nodes.
inline constexpr std::chrono::seconds kReaderRest{10};

// What a node knows of the others when it decides on its own role.
struct ReaderSurroundings {
  std::span<const FleetNode> live;
  // Whether a node has stated that its reads fail.
  IsUnableFunction is_unable;
  // Whether the link that this node dialled to a node is up.
  std::function<bool(const BackendServerId& node)> is_linked;
};

// Decides on the role of one node as a reader of the platform's documents, including the time
// before the inventory lists the node and the time in which its reads fail. Not thread-safe.
class ReaderDuty {
 public:
  // `store_region` is the region of the configuration service; empty if it is not known.
  // `has_live_inventory` says whether a node can be missing from the inventory.
  ReaderDuty(FleetNode self, RegionId store_region, bool has_live_inventory);

  // Handles the start of the process.
  void Start(TimePoint now) { m_started = now; }

  // Returns the role of this node. A node that the live inventory does not list (yet) cannot be
  // elected, and no peer dials it: it learns of changes from a reader that it dials, and watches
  // the service itself only without a link to one. The links of a node that has just started need
  // some time.
  // Such a node may use the paid link, and read the service, after the readers of its region, so
  // that it does not depend on what they pass on.
  ReaderAssignment Assign(const ReaderSurroundings& surroundings, TimePoint now);

  // Updates whether this node is unable to read, given its consecutive failed reads. Reads that
  // failed before the end of a rest no longer count, because a read that now waits may well
  // succeed. Returns true if the state has changed, so that peers must be told.
  bool UpdateFailures(unsigned failed_reads, TimePoint now);

  // Whether the reads of this node fail, so that others are to read in its place.
  bool IsUnable() const { return m_unable_until.has_value(); }

  // Whether the live inventory lists this node, as of the last assignment.
  bool IsListed() const { return m_is_listed; }

  // Whether this node has to ask peers for their versions, as none tells it of changes.
  bool HasToAskPeers() const { return m_has_live_inventory && !m_is_listed; }

  // Returns the peers to ask: those of this node's region, from which it can also fetch what is new
  // without the paid link, or all of `connected` if there are none.
  std::vector<BackendServerId> PeersToAsk(std::span<const FleetNode> connected) const;

 private:
  bool IsIsolated(const ReaderSurroundings& surroundings) const;

  const FleetNode m_self;
  const RegionId m_store_region;
  const bool m_has_live_inventory;
  TimePoint m_started{};
  bool m_is_listed = false;
  std::optional<TimePoint> m_unable_until;
  unsigned m_failures_before_return = 0;  // Of the present failed reads, those before the last
                                          // rest ended.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_READERDUTY_H_
