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

// The membership view under a lock, and its effect on routing. Changed on the main thread; queries
// may come from any thread.
class Membership {
 public:
  explicit Membership(SharedRouter& router) : m_router(router) {}

  void SetInventory(std::span<const FleetNode> nodes);
  void SetListTrusted(bool trusted);
  FleetView::ListResult OfferList(std::vector<VmEntry> entries);

  // Notes a statement. Returns true if it starts or ends a drain, which is worth telling others.
  bool RecordStatement(const PeerStatement& statement);

  void OnLinkUp(const BackendServerId& server);
  void OnLinkDown(const BackendServerId& server);
  void OnLinkClosed(const BackendServerId& server);

  // Works out all standings and tells the router of those that changed. Returns true if any did.
  bool Refresh(TimePoint now);

  std::vector<FleetNode> LiveNodes() const;

  // The nodes of the inventory that are not known to be gone.
  std::vector<FleetNode> PresentNodes() const;

  // Empty if the server is not in the inventory.
  std::optional<FleetNode> FindNode(const BackendServerId& server) const;

  std::optional<PeerStatement> StatementOf(const BackendServerId& server) const;

  // The servers whose statement says that they drain.
  std::vector<BackendServerId> DrainingServers() const;

  // See FleetView::AbsentSince.
  std::optional<WallTime> AbsentSince(const BackendServerId& server) const;

  MemberState StateOf(const BackendServerId& server) const;
  bool IsListSuspect() const;

  // One object for each server of the inventory: id, state, reason, linked, configuration version.
  QJsonArray Status() const;

 private:
  SharedRouter& m_router;
  mutable std::mutex m_lock;
  FleetView m_view;
  std::map<BackendServerId, MemberState> m_states;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_MEMBERSHIP_H_
