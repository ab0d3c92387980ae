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
  FleetView::ListResult NoteList(std::vector<VmEntry> entries);

  // Notes a statement. Returns true if it starts or ends a drain, which is worth telling others.
  bool NoteStatement(const PeerStatement& statement);

  void NoteLinkUp(const BackendServerId& server);
  void NoteLinkDown(const BackendServerId& server);
  void NoteLinkClosed(const BackendServerId& server);

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

  Standing StandingOf(const BackendServerId& server) const;
  bool IsListDoubted() const;

  // One object for each server of the inventory: id, state, reason, linked, configuration version.
  QJsonArray Status() const;

 private:
  SharedRouter& m_router;
  mutable std::mutex m_lock;
  FleetView m_view;
  std::map<BackendServerId, Standing> m_standings;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_MEMBERSHIP_H_
