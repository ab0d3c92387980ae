#include "declaration/declaration.h"

#include <algorithm>

namespace damaskhollow {

namespace {

template <class Entry, class Id>
const Entry* FindById(const std::vector<Entry>& entries, const Id& id) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const Entry& entry) { return entry.id == id; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const Region* Declaration::FindRegion(const RegionId& id) const { return FindById(regions, id); }

const Service* Declaration::FindService(const ServiceId& id) const {
  return FindById(services, id);
}

const Service* Declaration::FindServiceByHost(std::string_view host) const {
  const std::string_view name = host.substr(0, host.rfind(':'));
  for (const Service& service : services) {
    for (const std::string& declared_host : service.hosts) {
      if (declared_host == host || declared_host == name) return &service;
    }
  }
  return nullptr;
}

const Priority* Declaration::FindPriority(const PriorityId& id) const {
  return FindById(priorities, id);
}

const BackendServer* Declaration::FindServer(const BackendServerId& id) const {
  return FindById(backend_servers, id);
}

const Rule* Declaration::FindRule(const Service& service, std::string_view method,
                                  std::string_view path) {
  const Rule* best = nullptr;
  for (const Rule& rule : service.rules) {
    if (!path.starts_with(rule.path_prefix)) continue;
    const bool method_fits =
        rule.methods.empty() ||
        std::find(rule.methods.begin(), rule.methods.end(), method) != rule.methods.end();
    if (!method_fits) continue;
    if (best == nullptr || rule.path_prefix.size() > best->path_prefix.size()) best = &rule;
  }
  return best;
}

const Route* Declaration::FindRoute(std::string_view host, std::string_view path) const {
  const std::string_view name = host.substr(0, host.rfind(':'));
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host && route.host != name) continue;
    if (!path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

bool Declaration::IsEvacuated(const DataCentreId& data_centre) const {
  return std::find(evacuated_data_centres.begin(), evacuated_data_centres.end(), data_centre) !=
         evacuated_data_centres.end();
}

std::vector<const BackendServer*> Declaration::ServersOf(const ServiceId& service) const {
  std::vector<const BackendServer*> servers;
  for (const BackendServer& server : backend_servers) {
    if (server.service == service) servers.push_back(&server);
  }
  return servers;
}

}  // namespace damaskhollow
