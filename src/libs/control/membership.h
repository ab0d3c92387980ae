#ifndef DAMASKHOLLOW_CONTROL_MEMBERSHIP_H_
#define DAMASKHOLLOW_CONTROL_MEMBERSHIP_H_

#include <QJsonArray>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "calls/sharedrouter.h"
#include "fleet/fleetview.h"

namespace damaskhollow {

// Thread-safe wrapper of the membership view that also applies it to routing. Modified on the main
// thread; const methods may be called from any thread.
class Membership {
 public:
  explicit Membership(SharedRouter& router) : m_router(router) {}

  void SetInventory(std::span<const FleetNode> nodes);
  void SetListTrusted(bool trusted);
  FleetView::ListResult OfferList(std::vector<VmEntry> entries);

  // Records a statement. Returns true if it changes what is passed on by gossip: whether the server
  // drains and whether its node reaches the platform's services.
  bool RecordStatement(const PeerStatement& statement);

  void OnLinkUp(const BackendServerId& server);
  void OnLinkDown(const BackendServerId& server);
  void OnLinkClosed(const BackendServerId& server);

  // Recomputes the state of all servers and updates the router. Returns true if any state changed.
  bool Refresh(TimePoint now);

  // The nodes of the inventory in state kLive.
  std::vector<FleetNode> LiveNodes() const;

  // The nodes of the inventory except those in state kGone.
  std::vector<FleetNode> PresentNodes() const;

  // Returns the node of `server`, or nullopt if it is not in the inventory.
  std::optional<FleetNode> FindNode(const BackendServerId& server) const;

  // Returns the latest statement, or nullopt if there is none.
  std::optional<PeerStatement> StatementOf(const BackendServerId& server) const;

  // Whether the node of `server` has stated that its reads of the platform's services fail.
  bool IsStoreUnreachableFrom(const BackendServerId& server) const;

  // The servers whose latest statement reports a drain.
  std::vector<BackendServerId> DrainingServers() const;

  // Returns since when every accepted VM list has lacked the server, on this node's wall clock;
  // nullopt while it is listed, before a list has been accepted, and for unknown servers.
  std::optional<WallTime> AbsentSince(const BackendServerId& server) const;

  MemberState StateOf(const BackendServerId& server) const;
  bool IsListedAsLeaving(const BackendServerId& server) const;
  bool IsListSuspect() const;

  // Returns one object per server of the inventory with its id, state, the reason for the state,
  // whether it is linked and, if reported, its configuration version.
  QJsonArray Status() const;

 private:
  SharedRouter& m_router;
  mutable std::mutex m_lock;
  FleetView m_view;
  std::map<BackendServerId, MemberState> m_states;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_MEMBERSHIP_H_
