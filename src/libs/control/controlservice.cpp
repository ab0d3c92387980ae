#include "control/controlservice.h"

#include <QMetaObject>
#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "configuration/documentversion.h"
#include "fleet/overlay.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kSecond{1};
// Neighbours exchange versions at least this often; changes are sent immediately.
constexpr std::chrono::seconds kGossipPeriod{5};
// Period on links outside the overlay. The gossip lets the accepting end use the link for replies.
constexpr std::chrono::seconds kWideGossipPeriod{20};
constexpr std::chrono::milliseconds kRefreshTimeout{500};
constexpr std::size_t kRefreshPeers = 3;
// How often a node that is not listed asks a peer for versions. A change must reach it in time.
constexpr std::chrono::milliseconds kVersionQueryInterval{500};
// The refresh_id of such queries; refreshes after a pause count up from 1.
constexpr std::uint64_t kVersionQueryId = std::numeric_limits<std::uint64_t>::max();
// A statement takes about 45 bytes.
constexpr std::size_t kStatementsPerGossip = 50;
constexpr std::size_t kMaxSeeds = 4;
// Sent gossip may use a quarter of the budget. Received gossip uses as much, and the rest is left
// for pings and handshakes.
constexpr std::size_t kGossipBudgetDivisor = 4;

PeerStatement StatementFrom(const BackendServerId& server, const wire::OwnerState& state) {
  return PeerStatement{server,           Incarnation{state.incarnation()}, state.clock_us(),
                       state.draining(), state.configuration_version(),    state.started_ms()};
}

PeerStatement StatementFrom(const wire::PeerState& state) {
  return PeerStatement{BackendServerId(state.server_id()),
                       Incarnation{state.incarnation()},
                       state.sequence(),
                       state.draining(),
                       state.configuration_version(),
                       state.started_ms(),
                       state.store_unreachable()};
}

}  // namespace

ControlService::ControlService(ControlContext context, ConfigurationHolder::ApplyFunction apply)
    : m_context(context),
      m_apply(std::move(apply)),
      m_self{context.identity.server, context.settings.region, context.settings.data_centre},
      m_random(SystemSeed()),
      m_membership(context.router),
      m_links(context.transport, context.messenger),
      m_configuration(context.metrics,
                      [this](const auto& declaration, std::uint64_t version) {
                        OnRulesAccepted(declaration, version);
                      }),
      m_vm_list(
          m_membership, [this](const VmList& list) { OnInventoryReceived(list, MonotonicNow()); },
          [this] { m_view_changed = true; }),
      m_configuration_sync(wire::DOCUMENT_CONFIGURATION, m_self,
                           context.bindings.read_configuration, m_configuration, context.metrics,
                           [this](const BackendServerId& peer, wire::Envelope message) {
                             m_links.Send(peer, std::move(message), MonotonicNow());
                           }),
      m_vm_list_sync(wire::DOCUMENT_VM_LIST, m_self, context.bindings.read_vm_list, m_vm_list,
                     context.metrics,
                     [this](const BackendServerId& peer, wire::Envelope message) {
                       m_links.Send(peer, std::move(message), MonotonicNow());
                     }),
      m_reader_duty(m_self, context.settings.configuration_region,
                    context.bindings.has_live_inventory),
      m_probe(context.metrics,
              [this](ProbeResult result) { m_drain.OnProbe(result, MonotonicNow()); }),
      m_evacuations(context.metrics, [this] { ReapplyRules(); }) {
  m_configuration_sync.SetEvacuationsFunction(
      [this](const EvacuationSet& evacuations) { m_evacuations.Offer(evacuations); });
  const RegionId& store_region = context.settings.configuration_region;
  const bool is_far = !store_region.IsEmpty() && store_region != m_self.region;
  m_configuration_sync.SetStoreAcrossPaidLink(is_far);
  m_vm_list_sync.SetStoreAcrossPaidLink(is_far);
}

ControlService::~ControlService() = default;

Result<void> ControlService::Start() {
  const NodeSettings& settings = m_context.settings;
  const std::string& file = settings.declaration_file;
  if (!file.empty()) return m_configuration.LoadFile(file);
  const TimePoint now = MonotonicNow();
  m_reader_duty.Start(now);
  const bool has_seeds = !settings.seed_peers.empty() || !settings.peer_overrides.empty();
  const bool is_seed = settings.seed_peers.contains(m_self.id);
  m_bootstrap.emplace(has_seeds, is_seed, m_random, now, m_context.bindings.store_is_current);
  DialSeeds();
  if (m_context.bindings.has_live_inventory) {
    UpdateReaderAssignment(now);
    m_vm_list_sync.Plan().RequestStoreRead(now);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ControlService::DialSeeds() {
  std::map<BackendServerId, Endpoint> seeds = m_context.settings.peer_overrides;
  for (const auto& [peer, endpoint] : m_context.settings.seed_peers) seeds.emplace(peer, endpoint);
  seeds.erase(m_self.id);
  std::vector<PeerLinks::Target> targets;
  targets.reserve(seeds.size());
  for (const auto& [peer, endpoint] : seeds) targets.push_back({peer, endpoint, {}});
  while (targets.size() > kMaxSeeds) {
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(m_random.Below(targets.size())));
  }
  m_links.SetWanted(
      targets, [](const BackendServerId&) { return false; }, MonotonicNow());
}

void ControlService::OnRulesAccepted(const std::shared_ptr<const Declaration>& rules,
                                     std::uint64_t version) {
  m_rules = rules;
  m_rules_version = version;
  ReapplyRules();
}

void ControlService::ReapplyRules() {
  if (m_rules) ApplyDeclaration(m_evacuations.Apply(WithInventory(m_rules)), m_rules_version);
}

void ControlService::LogInventoryChange(std::span<const BackendServer> after) const {
  const std::vector<BackendServer> before = m_inventory.value_or(std::vector<BackendServer>());
  const HistoryPosition position = PositionOf(m_vm_list.HeldVersion());
  const auto log = [position](std::string_view event, const BackendServer& server) {
    EventLine(LogPart::kFleet, LogLevel::kInfo, event)
        .With("server", server.id.Value())
        .With("service", server.service.Value())
        .With("instance", server.instance)
        .With("epoch", static_cast<std::int64_t>(position.epoch))
        .With("version", static_cast<std::int64_t>(position.revision));
  };
  const auto find = [](std::span<const BackendServer> servers, const BackendServer& wanted) {
    return std::find_if(servers.begin(), servers.end(), [&](const BackendServer& server) {
      return server.id == wanted.id && server.instance == wanted.instance;
    });
  };
  for (const BackendServer& server : before) {
    if (find(after, server) == after.end()) log("server_left", server);
  }
  for (const BackendServer& server : after) {
    if (find(before, server) == std::span<const BackendServer>(before).end()) {
      log("server_joined", server);
    }
  }
}

void ControlService::OnInventoryReceived(const VmList& list, TimePoint now) {
  m_membership.SetListTrusted(true);
  m_retention.Update(list, now);
  ApplyInventory(now);
}

void ControlService::TickInventory(TimePoint now) {
  const std::optional<TimePoint> end = m_retention.NextExpiry();
  if (!end || now < *end) return;
  m_retention.RemoveExpired(now);
  ApplyInventory(now);
  m_view_changed = true;
}

void ControlService::ApplyInventory(TimePoint now) {
  VmList list = m_retention.Current(now);
  LogInventoryChange(*list.inventory);
  m_membership.OfferList(std::move(list.entries));
  m_inventory = std::move(list.inventory);
  ReapplyRules();
}

std::shared_ptr<const Declaration> ControlService::WithInventory(
    const std::shared_ptr<const Declaration>& rules) const {
  if (!m_inventory) return rules;
  auto joined = std::make_shared<Declaration>(*rules);
  joined->backend_servers.clear();
  // Servers of a service that the rules do not declare yet are left out until the rules declare it.
  std::unordered_set<std::string_view> services;
  for (const Service& service : joined->services) services.insert(service.id.Value());
  for (const BackendServer& server : *m_inventory) {
    if (services.contains(server.service.Value())) joined->backend_servers.push_back(server);
  }
  Budgets& budgets = joined->budgets;
  if (budgets.fleet_retry_floor) {
    const auto nodes = static_cast<double>(std::max<std::size_t>(m_inventory->size(), 1));
    budgets.retry_floor = *budgets.fleet_retry_floor / nodes;
  }
  return joined;
}

void ControlService::ApplyDeclaration(const std::shared_ptr<const Declaration>& declaration,
                                      std::uint64_t version) {
  const TimePoint now = MonotonicNow();
  m_bootstrap.reset();
  m_declaration = declaration;
  m_context.metrics.Set(Metric::kUnreadableEntries, declaration->unreadable_entries);
  m_context.metrics.Set(Metric::kClampedValues, declaration->clamped_values);
  m_apply(declaration, version);
  const std::vector<FleetNode> nodes = NodesOf(*declaration);
  auto locations = std::make_shared<LocationMap>();
  for (const FleetNode& node : nodes) locations->emplace(node.id, node);
  m_locations.store(std::move(locations));
  m_membership.SetInventory(nodes);
  for (const FleetNode& node : nodes) {
    if (m_links.IsUp(node.id)) m_membership.OnLinkUp(node.id);
  }
  m_gossip_budget.SetRate(declaration->budgets.measuring_bytes_per_second / kGossipBudgetDivisor);
  if (m_context.settings.declaration_file.empty()) m_configuration_sync.Plan().RecordHeld(version);
  m_announce = true;
  RefreshView(now);
  const BackendServer* own = declaration->FindServer(m_self.id);
  const Service* service = own == nullptr ? nullptr : declaration->FindService(own->service);
  if (service == nullptr) return;
  if (const Result<Endpoint> address = ParseEndpoint(own->address)) {
    m_probe.Configure(service->health, address.value(), declaration->budgets.probes_per_second);
  }
}

void ControlService::Tick(TimePoint now) {
  TickPause(now);
  TickDrain(now);
  if (m_bootstrap) TickBootstrap(now);
  for (const ServiceId& service : m_context.router.PopUsedServices()) {
    const std::vector<ServiceId> used = m_link_plan.UsedServices(now);
    const bool is_new = std::find(used.begin(), used.end(), service) == used.end();
    m_link_plan.RecordUse(service, now);
    if (is_new && m_declaration) UpdateLinks(*m_declaration, now);
  }
  if (m_context.settings.declaration_file.empty()) m_configuration_sync.Tick(now);
  m_vm_list_sync.Tick(now);
  TickInventory(now);
  if (now >= m_next_second) TickSecond(now);
  if (std::exchange(m_view_changed, false)) RefreshView(now);
  TickReaderDuty(now);
  TickGossip(now);
}

void ControlService::TickSecond(TimePoint now) {
  m_next_second = now + kSecond;
  m_configuration.CheckFile();
  const bool is_list_source_reachable = m_vm_list_sync.Plan().Role() == ReaderRole::kFollower ||
                                        m_vm_list_sync.Plan().IsStoreReachable();
  m_vm_list.Tick(now, is_list_source_reachable);
  for (const BackendServerId& peer : m_links.Overdue(now)) m_membership.OnLinkDown(peer);
  RefreshView(now);
  // The state of its links decides the role of a node that is not listed.
  if (m_reader_duty.HasToAskPeers()) UpdateReaderAssignment(now);
  if (m_declaration) UpdateLinks(*m_declaration, now);
}

void ControlService::RefreshView(TimePoint now) {
  if (!m_membership.Refresh(now)) return;
  UpdateOverlay(m_membership.PresentNodes());
  UpdateReaderAssignment(now);
  if (m_declaration) UpdateLinks(*m_declaration, now);
}

void ControlService::UpdateReaderAssignment(TimePoint now) {
  const std::vector<FleetNode> live = m_membership.LiveNodes();
  const ReaderSurroundings surroundings{
      live,
      [this](const BackendServerId& node) { return m_membership.IsStoreUnreachableFrom(node); },
      [this](const BackendServerId& node) { return m_links.IsUp(node); }};
  const ReaderAssignment assignment = m_reader_duty.Assign(surroundings, now);
  if (assignment.role != m_configuration_sync.Plan().Role()) {
    EventLine(LogPart::kConfiguration, LogLevel::kInfo, "reader_role")
        .With("role", ReaderRoleName(assignment.role));
  }
  m_configuration_sync.Plan().SetAssignment(assignment, now);
  m_vm_list_sync.Plan().SetAssignment(assignment, now);
}

void ControlService::TickReaderDuty(TimePoint now) {
  const unsigned failed =
      std::max(m_configuration_sync.Plan().FailedReads(), m_vm_list_sync.Plan().FailedReads());
  if (m_reader_duty.UpdateFailures(failed, now)) {
    EventLine(LogPart::kConfiguration, LogLevel::kWarning, "reader_gives_way")
        .With("unable", m_reader_duty.IsUnable() ? "yes" : "no");
    PeerStatement statement = StatementFrom(m_self.id, m_context.owner.State());
    statement.store_unreachable = m_reader_duty.IsUnable();
    m_membership.RecordStatement(statement);
    m_readers_changed = true;
    m_announce = true;
  }
  if (std::exchange(m_readers_changed, false)) UpdateReaderAssignment(now);
}

void ControlService::QueryVersions(TimePoint now) {
  std::vector<FleetNode> connected;
  for (const BackendServerId& peer : m_links.Connected(now)) connected.push_back(PeerNode(peer));
  const std::vector<BackendServerId> peers = m_reader_duty.PeersToAsk(connected);
  if (peers.empty()) return;
  m_next_version_query = now + kVersionQueryInterval;
  wire::Gossip gossip = OwnGossip();
  gossip.set_refresh_id(kVersionQueryId);
  SendGossip(peers[m_random.Below(peers.size())], std::move(gossip), now);
}

void ControlService::UpdateOverlay(std::span<const FleetNode> nodes) {
  const auto same = [](const FleetNode& left, const FleetNode& right) {
    return left.id == right.id && left.data_centre == right.data_centre;
  };
  if (std::equal(nodes.begin(), nodes.end(), m_overlay_nodes.begin(), m_overlay_nodes.end(),
                 same)) {
    return;
  }
  m_overlay_nodes.assign(nodes.begin(), nodes.end());
  const auto overlay = Overlay::Build(nodes);
  const auto own = overlay.find(m_self.id);
  const Overlay::Neighbours neighbours = own == overlay.end() ? Overlay::Neighbours() : own->second;
  m_gossip_queue.SetNeighbours(neighbours, m_membership.DrainingServers());
  std::erase_if(m_announced, [&](const auto& entry) { return !neighbours.contains(entry.first); });
  m_control_peers.assign(neighbours.begin(), neighbours.end());
  const RegionId& store_region = m_context.settings.configuration_region;
  // The readers and the next nodes in order keep links to each other, so that they notice the loss
  // of a reader immediately.
  std::vector<BackendServerId> candidates = ReaderOrder(nodes, m_self.region);
  candidates.resize(
      std::min(candidates.size(), ReaderCount(m_self.region, store_region) + kReaderSuccessors));
  const bool is_candidate =
      std::find(candidates.begin(), candidates.end(), m_self.id) != candidates.end();
  // A node that is not in the inventory has no neighbours, so it links to the readers instead.
  if (!is_candidate && own != overlay.end()) return;
  m_control_peers.insert(m_control_peers.end(), candidates.begin(), candidates.end());
  std::erase(m_control_peers, m_self.id);
}

void ControlService::UpdateLinks(const Declaration& declaration, TimePoint now) {
  LinkNeeds needs = LinkNeedsOf(
      declaration, m_self.id, m_link_plan.UsedServices(now),
      [this](const ServiceId& service) { return m_context.router.SubsetOf(service); },
      !m_context.bindings.convention.request_id.empty());
  needs.control = m_control_peers;
  const std::set<BackendServerId> wanted = m_link_plan.Wanted(needs, now);
  std::vector<PeerLinks::Target> targets;
  for (const BackendServer& server : declaration.backend_servers) {
    if (wanted.contains(server.id)) targets.push_back(TargetOf(server));
  }
  const auto is_busy = [this](const BackendServerId& peer) {
    return m_context.router.Outstanding(peer) > 0;
  };
  m_links.SetWanted(targets, is_busy, now);
}

PeerLinks::Target ControlService::TargetOf(const BackendServer& server) const {
  const auto override = m_context.settings.peer_overrides.find(server.id);
  const Result<Endpoint> declared = ParseEndpoint(server.peer_address);
  const Endpoint endpoint =
      override != m_context.settings.peer_overrides.end() ? override->second : declared.value();
  return {server.id, endpoint, server.peer_public_key};
}

void ControlService::TickBootstrap(TimePoint now) {
  if (const std::shared_ptr<const Declaration> candidate = m_configuration.Candidate()) {
    m_bootstrap->OnCandidateReceived(now);
    // The peers listed in the candidate are dialled before their responses are counted.
    const std::shared_ptr<const Declaration> joined = WithInventory(candidate);
    UpdateOverlay(NodesOf(*joined));
    UpdateLinks(*joined, now);
  }
  PeerResponses peers;
  peers.queried = m_links.WantedCount();
  peers.responded = m_links.UpCount();
  const FetchPlan& plan = m_configuration_sync.Plan();
  peers.has_newer = plan.HighestKnown() > m_configuration.CandidateVersion();
  switch (m_bootstrap->Next(peers, now)) {
    case ConfigurationBootstrap::Step::kReadStore:
      if (now < m_next_bootstrap_read) return;
      m_next_bootstrap_read = now + kSecond;
      return m_configuration_sync.Plan().RequestStoreRead(now);
    case ConfigurationBootstrap::Step::kApplyCandidate:
      m_overlay_nodes.clear();
      return m_configuration.ApplyCandidate();
    case ConfigurationBootstrap::Step::kWaitForSeeds:
    case ConfigurationBootstrap::Step::kWaitForPeers:
    case ConfigurationBootstrap::Step::kFetchFromPeer:
      return;
  }
}

void ControlService::TickDrain(TimePoint now) {
  if (const std::optional<bool> header = m_context.owner.PopDrainHeader()) {
    m_drain.OnDrainHeader(*header, now);
    m_probe.OnDrainHeader(now);
  }
  m_probe.Tick(now);
  m_context.owner.SetListedAsLeaving(m_membership.IsListedAsLeaving(m_self.id));
  // Only changes are passed on: the owner evaluates the drain header itself, and a repeated value
  // would override it.
  if (std::exchange(m_was_leaving, m_drain.IsLeaving()) != m_drain.IsLeaving()) {
    m_context.owner.SetBackendLeaving(m_drain.IsLeaving());
  }
  const bool is_draining = m_context.owner.IsDraining();
  if (is_draining == m_announced_draining) return;
  m_announced_draining = is_draining;
  const wire::OwnerState state = m_context.owner.State();
  m_context.router.RecordOwnerState(m_self.id, state);
  m_membership.RecordStatement(StatementFrom(m_self.id, state));
  m_view_changed = true;
  m_announce = true;
}

void ControlService::TickPause(TimePoint now) {
  if (m_context.gate.OnTick(now)) StartRefresh(now);
  if (!m_context.gate.IsRefreshing()) return;
  const FetchPlan& plan = m_configuration_sync.Plan();
  const bool is_behind = plan.HighestKnown() > plan.Held();
  const bool is_fresh = m_refresh_answered && !is_behind;
  if (!is_fresh && now < m_refresh_until) return;
  m_context.gate.Open();
  EventLine(LogPart::kNode, LogLevel::kInfo, "view_refreshed")
      .With("outcome", is_fresh ? "from_peer" : "timeout");
}

void ControlService::StartRefresh(TimePoint now) {
  LogEvent(LogPart::kNode, LogLevel::kWarning, "view_stale");
  m_refresh_until = now + kRefreshTimeout;
  m_refresh_answered = false;
  ++m_refresh_id;
  std::vector<BackendServerId> peers = m_links.Connected(now);
  const auto distance = [this](const BackendServerId& peer) {
    const FleetNode node = PeerNode(peer);
    if (node.data_centre == m_self.data_centre) return 0;
    return node.region == m_self.region ? 1 : 2;
  };
  std::stable_sort(peers.begin(), peers.end(), [&](const auto& left, const auto& right) {
    return distance(left) < distance(right);
  });
  peers.resize(std::min(peers.size(), kRefreshPeers));
  for (const BackendServerId& peer : peers) {
    wire::Gossip gossip = OwnGossip();
    gossip.set_refresh_id(m_refresh_id);
    SendGossip(peer, std::move(gossip), now);
  }
}

wire::Gossip ControlService::OwnGossip() const {
  wire::Gossip gossip;
  const wire::OwnerState state = m_context.owner.State();
  wire::PeerState& own = *gossip.add_peers();
  own.set_server_id(m_self.id.Value());
  own.set_incarnation(state.incarnation());
  own.set_sequence(state.clock_us());
  own.set_draining(state.draining());
  own.set_configuration_version(state.configuration_version());
  own.set_started_ms(state.started_ms());
  own.set_store_unreachable(m_reader_duty.IsUnable());
  gossip.set_vm_list_version(m_vm_list.HeldVersion());
  gossip.set_known_vm_list_version(m_vm_list_sync.Plan().HighestKnown());
  m_evacuations.AddTo(gossip);
  // The version of a declaration file is local to this node, so it is not sent to peers.
  if (!m_context.settings.declaration_file.empty()) return gossip;
  gossip.set_configuration_version(m_configuration.HeldVersion());
  gossip.set_known_configuration_version(m_configuration_sync.Plan().HighestKnown());
  return gossip;
}

void ControlService::AddStatement(wire::Gossip& gossip, const BackendServerId& server) const {
  const std::optional<PeerStatement> statement = m_membership.StatementOf(server);
  if (!statement || server == m_self.id) return;
  wire::PeerState& state = *gossip.add_peers();
  state.set_server_id(server.Value());
  state.set_incarnation(statement->incarnation.value);
  state.set_sequence(statement->sequence);
  state.set_draining(statement->draining);
  state.set_configuration_version(statement->configuration_version);
  state.set_started_ms(statement->started_ms);
  state.set_store_unreachable(statement->store_unreachable.value_or(false));
}

void ControlService::SendGossip(const BackendServerId& peer, wire::Gossip gossip, TimePoint now) {
  wire::Envelope message;
  *message.mutable_gossip() = std::move(gossip);
  m_links.Send(peer, std::move(message), now);
}

void ControlService::AnnounceToAll(TimePoint now) {
  for (const BackendServerId& peer : m_links.Connected(now)) SendGossip(peer, OwnGossip(), now);
}

void ControlService::TickGossip(TimePoint now) {
  const AnnouncedVersions versions{m_configuration_sync.Plan().HighestKnown(),
                                   m_vm_list.HeldVersion(), m_evacuations.ChangedAt()};
  if (std::exchange(m_announce, false)) AnnounceToAll(now);
  const bool is_due = now >= m_next_gossip;
  if (is_due) m_next_gossip = now + kGossipPeriod;
  for (const BackendServerId& neighbour : m_gossip_queue.Neighbours()) {
    const bool has_pending = m_gossip_queue.HasPending(neighbour);
    AnnouncedVersions& announced = m_announced[neighbour];
    const bool has_newer_version = announced != versions;
    if (!is_due && !has_newer_version && !has_pending) continue;
    wire::Gossip gossip = OwnGossip();
    if (!m_gossip_budget.TryConsume(gossip.ByteSizeLong(), now)) break;
    announced = versions;
    for (const BackendServerId& server : m_gossip_queue.Pop(neighbour, kStatementsPerGossip)) {
      AddStatement(gossip, server);
    }
    SendGossip(neighbour, std::move(gossip), now);
  }
  if (m_reader_duty.HasToAskPeers() && now >= m_next_version_query) QueryVersions(now);
  if (now < m_next_wide_gossip) return;
  m_next_wide_gossip = now + kWideGossipPeriod;
  AnnounceToAll(now);
}

void ControlService::OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state) {
  const auto handle = [this, peer, state] {
    const TimePoint now = MonotonicNow();
    m_links.OnLinkUp(peer);
    EventLine(LogPart::kLink, LogLevel::kInfo, "peer_linked").With("server", peer.Value());
    m_membership.OnLinkUp(peer);
    OnPeerStatement(StatementFrom(peer, state), peer);
    RecordPeerVersions(peer, state.configuration_version(), std::nullopt, now);
    m_gossip_queue.Reset(peer, m_membership.DrainingServers());
    m_view_changed = true;
    wire::Gossip gossip = OwnGossip();
    const bool is_control_peer =
        std::find(m_control_peers.begin(), m_control_peers.end(), peer) != m_control_peers.end();
    if (m_reader_duty.HasToAskPeers() && is_control_peer) gossip.set_refresh_id(kVersionQueryId);
    SendGossip(peer, std::move(gossip), now);
  };
  QMetaObject::invokeMethod(this, handle, Qt::QueuedConnection);
}

void ControlService::OnLinkDown(const BackendServerId& peer) {
  const auto handle = [this, peer] {
    m_links.OnLinkDown(peer);
    EventLine(LogPart::kLink, LogLevel::kInfo, "peer_lost").With("server", peer.Value());
    if (m_links.IsWanted(peer)) {
      m_membership.OnLinkDown(peer);
    } else {
      m_membership.OnLinkClosed(peer);
    }
    m_configuration_sync.Plan().RemovePeer(peer);
    m_vm_list_sync.Plan().RemovePeer(peer);
    m_view_changed = true;
  };
  QMetaObject::invokeMethod(this, handle, Qt::QueuedConnection);
}

void ControlService::OnSendFailed(const BackendServerId& peer, wire::Envelope message) {
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  const auto handle = [this, peer, shared] {
    m_links.SendOnAccepted(peer, std::move(*shared), MonotonicNow());
  };
  QMetaObject::invokeMethod(this, handle, Qt::QueuedConnection);
}

void ControlService::OnPeerState(const BackendServerId& peer, const wire::OwnerState& state) {
  const auto handle = [this, peer, state] {
    OnPeerStatement(StatementFrom(peer, state), peer);
    RecordPeerVersions(peer, state.configuration_version(), std::nullopt, MonotonicNow());
  };
  QMetaObject::invokeMethod(this, handle, Qt::QueuedConnection);
}

void ControlService::HandleMessage(const ReplyRoute& route, wire::Envelope message) {
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  const auto handle = [this, route, shared] {
    const TimePoint now = MonotonicNow();
    m_links.RecordRoute(route, now);
    if (shared->has_gossip()) return HandleGossip(route, shared->gossip(), now);
    const bool is_list = shared->has_configuration_query()
                             ? shared->configuration_query().document() == wire::DOCUMENT_VM_LIST
                             : shared->configuration_part().document() == wire::DOCUMENT_VM_LIST;
    DocumentSync& sync = is_list ? m_vm_list_sync : m_configuration_sync;
    if (shared->has_configuration_part()) {
      return sync.HandlePart(route.peer, shared->configuration_part(), now);
    }
    if (!shared->has_configuration_query()) return;
    if (!is_list && !m_context.settings.declaration_file.empty()) return;
    m_links.Send(route.peer, sync.AnswerQuery(shared->configuration_query()), now);
  };
  QMetaObject::invokeMethod(this, handle, Qt::QueuedConnection);
}

void ControlService::HandleGossip(const ReplyRoute& route, const wire::Gossip& gossip,
                                  TimePoint now) {
  for (const wire::PeerState& state : gossip.peers()) {
    if (state.server_id() != m_self.id.Value()) OnPeerStatement(StatementFrom(state), route.peer);
  }
  RecordPeerVersions(route.peer, gossip.configuration_version(), gossip.vm_list_version(), now);
  m_configuration_sync.Plan().RecordReportedVersion(gossip.known_configuration_version(), now);
  m_vm_list_sync.Plan().RecordReportedVersion(gossip.known_vm_list_version(), now);
  m_evacuations.HandleGossip(gossip);
  if (gossip.answers_refresh_id() == m_refresh_id) m_refresh_answered = true;
  if (gossip.refresh_id() == 0) return;
  wire::Gossip reply = OwnGossip();
  reply.set_answers_refresh_id(gossip.refresh_id());
  for (const BackendServerId& server : m_membership.DrainingServers()) AddStatement(reply, server);
  SendGossip(route.peer, std::move(reply), now);
}

void ControlService::OnPeerStatement(const PeerStatement& statement, const BackendServerId& from) {
  if (!m_membership.RecordStatement(statement)) return;
  m_gossip_queue.Enqueue(statement.server, from);
  m_view_changed = true;
  m_readers_changed = true;
}

void ControlService::RecordPeerVersions(const BackendServerId& peer, std::uint64_t configuration,
                                        std::optional<std::uint64_t> vm_list, TimePoint now) {
  const FleetNode node = PeerNode(peer);
  m_configuration_sync.Plan().RecordPeerVersion(node, configuration, now);
  if (vm_list) m_vm_list_sync.Plan().RecordPeerVersion(node, *vm_list, now);
}

FleetNode ControlService::PeerNode(const BackendServerId& peer) const {
  if (const std::optional<FleetNode> node = m_membership.FindNode(peer)) return *node;
  // Without an active configuration, the peers are found in the nodes of the candidate.
  const auto found = std::find_if(m_overlay_nodes.begin(), m_overlay_nodes.end(),
                                  [&](const FleetNode& node) { return node.id == peer; });
  return found == m_overlay_nodes.end() ? FleetNode{peer, {}, {}} : *found;
}

void ControlService::CountSent(const BackendServerId& peer, BytePurpose purpose, bool is_control,
                               std::size_t bytes) {
  if (is_control) m_context.metrics.Add(Metric::kControlBytesSent, bytes);
  const std::shared_ptr<const LocationMap> locations = m_locations.load();
  if (!locations) return;
  const auto location = locations->find(peer);
  if (location == locations->end()) return;
  const FleetNode& node = location->second;
  if (node.data_centre != m_self.data_centre) {
    m_context.metrics.CountDataCentreBytes(purpose, bytes);
  }
  const bool is_far = node.region != m_self.region;
  if (is_control && is_far) m_context.metrics.Add(Metric::kControlPaidLinkBytes, bytes);
}

void ControlService::AddStatus(QJsonObject& status) const {
  const FetchPlan& plan = m_configuration_sync.Plan();
  const std::string_view role = ReaderRoleName(plan.Role());
  QJsonObject configuration = m_configuration.Status();
  configuration.insert("role", QString::fromUtf8(role.data(), static_cast<qsizetype>(role.size())));
  configuration.insert("highest_known_version", static_cast<qint64>(plan.HighestKnown()));
  configuration.insert("service_failure",
                       QString::fromStdString(m_configuration_sync.StoreFailure()));
  if (m_declaration) {
    configuration.insert("unreadable_entries",
                         static_cast<qint64>(m_declaration->unreadable_entries));
    configuration.insert("clamped_values", static_cast<qint64>(m_declaration->clamped_values));
  }
  status.insert("configuration", configuration);
  QJsonObject list;
  const HistoryPosition position = PositionOf(m_vm_list.HeldVersion());
  list.insert("epoch", static_cast<qint64>(position.epoch));
  list.insert("version", static_cast<qint64>(position.revision));
  list.insert("doubted", m_membership.IsListSuspect());
  list.insert("service_failure", QString::fromStdString(m_vm_list_sync.StoreFailure()));
  status.insert("vm_list", list);
  if (m_declaration) {
    m_evacuations.AddStatus(status, *m_declaration, m_context.owner.State().in_flight());
  }
  status.insert("backend_server_leaving", m_drain.IsLeaving());
  status.insert("view_refreshing", m_context.gate.IsRefreshing());
  status.insert("peers", m_membership.Status());
}

}  // namespace damaskhollow
