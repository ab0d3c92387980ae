#include "configuration/inventoryhold.h"

#include <algorithm>
#include <set>
#include <vector>

namespace damaskhollow {

namespace {

// A removal of at least so many servers that are also at least this part of the inventory is taken
// for a lapse.
constexpr std::size_t kLapsedServers = 2;
constexpr std::size_t kLapsedPart = 4;  // A quarter.

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

void InventoryHold::Take(const VmList& list, TimePoint now) {
  const std::set<BackendServerId> present = ServersIn(list);
  const std::set<BackendServerId> announced = LeavingIn(m_list);
  std::vector<BackendServer> removed;
  for (const BackendServer& server : m_list.inventory.value_or(std::vector<BackendServer>())) {
    if (!present.contains(server.id) && !announced.contains(server.id)) removed.push_back(server);
  }
  const bool is_lapse =
      removed.size() >= kLapsedServers && removed.size() * kLapsedPart >= m_list.entries.size();
  const TimePoint until = now + (is_lapse ? kLapseHold : kEntryHold);
  for (BackendServer& server : removed) {
    const BackendServerId id = server.id;
    m_held.emplace(id, Held{std::move(server), until});
  }
  std::erase_if(m_held, [&](const auto& held) { return present.contains(held.first); });
  m_list = list;
}

VmList InventoryHold::Current(TimePoint now) const {
  VmList list = m_list;
  if (!list.inventory) return list;
  for (const auto& [id, held] : m_held) {
    if (held.until <= now) continue;
    list.entries.push_back({id, false});
    list.inventory->push_back(held.server);
  }
  return list;
}

std::optional<TimePoint> InventoryHold::NextEnd() const {
  std::optional<TimePoint> next;
  for (const auto& [id, held] : m_held) {
    if (!next || held.until < *next) next = held.until;
  }
  return next;
}

void InventoryHold::Expire(TimePoint now) {
  std::erase_if(m_held, [now](const auto& held) { return held.second.until <= now; });
}

}  // namespace damaskhollow
