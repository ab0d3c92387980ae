#include "calls/sharedrouter.h"

#include <utility>

namespace damaskhollow {

SharedRouter::SharedRouter(const std::string& strategy, NodeLocation location, std::uint64_t seed)
    : m_router(strategy, std::move(location), seed) {}

void SharedRouter::SetDeclaration(std::shared_ptr<const Declaration> declaration) {
  const std::lock_guard lock(m_lock);
  m_router.SetDeclaration(std::move(declaration), MonotonicNow());
}

void SharedRouter::SetEligible(const BackendServerId& server, bool eligible) {
  const std::lock_guard lock(m_lock);
  m_router.SetEligible(server, eligible, MonotonicNow());
}

void SharedRouter::SetReachable(const BackendServerId& server, bool reachable) {
  const std::lock_guard lock(m_lock);
  m_router.SetReachable(server, reachable, MonotonicNow());
}

void SharedRouter::RecordOwnerState(const BackendServerId& server, const wire::OwnerState& state) {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  m_clocks.RecordReading(server, Incarnation{state.incarnation()}, state.clock_us(), now);
  ReportedLoad load;
  load.incarnation = Incarnation{state.incarnation()};
  load.in_flight = state.in_flight();
  load.queued = state.queued();
  load.limit = state.limit();
  load.queue_delay = Duration(static_cast<Duration::rep>(state.queue_delay_us()));
  load.service_time = Duration(static_cast<Duration::rep>(state.service_time_us()));
  load.draining = state.draining();
  m_router.RecordLoad(server, load, now);
}

void SharedRouter::RecordSent(const BackendServerId& server, CallId attempt,
                              std::size_t priority_index) {
  const std::lock_guard lock(m_lock);
  ++m_outstanding[server];
  m_router.RecordSent(server, attempt, priority_index, MonotonicNow());
}

void SharedRouter::RecordEnded(const BackendServerId& server, CallId attempt,
                               AttemptResult result) {
  const std::lock_guard lock(m_lock);
  --m_outstanding[server];
  m_router.RecordEnded(server, attempt, result, MonotonicNow());
}

void SharedRouter::RecordPaidLinkBytes(std::size_t bytes) {
  const std::lock_guard lock(m_lock);
  m_router.RecordPaidLinkBytes(bytes, MonotonicNow());
}

std::size_t SharedRouter::Outstanding(const BackendServerId& server) const {
  const std::lock_guard lock(m_lock);
  const auto found = m_outstanding.find(server);
  return found == m_outstanding.end() ? 0 : found->second;
}

std::vector<BackendServerId> SharedRouter::SubsetOf(const ServiceId& service) const {
  const std::lock_guard lock(m_lock);
  return m_router.SubsetOf(service);
}

std::set<ServiceId> SharedRouter::PopUsedServices() {
  const std::lock_guard lock(m_lock);
  return std::exchange(m_used, {});
}

RoutingChoice SharedRouter::Choose(const RoutingRequest& request) {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  m_used.insert(request.service);
  if (m_gate != nullptr && !m_gate->IsOpen(now)) return RoutingChoice{Reason::kViewRefreshing, {}};
  return m_router.Choose(request, now);
}

std::vector<BackendServerId> SharedRouter::ServersToQuery(const RoutingRequest& request,
                                                          QueryScope scope,
                                                          std::size_t max_servers) {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  m_used.insert(request.service);
  if (m_gate != nullptr && !m_gate->IsOpen(now)) return {};
  return m_router.ServersToQuery(request, scope, max_servers, now);
}

bool SharedRouter::HasGoodEstimate(const RoutingRequest& request,
                                   std::span<const LoadEstimate> estimates) const {
  const std::lock_guard lock(m_lock);
  return m_router.HasGoodEstimate(request, estimates);
}

RoutingChoice SharedRouter::ChooseAmong(const RoutingRequest& request,
                                        std::span<const LoadEstimate> estimates) {
  const std::lock_guard lock(m_lock);
  return m_router.ChooseAmong(request, estimates, MonotonicNow());
}

std::optional<ExpiryStamp> SharedRouter::Stamp(const BackendServerId& server,
                                               Duration remaining) const {
  const std::lock_guard lock(m_lock);
  return m_clocks.Stamp(server, remaining, MonotonicNow());
}

}  // namespace damaskhollow
