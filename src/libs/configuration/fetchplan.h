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

// How long a read may wait at the service, and the least time between reads that bring nothing new.
inline constexpr std::chrono::seconds kStoreReadInterval{30};

// How the service is to be read.
struct StoreRead {
  std::uint64_t after = 0;            // Only a higher version is wanted.
  std::chrono::milliseconds wait{};   // How long the service may hold the read.
  std::chrono::milliseconds pause{};  // Between a change and the read, at least.
};

// Decides when a node reads the service and when it asks which peer, for one document of the
// platform (the configuration or the VM list).
class FetchPlan {
 public:
  explicit FetchPlan(FleetNode self);

  // To be called whenever the live nodes or the inventory changed.
  void SetAssignment(ReaderAssignment assignment, TimePoint now);

  // A linked peer said that it holds `version`.
  void RecordPeerVersion(const FleetNode& peer, std::uint64_t version, TimePoint now);

  // A peer has heard of `version` without holding it. Rumours reach the readers of a region whose
  // own reads are silent; these then read the service on a new connection.
  void RecordReportedVersion(std::uint64_t version, TimePoint now);

  // The link to the peer is gone.
  void RemovePeer(const BackendServerId& peer);

  // The peer did not deliver `version` or delivered something invalid; it is asked for a later one
  // only, or for this one after a pause.
  void OnPeerFailed(const BackendServerId& peer, TimePoint now);

  // This node holds `version` now.
  void RecordHeld(std::uint64_t version);

  // The service gave `version`. If it was refused, it is not read again; an older one that peers
  // hold is still of use.
  void RecordStoreVersion(std::uint64_t version);

  // The peer to ask for a version above the one held: the highest version first, then the own data
  // centre, then the own region. A peer across the paid link is asked by a reader only, in the
  // order of the region's readers, so that one copy crosses the link.
  std::optional<BackendServerId> PeerToQuery(RandomSource& random, TimePoint now) const;

  // The read that is due, if any. The caller starts it, giving up a read that still runs, and
  // reports its end.
  std::optional<StoreRead> StoreReadDue(TimePoint now) const;
  // `wait` is that of the read.
  void OnStoreReadStarted(TimePoint now, std::chrono::milliseconds wait = kStoreReadInterval);
  void OnStoreReadChanged(TimePoint now);    // The read brought a higher version.
  void OnStoreReadUnchanged(TimePoint now);  // There was none.
  void OnStoreReadFailed(RandomSource& random, TimePoint now);

  // Asks for one immediate read, whatever the role: a node without any configuration, or a VM list
  // that has to be confirmed.
  void RequestStoreRead(TimePoint at);

  std::uint64_t Held() const { return m_held; }

  // The highest version that this node holds or has heard of from peers.
  std::uint64_t HighestKnown() const { return std::max(m_held, m_highest_known); }

  ReaderRole Role() const { return m_assignment.role; }
  bool StoreAnswers() const { return m_failures == 0; }

 private:
  struct Peer {
    FleetNode node;
    std::uint64_t version = 0;
    std::optional<TimePoint> not_before;  // After a failure.
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
  bool m_read_waits = false;  // Whether the service may hold the read.
  TimePoint m_next_read{};
  TimePoint m_retry_not_before{};  // After a failed read.
  std::optional<TimePoint> m_requested_read;
  unsigned m_failures = 0;  // Failed reads in a row.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_FETCHPLAN_H_
