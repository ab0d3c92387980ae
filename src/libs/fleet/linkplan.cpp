#include "fleet/linkplan.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kIdleClose{60};

void AddUpToLimit(std::set<BackendServerId>& wanted, std::span<const BackendServerId> servers) {
  for (const BackendServerId& server : servers) {
    if (wanted.size() >= kMaxLinks) return;
    wanted.insert(server);
  }
}

}  // namespace

LinkNeeds LinkNeedsOf(const Declaration& declaration, const BackendServerId& self,
                      std::span<const ServiceId> used, const SubsetFunction& subset_of,
                      bool has_request_ids) {
  LinkNeeds needs;
  const BackendServer* own = declaration.FindServer(self);
  for (const BackendServer& server : declaration.backend_servers) {
    if (server.id == self) continue;
    needs.inventory.push_back(server.id);
    // Before a call with a request id runs, its owner may ask the other owners of its service to
    // release the id.
    const bool is_queried = has_request_ids && own != nullptr && server.service == own->service;
    if (is_queried) needs.own_service.push_back(server.id);
  }
  for (const ServiceId& service : used) {
    std::vector<BackendServerId>& subset = needs.subsets[service];
    subset = subset_of(service);
    std::erase(subset, self);
    // Any server of the service may be the home of a request id and so decide whether the request
    // may run.
    if (!has_request_ids) continue;
    for (const BackendServer* server : declaration.ServersOf(service)) {
      if (server->id != self) subset.push_back(server->id);
    }
  }
  return needs;
}

void LinkPlan::RecordUse(const ServiceId& service, TimePoint now) { m_last_use[service] = now; }

std::vector<ServiceId> LinkPlan::UsedServices(TimePoint now) const {
  std::vector<std::pair<TimePoint, ServiceId>> recent;
  for (const auto& [service, used] : m_last_use) {
    if (now - used < kIdleClose) recent.emplace_back(used, service);
  }
  // Most recently used first, so that kMaxLinks excludes the servers of the least recent services.
  std::sort(recent.begin(), recent.end(), std::greater<>());
  std::vector<ServiceId> services;
  services.reserve(recent.size());
  for (const auto& [used, service] : recent) services.push_back(service);
  return services;
}

std::set<BackendServerId> LinkPlan::Wanted(const LinkNeeds& needs, TimePoint now) const {
  if (needs.inventory.size() < kAllLinksNodes) {
    return {needs.inventory.begin(), needs.inventory.end()};
  }
  std::set<BackendServerId> wanted;
  // Set by ControlService; LinkNeedsOf leaves the control links empty.
  AddUpToLimit(wanted, needs.control);
  AddUpToLimit(wanted, needs.own_service);
  for (const ServiceId& service : UsedServices(now)) {
    const auto subset = needs.subsets.find(service);
    if (subset != needs.subsets.end()) AddUpToLimit(wanted, subset->second);
  }
  return wanted;
}

}  // namespace damaskhollow
