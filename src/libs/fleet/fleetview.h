#ifndef DAMASKHOLLOW_FLEET_FLEETVIEW_H_
#define DAMASKHOLLOW_FLEET_FLEETVIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/fleetnode.h"

namespace damaskhollow {

// The state of a backend server in this node's membership view.
enum class MemberState {
  kLive,
  kDraining,     // Its owner reports a drain.
  kLeaving,      // Leaving according to the VM list, or absent from it while its link is up.
  kGone,         // Absent from the VM list for 10 s and without a live link.
  kUnreachable,  // The link to its node is down.
};

// Returns the name shown in /status, for example "draining".
std::string_view MemberStateName(MemberState state);

// Returns one sentence for operators on why a server has this state.
std::string_view MemberStateReason(MemberState state);

// Whether membership allows new work for a server in this state. It does so for an unreachable
// server, because the link layer withholds work from it until a response arrives on a new link.
bool AcceptsNewWork(MemberState state);

// The state that a node reports of itself, received directly or relayed by other nodes.
struct PeerStatement {
  BackendServerId server;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  // Increases with each statement of an incarnation.
  bool draining = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t started_ms = 0;  // Wall-clock start time of the process, in ms since the epoch.
  // Whether its reads of the platform's services fail. Empty if the statement does not say, which
  // leaves what an earlier statement of the incarnation said.
  std::optional<bool> store_unreachable = std::nullopt;
};

// One entry of the VM list.
struct VmEntry {
  BackendServerId server;
  bool leaving = false;
};

// The membership view of one node. Combines the VM list, the statements of the nodes and the state
// of this node's links. Not thread-safe; Membership adds the lock.
class FleetView {
 public:
  // The result of offering a VM list.
  enum class ListResult {
    kAccepted,
    kSuspect,  // Empty or less than half as long as before; not used until it is confirmed.
  };

  // Replaces the inventory. Servers in both the old and the new one keep their data. A new server
  // that the VM list lacks counts as absent from `now` on. Removed servers are retained for 15
  // minutes, which is longer than request ids are.
  void SetInventory(std::span<const FleetNode> nodes, TimePoint now, WallTime wall);

  // Offers a list as it was read. A suspect list is accepted once lists have been suspect for 30 s
  // and at least three reads, and no server that it lacks has a live link.
  ListResult OfferList(std::vector<VmEntry> entries, TimePoint now, WallTime wall);

  // Sets whether every list is accepted without confirmation, for sources that never lose entries.
  void SetListTrusted(bool trusted) { m_list_trusted = trusted; }

  // Records a statement. Returns true if it was stored: the first one of its server, or one that is
  // later than the stored one or of a later incarnation.
  bool RecordStatement(const PeerStatement& statement);

  // Handle a change of the link between this node and the node of `server`.
  void OnLinkUp(const BackendServerId& server);
  void OnLinkDown(const BackendServerId& server);

  // Handles a link that was closed because it was not used; its state is unknown from then on.
  void OnLinkClosed(const BackendServerId& server);

  // Returns the state of a server by the first rule that matches: it is not in the inventory
  // (kGone), reports a drain, is leaving according to the VM list, is absent from the list with a
  // live link (kLeaving) or for 10 s without one (kGone), has a link that is down; otherwise it is
  // live.
  MemberState StateOf(const BackendServerId& server, TimePoint now) const;

  // Whether the accepted list has the server as leaving.
  bool IsListedAsLeaving(const BackendServerId& server) const;

  // Returns since when every accepted list has lacked the server, on this node's wall clock;
  // nullopt while it is listed, before a list has been accepted, and for unknown servers.
  std::optional<WallTime> AbsentSince(const BackendServerId& server) const;

  // Returns the latest statement of the server; null if there is none.
  const PeerStatement* StatementOf(const BackendServerId& server) const;

  bool HasLiveLink(const BackendServerId& server) const;
  bool IsListSuspect() const { return m_suspect.has_value(); }
  const std::vector<FleetNode>& Inventory() const { return m_inventory; }

  // Returns the nodes of the inventory in state kLive.
  std::vector<FleetNode> LiveNodes(TimePoint now) const;

 private:
  enum class Link { kUnknown, kUp, kDown };

  struct Member {
    std::optional<TimePoint> removed;  // When it was removed from the inventory.
    bool leaving = false;
    std::optional<TimePoint> absent_since;
    std::optional<WallTime> absent_since_wall;
    Link link = Link::kUnknown;
    std::optional<PeerStatement> statement;
  };

  struct SuspectList {
    TimePoint since{};
    std::size_t reads = 0;
  };

  Member* FindMember(const BackendServerId& server);
  const Member* FindMember(const BackendServerId& server) const;
  void UpdateListed(const BackendServerId& server, Member& member, TimePoint now,
                    WallTime wall) const;
  bool IsSuspect(const std::map<BackendServerId, bool>& listed) const;
  bool IsConfirmed(const std::map<BackendServerId, bool>& listed, TimePoint now) const;
  void AcceptList(const std::map<BackendServerId, bool>& listed, TimePoint now, WallTime wall);

  std::vector<FleetNode> m_inventory;
  std::map<BackendServerId, Member> m_members;
  std::map<BackendServerId, bool> m_listed;  // The accepted list; the value is "leaving".
  bool m_has_list = false;
  bool m_list_trusted = false;
  std::optional<SuspectList> m_suspect;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_FLEETVIEW_H_
