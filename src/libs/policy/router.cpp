#include "policy/router.h"

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

namespace damaskhollow {

namespace {

// Load reports that arrive within this time after the start of an ingress come from its initial
// connections. They do not show that a server has just started, so such a server gets no slow
// start.
constexpr std::chrono::seconds kInitialConnectTime{5};
constexpr int kTypicalSmoothing = 64;
// Estimated size of the head and framing of a call, in addition to its body.
constexpr std::size_t kCallOverheadBytes = 512;
constexpr std::size_t kNearTiers = 2;
// A call leaves the data centre only if that saves at least this part, as a divisor, of the time
// that it has or would take.
constexpr int kWorthwhileSavingDivisor = 4;

std::size_t ServersInRegion(const Declaration& declaration, const RegionId& region) {
  return static_cast<std::size_t>(
      std::count_if(declaration.backend_servers.begin(), declaration.backend_servers.end(),
                    [&](const BackendServer& server) { return server.region == region; }));
}

// Returns the other regions to which routes restrict calls of the service. A subset that is chosen
// over all other regions may lack servers of these.
std::set<RegionId> RequiredRegions(const Declaration& declaration, const ServiceId& service,
                                   const RegionId& own) {
  std::set<RegionId> regions;
  for (const Route& route : declaration.routes) {
    if (route.allowed_regions.empty()) continue;
    const bool leads_here =
        std::any_of(route.parts.begin(), route.parts.end(),
                    [&](const RoutePart& part) { return part.service == service; });
    if (leads_here) regions.insert(route.allowed_regions.begin(), route.allowed_regions.end());
  }
  regions.erase(own);
  return regions;
}

}  // namespace

Router::Router(std::string_view strategy, NodeLocation location, std::uint64_t seed)
    : m_location(std::move(location)), m_random(seed), m_strategy(MakeRoutingStrategy(strategy)) {}

void Router::SetDeclaration(std::shared_ptr<const Declaration> declaration, TimePoint now) {
  m_declaration = std::move(declaration);
  if (!m_started) m_started = now;
  std::unordered_map<BackendServerId, ServiceId> previous_services;
  for (auto& [id, state] : m_servers) {
    previous_services[id] = std::exchange(state.service, ServiceId());
  }
  for (const BackendServer& server : m_declaration->backend_servers) {
    ServerState& state = m_servers[server.id];
    // A score belongs to one subset and its location is fixed, so a server whose service or
    // location changes gets a new score.
    const bool moved =
        state.score && (m_scores[*state.score].Tier() != TierOf(m_location, server) ||
                        m_scores[*state.score].Region() != server.region ||
                        previous_services[server.id] != server.service);
    if (moved) ReleaseScore(state);
    state.service = server.service;
  }
  for (auto& entry : m_servers) {
    if (entry.second.service.IsEmpty()) ReleaseScore(entry.second);
  }
  std::erase_if(m_servers, [](const auto& entry) { return entry.second.service.IsEmpty(); });
  // There may be thousands of services.
  std::unordered_set<std::string_view> services;
  for (const Service& service : m_declaration->services) services.insert(service.id.Value());
  std::erase_if(m_subsets,
                [&services](const auto& entry) { return !services.contains(entry.first.Value()); });
  for (const Service& service : m_declaration->services) RebuildSubset(service, now);
  const std::size_t nodes =
      std::max<std::size_t>(ServersInRegion(*m_declaration, m_location.region), 1);
  m_paid_link.SetRate(static_cast<double>(m_declaration->budgets.paid_link_bytes_per_second) /
                          static_cast<double>(nodes),
                      now);
}

void Router::RebuildSubset(const Service& service, TimePoint now) {
  std::vector<const BackendServer*> servers = m_declaration->ServersOf(service.id);
  const std::size_t size = SubsetSize(service, servers.size());
  const bool is_listed = !servers.empty();
  std::erase_if(servers, [this](const BackendServer* server) {
    return m_declaration->IsEvacuated(server->data_centre);
  });
  const bool is_evacuated = is_listed && servers.empty();
  std::erase_if(servers,
                [this](const BackendServer* server) { return !m_servers.at(server->id).eligible; });
  std::vector<const BackendServer*> chosen = SelectSubset(m_location, size, servers);
  AddServersOfRegions(RequiredRegions(*m_declaration, service.id, m_location.region), m_location,
                      servers, chosen);
  ServiceSubset& subset = m_subsets[service.id];
  subset.is_evacuated = is_evacuated;
  const auto previous = std::exchange(subset.tiers, {});
  for (const BackendServer* server : chosen) {
    ServerState& state = m_servers.at(server->id);
    const std::size_t index = state.score ? *state.score : AddScore(*server, state, now);
    subset.tiers[static_cast<std::size_t>(TierOf(m_location, *server))].push_back(index);
  }
  for (const std::vector<std::size_t>& tier : previous) {
    for (const std::size_t index : tier) {
      // The index of a released score may have been reused for another server.
      const auto found = m_servers.find(m_scores[index].Id());
      if (found == m_servers.end() || found->second.service != service.id) continue;
      if (found->second.score == index && !subset.Contains(index)) ReleaseScore(found->second);
    }
  }
}

std::size_t Router::AddScore(const BackendServer& server, ServerState& state, TimePoint now) {
  ServerScore score(server.id, TierOf(m_location, server), server.id == m_location.server,
                    server.region);
  score.SetReachable(state.reachable, now);
  if (m_free_scores.empty()) {
    m_scores.push_back(std::move(score));
    state.score = m_scores.size() - 1;
  } else {
    state.score = m_free_scores.back();
    m_free_scores.pop_back();
    m_scores[*state.score] = std::move(score);
  }
  return *state.score;
}

void Router::ReleaseScore(ServerState& state) {
  if (!state.score) return;
  m_free_scores.push_back(*state.score);
  state.score.reset();
}

ServerScore* Router::FindScore(const BackendServerId& server) {
  const auto found = m_servers.find(server);
  if (found == m_servers.end() || !found->second.score) return nullptr;
  return &m_scores[*found->second.score];
}

const ServerScore* Router::FindScore(const BackendServerId& server) const {
  const auto found = m_servers.find(server);
  if (found == m_servers.end() || !found->second.score) return nullptr;
  return &m_scores[*found->second.score];
}

void Router::SetEligible(const BackendServerId& server, bool eligible, TimePoint now) {
  ServerState& state = m_servers[server];
  if (state.eligible == eligible) return;
  state.eligible = eligible;
  if (!m_declaration || state.service.IsEmpty()) return;
  RebuildSubset(*m_declaration->FindService(state.service), now);
}

void Router::SetReachable(const BackendServerId& server, bool reachable, TimePoint now) {
  m_servers[server].reachable = reachable;
  if (ServerScore* score = FindScore(server)) score->SetReachable(reachable, now);
}

void Router::RecordLoad(const BackendServerId& server, const ReportedLoad& load, TimePoint now) {
  ServerScore* score = FindScore(server);
  if (score == nullptr) return;
  score->RecordLoad(load, m_started && now - *m_started > kInitialConnectTime, now);
}

void Router::RecordSent(const BackendServerId& server, CallId attempt, std::size_t priority_index,
                        TimePoint now) {
  if (ServerScore* score = FindScore(server)) score->RecordSent(attempt, priority_index, now);
}

void Router::RecordEnded(const BackendServerId& server, CallId attempt, AttemptResult result,
                         TimePoint now) {
  ServerScore* score = FindScore(server);
  if (score == nullptr) return;
  ServiceSubset& subset = m_subsets.at(m_servers.at(server).service);
  score->RecordEnded(attempt, result, CanSuspend(subset), now);
  if (result != AttemptResult::kAnswered) return;
  const Duration service_time = score->Load().service_time;
  Duration& typical = subset.typical_service_time;
  typical =
      typical.count() == 0 ? service_time : typical + (service_time - typical) / kTypicalSmoothing;
}

bool Router::CanSuspend(const ServiceSubset& subset) const {
  std::size_t ejected = 0;
  for (const std::vector<std::size_t>& tier : subset.tiers) {
    for (const std::size_t index : tier) ejected += m_scores[index].IsEjected() ? 1 : 0;
  }
  return (ejected + 1) * 2 <= subset.Size();
}

void Router::RecordPaidLinkBytes(std::size_t bytes, TimePoint now) {
  m_paid_link.Spend(bytes, now);
}

RoutingChoice Router::Choose(const RoutingRequest& request, TimePoint now) {
  RoutingChoice choice = SelectServer(request, now);
  ChargePaidLink(request, choice, now);
  return choice;
}

void Router::ChargePaidLink(const RoutingRequest& request, const RoutingChoice& choice,
                            TimePoint now) {
  if (choice.crosses_regions) m_paid_link.Spend(request.bytes + kCallOverheadBytes, now);
}

bool Router::MayCrossRegions(const RoutingRequest& request) const {
  return request.may_cross_regions || !IsRegionAllowed(request.allowed_regions, m_location.region);
}

RoutingChoice Router::SelectServer(const RoutingRequest& request, TimePoint now) {
  const auto found = m_subsets.find(request.service);
  if (found == m_subsets.end()) return RoutingChoice{Reason::kNoServer, {}, false};
  if (found->second.is_evacuated) return RoutingChoice{Reason::kEvacuated, {}, false};
  const bool may_cross = MayCrossRegions(request);
  const bool has_room = may_cross && m_paid_link.HasRoom(now);
  const RoutingPool pool(m_scores, found->second, request, has_room ? kTierCount : kNearTiers);
  const std::optional<std::size_t> picked = m_strategy->Pick(pool, m_random, now);
  if (!picked) {
    const bool lacks_bytes = may_cross && !has_room && HasOpenRemoteServer(pool);
    return RoutingChoice{lacks_bytes ? Reason::kPaidLinkBudget : Reason::kNoServer, {}, false};
  }
  const ServerScore& score = m_scores[*picked];
  const bool crosses = score.Tier() == ServerTier::kOtherRegion;
  return RoutingChoice{
      Reason::kNone, score.Id(), crosses,
      score.ExpectedDelay(request.priority_index, found->second.typical_service_time, now),
      score.ReportAge(now)};
}

std::vector<BackendServerId> Router::ServersToQuery(const RoutingRequest& request, QueryScope scope,
                                                    std::size_t max_servers, TimePoint now) {
  const auto found = m_subsets.find(request.service);
  if (found == m_subsets.end()) return {};
  const RoutingPool pool(m_scores, found->second, request, kNearTiers);
  const ServerTier queried_tier =
      scope == QueryScope::kOwnDataCentre ? ServerTier::kOwnDataCentre : ServerTier::kOwnRegion;
  std::vector<std::size_t> open;
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
    for (const std::size_t index : pool.Tier(tier)) {
      ServerScore& score = pool.Score(index);
      score.Refresh(now);
      if (!pool.IsOpen(index)) continue;
      if (score.CurrentState() == ServerScore::State::kTrialDue) return {};
      if (score.CurrentState() != ServerScore::State::kNormal) continue;
      if (score.Tier() != queried_tier) continue;
      const double share = score.RampShare(now);
      if (share >= 1.0 || m_random.Unit() < share) open.push_back(index);
    }
  }
  // Queries a random sample of a large subset, so that ingresses do not all query the same owners.
  for (std::size_t index = 0; index < std::min(max_servers, open.size()); ++index) {
    std::swap(open[index], open[index + m_random.Below(open.size() - index)]);
  }
  if (open.size() > max_servers) open.resize(max_servers);
  std::vector<BackendServerId> servers;
  servers.reserve(open.size());
  for (const std::size_t index : open) servers.push_back(m_scores[index].Id());
  return servers;
}

std::optional<Router::Offer> Router::BestOffer(std::span<const LoadEstimate> estimates,
                                               bool in_own_data_centre) const {
  std::optional<Offer> best;
  for (const LoadEstimate& estimate : estimates) {
    const ServerScore* score = FindScore(estimate.server);
    if (score == nullptr || !score->IsOpen() || estimate.refuses) continue;
    if ((score->Tier() == ServerTier::kOwnDataCentre) != in_own_data_centre) continue;
    const Duration expected = estimate.expected + score->RoundTrip();
    if (best && expected >= best->expected) continue;
    best = Offer{*m_servers.at(estimate.server).score, expected};
  }
  return best;
}

bool Router::HasGoodEstimate(const RoutingRequest& request,
                             std::span<const LoadEstimate> estimates) const {
  const std::optional<Offer> own = BestOffer(estimates, true);
  return own && own->expected * 2 <= request.target_left;
}

RoutingChoice Router::ChooseAmong(const RoutingRequest& request,
                                  std::span<const LoadEstimate> estimates, TimePoint now) {
  const auto found = m_subsets.find(request.service);
  const std::optional<Offer> own = BestOffer(estimates, true);
  const std::optional<Offer> near = BestOffer(estimates, false);
  const bool is_refused =
      std::any_of(estimates.begin(), estimates.end(),
                  [](const LoadEstimate& estimate) { return estimate.refuses; });
  if (!own && !near && is_refused) {
    std::vector<BackendServerId> excluded(request.excluded.begin(), request.excluded.end());
    for (const LoadEstimate& estimate : estimates) excluded.push_back(estimate.server);
    RoutingRequest others = request;
    others.excluded = excluded;
    return ChooseOtherRegion(others, Duration::max(), now)
        .value_or(RoutingChoice{Reason::kQueueFullTime, {}});
  }
  if ((!own && !near) || found == m_subsets.end()) return Choose(request, now);
  const Offer best = own && near ? PreferOwn(*own, *near, request.target_left) : own ? *own : *near;
  if (best.expected > request.target_left) {
    if (const auto other = ChooseOtherRegion(request, best.expected, now)) return *other;
  }
  return RoutingChoice{Reason::kNone, m_scores[best.score].Id(), false, best.expected, Duration(0)};
}

std::optional<RoutingChoice> Router::ChooseOtherRegion(const RoutingRequest& request,
                                                       Duration latest, TimePoint now) {
  if (!MayCrossRegions(request) || !m_paid_link.HasRoom(now)) return std::nullopt;
  RoutingRequest anywhere = request;
  anywhere.target_left = Duration(0);  // No server of the region can meet the target.
  const RoutingChoice other = SelectServer(anywhere, now);
  if (!other.crosses_regions || other.expected_delay >= latest) return std::nullopt;
  ChargePaidLink(request, other, now);
  return other;
}

Router::Offer Router::PreferOwn(const Offer& own, const Offer& near, Duration target_left) {
  if (near.expected >= own.expected) return own;
  const bool near_is_in_time = near.expected <= target_left;
  if (own.expected > target_left && near_is_in_time) return near;
  const Duration least_saving = std::max(own.expected, target_left) / kWorthwhileSavingDivisor;
  return own.expected - near.expected >= least_saving ? near : own;
}

bool Router::HasOpenRemoteServer(const RoutingPool& pool) const {
  const std::span<const std::size_t> far =
      pool.Tier(static_cast<std::size_t>(ServerTier::kOtherRegion));
  return std::any_of(far.begin(), far.end(), [&](std::size_t index) { return pool.IsOpen(index); });
}

std::vector<BackendServerId> Router::SubsetOf(const ServiceId& service) const {
  std::vector<BackendServerId> servers;
  const auto found = m_subsets.find(service);
  if (found == m_subsets.end()) return servers;
  for (const std::vector<std::size_t>& tier : found->second.tiers) {
    for (const std::size_t index : tier) servers.push_back(m_scores[index].Id());
  }
  return servers;
}

}  // namespace damaskhollow
