#include "configuration/inventoryretention.h"

#include <algorithm>
#include <set>
#include <vector>

namespace damaskhollow {

namespace {

// The removal of at least this many servers that also make up at least this fraction of the
// inventory is treated as a mass expiry during an outage of the store.
constexpr std::size_t kMassRemovalServers = 2;
constexpr std::size_t kMassRemovalDivisor = 4;  // One quarter of the inventory.

std::set<BackendServerId> ServersIn(const VmList& list) {
  std::set<BackendServerId> servers;
  for (const VmEntry& entry : list.entries) servers.insert(entry.server);
  return servers;
}

std::set<BackendServerId> LeavingIn(const VmList& list) {
  std::set<BackendServerId> leaving;
  for (const VmEntry& entry : list.entries) {
    if (entry.leaving) leaving.insert(entry.server);
  }
  return leaving;
}

}  // namespace

void InventoryRetention::Update(const VmList& list, TimePoint now) {
  const std::set<BackendServerId> present = ServersIn(list);
  const std::set<BackendServerId> announced = LeavingIn(m_list);
  std::vector<BackendServer> removed;
  for (const BackendServer& server : m_list.inventory.value_or(std::vector<BackendServer>())) {
    if (!present.contains(server.id) && !announced.contains(server.id)) removed.push_back(server);
  }
  const bool is_mass_removal = removed.size() >= kMassRemovalServers &&
                               removed.size() * kMassRemovalDivisor >= m_list.entries.size();
  const TimePoint until = now + (is_mass_removal ? kMassRemovalGrace : kRemovalGrace);
  for (BackendServer& server : removed) {
    const BackendServerId id = server.id;
    m_retained.emplace(id, Retained{std::move(server), until});
  }
  std::erase_if(m_retained, [&](const auto& retained) { return present.contains(retained.first); });
  m_list = list;
}

VmList InventoryRetention::Current(TimePoint now) const {
  VmList list = m_list;
  if (!list.inventory) return list;
  for (const auto& [id, retained] : m_retained) {
    if (retained.until <= now) continue;
    list.entries.push_back({id, false});
    list.inventory->push_back(retained.server);
  }
  return list;
}

std::optional<TimePoint> InventoryRetention::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, retained] : m_retained) {
    if (!next || retained.until < *next) next = retained.until;
  }
  return next;
}

void InventoryRetention::RemoveExpired(TimePoint now) {
  std::erase_if(m_retained, [now](const auto& retained) { return retained.second.until <= now; });
}

}  // namespace damaskhollow
