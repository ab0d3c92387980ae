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

// What this node takes a backend server to be.
enum class MemberState {
  kLive,
  kDraining,     // Its owner says so.
  kLeaving,      // The VM list says so, or it has left the list while its link lives.
  kGone,         // Absent from the list for 10 s, without a live link.
  kUnreachable,  // Its link is down.
};

// The name shown in the status, for instance "draining".
std::string_view MemberStateName(MemberState state);

// One sentence on why a server has this standing.
std::string_view MemberStateReason(MemberState state);

// Whether a server with this standing may get new work, as far as membership is concerned. An
// unreachable one is kept from work by its link until an answer arrives on a new one.
bool AcceptsNewWork(MemberState state);

// What a node says of itself, directly or by way of other nodes.
struct PeerStatement {
  BackendServerId server;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  // Grows with each statement of one incarnation.
  bool draining = false;
  std::uint64_t configuration_version = 0;
  std::uint64_t started_ms = 0;  // Wall clock when the process started.
};

// One entry of the VM list.
struct VmEntry {
  BackendServerId server;
  bool leaving = false;
};

// The membership view of one node. Combines the VM list, what nodes say of themselves and the state
// of the own links.
class FleetView {
 public:
  // What came of a VM list.
  enum class ListResult {
    kAccepted,
    kSuspect,  // Empty or shrunk by more than half; kept aside until it is confirmed.
  };

  // Replaces the inventory. Servers that are in both keep what is known of them; one that the list
  // lacks counts as absent from now on at the earliest. Servers that left the inventory are
  // remembered for 15 minutes, longer than request ids are.
  void SetInventory(std::span<const FleetNode> nodes, TimePoint now, WallTime wall);

  // Notes a list as it was read. A doubted list is taken when it has been read three times over
  // 30 s and none of the servers that it lacks has a live link.
  ListResult OfferList(std::vector<VmEntry> entries, TimePoint now, WallTime wall);

  // Whether lists are taken as they are. A source that loses nothing need not be doubted.
  void SetListTrusted(bool trusted) { m_list_trusted = trusted; }

  // Notes a statement. Returns true if it is news: the first of its server, of a later incarnation,
  // or later than the one known.
  bool RecordStatement(const PeerStatement& statement);

  void OnLinkUp(const BackendServerId& server);
  void OnLinkDown(const BackendServerId& server);

  // The link was closed because it was not used; nothing is known of it from then on.
  void OnLinkClosed(const BackendServerId& server);

  // The standing by the first matching rule of section 6.8. kGone for a server that is not in the
  // inventory.
  MemberState StateOf(const BackendServerId& server, TimePoint now) const;

  // Since when the server has been absent from every accepted list, on this node's wall clock;
  // empty while it is listed, while no list has been accepted, and for servers that are not
  // remembered.
  std::optional<WallTime> AbsentSince(const BackendServerId& server) const;

  // The latest statement; null if there is none.
  const PeerStatement* StatementOf(const BackendServerId& server) const;

  bool HasLiveLink(const BackendServerId& server) const;
  bool IsListSuspect() const { return m_suspect.has_value(); }
  const std::vector<FleetNode>& Inventory() const { return m_inventory; }

  // The nodes of the inventory with standing kLive.
  std::vector<FleetNode> LiveNodes(TimePoint now) const;

 private:
  enum class Link { kUnknown, kUp, kDown };

  struct Member {
    std::optional<TimePoint> removed;  // From the inventory.
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
  std::map<BackendServerId, bool> m_listed;  // Of the accepted list: whether it is leaving.
  bool m_has_list = false;
  bool m_list_trusted = false;
  std::optional<SuspectList> m_suspect;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_FLEETVIEW_H_
