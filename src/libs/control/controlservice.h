#ifndef DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_
#define DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_

#include <QJsonObject>
#include <QObject>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
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
#include "configuration/readerduty.h"
#include "control/configurationholder.h"
#include "control/documentsync.h"
#include "control/evacuationservice.h"
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

// The objects that ControlService works with. All of them must outlive it.
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

// The control role of a node: keeps the configuration and VM list up to date, exchanges gossip,
// decides which links to dial, detects drains and refreshes the membership view after the process
// was paused. Created by Node and runs on the main thread; methods marked "from any thread" are
// also called by the network threads.
class ControlService : public QObject {
 public:
  // `apply` activates an accepted declaration in the other roles of the node.
  ControlService(ControlContext context, ConfigurationHolder::ApplyFunction apply);
  ~ControlService() override;

  // Loads the declaration file if one is set, otherwise starts to fetch a configuration from peers
  // and the service. Fails if the file is unusable.
  Result<void> Start();

  // Must be called every 20 ms.
  void Tick(TimePoint now);

  // Handle a change of the link that this node dialled to `peer`. From any thread.
  void OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state);
  void OnLinkDown(const BackendServerId& peer);

  // Handles the state that a peer reported in a Pong. From any thread.
  void OnPeerState(const BackendServerId& peer, const wire::OwnerState& state);

  // Handles a control message that could not be sent on the link dialled to `peer`: sends it on the
  // link that the peer dialled, if there is one. From any thread.
  void OnSendFailed(const BackendServerId& peer, wire::Envelope message);

  // Handles Gossip, ConfigurationQuery and ConfigurationPart messages. From any thread.
  void HandleMessage(const ReplyRoute& route, wire::Envelope message);

  // Counts bytes sent to a peer: by purpose if it is in another data centre, and those of control
  // messages; if the peer is in another region, they also count for the paid link. From any thread.
  void CountSent(const BackendServerId& peer, BytePurpose purpose, bool is_control,
                 std::size_t bytes);

  // The membership view; its const methods may be called from any thread.
  const Membership& Members() const { return m_membership; }

  // Adds this role's fields to the body of /status.
  void AddStatus(QJsonObject& status) const;

 private:
  // Activates the rules with the present inventory and evacuations, if rules have been accepted.
  void ReapplyRules();
  // Activates accepted rules, combined with the live inventory if there is one.
  void OnRulesAccepted(const std::shared_ptr<const Declaration>& rules, std::uint64_t version);
  void OnInventoryReceived(const VmList& list, TimePoint now);
  void TickInventory(TimePoint now);
  // Activates the live inventory together with the servers retained after their removal.
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
  // Tells peers when the reads of this node fail, so that another node becomes a reader, and when
  // it can be one again.
  void TickReaderDuty(TimePoint now);
  // While the inventory does not list this node, asks a peer which versions it holds.
  void QueryVersions(TimePoint now);

  void HandleGossip(const ReplyRoute& route, const wire::Gossip& gossip, TimePoint now);
  void RecordPeerVersions(const BackendServerId& peer, std::uint64_t configuration,
                          std::optional<std::uint64_t> vm_list, TimePoint now);
  void OnPeerStatement(const PeerStatement& statement, const BackendServerId& from);
  wire::Gossip OwnGossip() const;
  void AddStatement(wire::Gossip& gossip, const BackendServerId& server) const;
  void SendGossip(const BackendServerId& peer, wire::Gossip gossip, TimePoint now);
  void AnnounceToAll(TimePoint now);
  void StartRefresh(TimePoint now);
  FleetNode PeerNode(const BackendServerId& peer) const;

  // Document versions that neighbours are told of at once: the highest known configuration, so that
  // readers with a silent connection to the service learn of it, and the list that is held.
  struct AnnouncedVersions {
    std::uint64_t configuration = 0;
    std::uint64_t vm_list = 0;
    std::uint64_t evacuations = 0;

    bool operator==(const AnnouncedVersions&) const = default;
  };
  using LocationMap = std::unordered_map<BackendServerId, FleetNode>;

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
  ReaderDuty m_reader_duty;
  LinkPlan m_link_plan;
  GossipQueue m_gossip_queue;
  ByteBudget m_gossip_budget;
  DrainTracker m_drain;
  HealthProbe m_probe;
  std::optional<ConfigurationBootstrap> m_bootstrap;
  InventoryRetention m_retention;
  EvacuationService m_evacuations;
  std::shared_ptr<const Declaration> m_rules;  // Accepted declaration, without live inventory.
  std::uint64_t m_rules_version = 0;
  std::optional<std::vector<BackendServer>> m_inventory;  // Live inventory; empty if declared.
  std::shared_ptr<const Declaration> m_declaration;  // Active rules, inventory and evacuations.
  std::atomic<std::shared_ptr<const LocationMap>> m_locations;

  std::vector<FleetNode> m_overlay_nodes;        // Nodes that the overlay was computed from.
  std::vector<BackendServerId> m_control_peers;  // Overlay neighbours and other readers.
  bool m_view_changed = false;
  bool m_announce = false;  // Send gossip to all connected peers at the next tick.
  bool m_announced_draining = false;
  bool m_was_leaving = false;  // Whether the backend server was leaving at the last tick.
  std::map<BackendServerId, AnnouncedVersions> m_announced;  // Last sent to each neighbour.
  TimePoint m_next_second{};
  TimePoint m_next_bootstrap_read{};
  TimePoint m_next_gossip{};
  TimePoint m_next_wide_gossip{};
  TimePoint m_next_version_query{};
  bool m_readers_changed = false;  // A node has stated whether its reads fail.
  std::uint64_t m_refresh_id = 0;
  TimePoint m_refresh_until{};
  bool m_refresh_answered = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_CONTROLSERVICE_H_
