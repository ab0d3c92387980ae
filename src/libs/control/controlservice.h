#ifndef DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_
#define DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_

#include <QJsonObject>
#include <QObject>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "calls/sharedrouter.h"
#include "calls/viewgate.h"
#include "configuration/configurationbootstrap.h"
#include "configuration/inventoryretention.h"
#include "control/configurationholder.h"
#include "control/documentsync.h"
#include "control/healthprobe.h"
#include "control/membership.h"
#include "control/peerlinks.h"
#include "control/platformbindings.h"
#include "control/vmlistholder.h"
#include "fleet/draintracker.h"
#include "fleet/gossipqueue.h"
#include "fleet/linkplan.h"
#include "owner/ownerservice.h"
#include "settings/nodesettings.h"

namespace damaskhollow {

// What the control role works with. All of it outlives the service.
struct ControlContext {
  const NodeSettings& settings;
  const NodeIdentity& identity;
  MetricsRegistry& metrics;
  Messenger& messenger;
  SharedRouter& router;
  OwnerService& owner;
  PeerTransport& transport;
  ViewGate& gate;
  const PlatformBindings& bindings;
};

// The control role: keeps configuration and VM list up to date, exchanges gossip, decides on links
// and drains, and refreshes the view after a pause. Lives on the main thread; members that say so
// may be called from any thread.
class ControlService : public QObject {
 public:
  // `apply` puts an accepted declaration into force in the other roles.
  ControlService(ControlContext context, ConfigurationHolder::ApplyFunction apply);
  ~ControlService() override;

  // Reads the declaration file, if one is set, or starts to look for a configuration.
  Result<void> Start();

  // To be called every 20 ms.
  void Tick(TimePoint now);

  // The link that this node dialled to `peer` came up or went down. From any thread.
  void OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state);
  void OnLinkDown(const BackendServerId& peer);

  // What a peer said of itself on a Pong. From any thread.
  void OnPeerState(const BackendServerId& peer, const wire::OwnerState& state);

  // A control message could not be sent on the link dialled to `peer`; it is sent on the one that
  // the peer dialled, if any. From any thread.
  void OnSendFailed(const BackendServerId& peer, wire::Envelope message);

  // Takes Gossip, ConfigurationQuery and ConfigurationPart. From any thread.
  void HandleMessage(const ReplyRoute& route, wire::Envelope message);

  // Counts bytes of control messages, and those that cross the paid link. From any thread.
  void CountBytes(const BackendServerId& peer, std::size_t sent, std::size_t received);

  // For queries from any thread.
  const Membership& Members() const { return m_membership; }

  // Adds the parts of /status that belong to this role.
  void AddStatus(QJsonObject& status) const;

 private:
  // Puts accepted rules into force, with the live inventory if there is one.
  void OnRulesAccepted(const std::shared_ptr<const Declaration>& rules, std::uint64_t version);
  void OnInventoryReceived(const VmList& list, TimePoint now);
  void TickInventory(TimePoint now);
  // Puts the live inventory with what is held of it into force.
  void ApplyInventory(TimePoint now);
  void LogInventoryChange(std::span<const BackendServer> after) const;
  std::shared_ptr<const Declaration> WithInventory(
      const std::shared_ptr<const Declaration>& rules) const;
  void ApplyDeclaration(const std::shared_ptr<const Declaration>& declaration,
                        std::uint64_t version);
  void TickBootstrap(TimePoint now);
  void TickSecond(TimePoint now);
  void TickDrain(TimePoint now);
  void TickPause(TimePoint now);
  void TickGossip(TimePoint now);
  void RefreshView(TimePoint now);

  void DialSeeds();
  void UpdateLinks(const Declaration& declaration, TimePoint now);
  PeerLinks::Target TargetOf(const BackendServer& server) const;
  void UpdateOverlay(std::span<const FleetNode> nodes);
  void UpdateReaderAssignment(TimePoint now);

  void HandleGossip(const ReplyRoute& route, const wire::Gossip& gossip, TimePoint now);
  void RecordPeerVersions(const BackendServerId& peer, std::uint64_t configuration,
                          std::optional<std::uint64_t> vm_list, TimePoint now);
  void RecordPeerStatement(const PeerStatement& statement, const BackendServerId& from);
  wire::Gossip OwnGossip() const;
  void AddStatement(wire::Gossip& gossip, const BackendServerId& server) const;
  void SendGossip(const BackendServerId& peer, wire::Gossip gossip, TimePoint now);
  void AnnounceToAll(TimePoint now);
  void StartRefresh(TimePoint now);
  FleetNode PeerNode(const BackendServerId& peer) const;

  using RegionMap = std::unordered_map<BackendServerId, RegionId>;

  ControlContext m_context;
  ConfigurationHolder::ApplyFunction m_apply;
  const FleetNode m_self;
  RandomSource m_random;
  Membership m_membership;
  PeerLinks m_links;
  ConfigurationHolder m_configuration;
  VmListHolder m_vm_list;
  DocumentSync m_configuration_sync;
  DocumentSync m_vm_list_sync;
  LinkPlan m_link_plan;
  GossipQueue m_gossip_queue;
  ByteBudget m_gossip_budget;
  DrainTracker m_drain;
  HealthProbe m_probe;
  std::optional<ConfigurationBootstrap> m_bootstrap;
  InventoryRetention m_retention;
  std::shared_ptr<const Declaration> m_rules;  // As accepted.
  std::uint64_t m_rules_version = 0;
  std::optional<std::vector<BackendServer>> m_inventory;  // Live; empty if the declared one counts.
  std::shared_ptr<const Declaration> m_declaration;       // Rules and inventory in force.
  std::atomic<std::shared_ptr<const RegionMap>> m_regions;

  std::vector<FleetNode> m_overlay_nodes;        // That the overlay was computed from.
  std::vector<BackendServerId> m_control_peers;  // Overlay neighbours and other readers.
  bool m_view_changed = false;
  bool m_announce = false;  // To all connected peers at the next tick.
  bool m_announced_draining = false;
  bool m_was_leaving = false;           // The backend server, at the last tick.
  std::uint64_t m_announced_known = 0;  // Highest configuration version neighbours were told of.
  TimePoint m_next_second{};
  TimePoint m_next_bootstrap_read{};
  TimePoint m_next_gossip{};
  TimePoint m_next_wide_gossip{};
  std::uint64_t m_refresh_id = 0;
  TimePoint m_refresh_until{};
  bool m_refresh_answered = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_
