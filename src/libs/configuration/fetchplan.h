#ifndef DAMASKHOLLOW_CONFIGURATION_FETCHPLAN_H_
#define DAMASKHOLLOW_CONFIGURATION_FETCHPLAN_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/randomsource.h"
#include "base/time.h"
#include "configuration/readerelection.h"
#include "fleet/fleetnode.h"

namespace damaskhollow {

// The longest time that the service may hold a read open, and the minimum interval between reads
// that return no new version.
inline constexpr std::chrono::seconds kStoreReadInterval{30};

// The parameters of a read of the service.
struct StoreRead {
  std::uint64_t after = 0;            // Only a version above this one is returned.
  std::chrono::milliseconds wait{};   // How long the service may hold the read open (long poll).
  std::chrono::milliseconds pause{};  // Minimum delay between a change and the read.
  // How long after a change the first watch of the read ends; later ones end kMaxWatchDuration
  // after their start.
  std::chrono::milliseconds turn{};
};

// Decides when a node reads the service and which peer it queries, for one platform document (the
// configuration or the VM list). Performs no I/O itself. Used by DocumentSync; not thread-safe.
class FetchPlan {
 public:
  explicit FetchPlan(FleetNode self);

  // Sets the node's reader role. Must be called whenever the live nodes or the inventory change.
  void SetAssignment(ReaderAssignment assignment, TimePoint now);

  // Records that a linked peer reported holding `version`.
  void RecordPeerVersion(const FleetNode& peer, std::uint64_t version, TimePoint now);

  // Records that a peer reported the existence of `version`, which it need not hold. Such reports
  // also reach readers whose own connection to the service is silent; these then read the service
  // on a new connection.
  void RecordReportedVersion(std::uint64_t version, TimePoint now);

  // Removes a peer whose link is down.
  void RemovePeer(const BackendServerId& peer);

  // Handles a transfer that timed out or delivered an invalid document. The peer is not queried
  // again until it reports a higher version or a pause has passed.
  void OnPeerFailed(const BackendServerId& peer, TimePoint now);

  // Records that this node holds `version`.
  void RecordHeld(std::uint64_t version);

  // Records that the service returned `version`. Even if it was rejected, it is not read again; a
  // lower version held by peers can still be fetched.
  void RecordStoreVersion(std::uint64_t version);

  // Returns the peer to query for a version above the held one, or nullopt. Prefers the highest
  // version, then peers in the same data centre, then those in the same region. A peer across the
  // paid link is queried by readers only, in the order of the region's readers, so that a single
  // copy crosses the link.
  std::optional<BackendServerId> PeerToQuery(RandomSource& random, TimePoint now) const;

  // Returns the read that is due, if any. The caller starts it, aborting a read that still runs,
  // and reports how it ends.
  std::optional<StoreRead> StoreReadDue(TimePoint now) const;
  // Handles the start of a read. `wait` is how long the service may hold it open.
  void OnStoreReadStarted(TimePoint now, std::chrono::milliseconds wait = kStoreReadInterval);
  // Handle the end of a read: with a higher version, without one, or with an error. After errors,
  // reads are retried with exponential backoff, which counts from the start of the failed read.
  void OnStoreReadChanged(TimePoint now);
  void OnStoreReadUnchanged(TimePoint now);
  void OnStoreReadFailed(RandomSource& random, TimePoint now);

  // Whether a long poll runs although the node is no longer a watcher. The caller aborts the read
  // and reports that, because each change that ends a long poll is a read that is paid for.
  bool IsReadObsolete() const;
  void OnStoreReadCancelled() { m_reading = false; }

  // Requests one read at `at` regardless of the role, for instance because the node has no
  // configuration yet or the VM list has to be confirmed.
  void RequestStoreRead(TimePoint at);

  std::uint64_t Held() const { return m_held; }

  // The highest version that this node holds or that peers have reported.
  std::uint64_t HighestKnown() const { return std::max(m_held, m_highest_known); }

  // When this node learned of the highest version that peers have reported.
  TimePoint HighestKnownSince() const { return m_highest_known_since; }

  ReaderRole Role() const { return m_assignment.role; }
  // Whether the last read of the service succeeded.
  bool IsStoreReachable() const { return m_failures == 0; }
  // Consecutive failed reads in the present role.
  unsigned FailedReads() const { return m_failures; }

 private:
  struct Peer {
    FleetNode node;
    std::uint64_t version = 0;
    std::optional<TimePoint> not_before;  // Not queried earlier, after a failed transfer.
  };

  int DistanceOf(const Peer& peer) const;
  std::optional<TimePoint> PaidLinkTurn() const;
  bool MayQuery(const Peer& peer, TimePoint now) const;

  const FleetNode m_self;
  ReaderAssignment m_assignment;
  std::map<BackendServerId, Peer> m_peers;
  std::uint64_t m_held = 0;
  std::uint64_t m_store_version = 0;  // At least m_held.
  std::uint64_t m_highest_known = 0;
  TimePoint m_highest_known_since{};
  bool m_reading = false;
  TimePoint m_read_started{};
  bool m_read_waits = false;  // Whether the service may hold the read open.
  TimePoint m_next_read{};
  TimePoint m_retry_not_before{};  // After a failed read.
  std::optional<TimePoint> m_requested_read;
  unsigned m_failures = 0;  // Consecutive failed reads.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_FETCHPLAN_H_
