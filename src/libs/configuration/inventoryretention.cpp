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

const InventoryRetention::Departure* InventoryRetention::EarlierDeparture(
    const BackendServer& server, std::uint64_t epoch) const {
  const auto found = m_departures.find(KeyOf(server));
  return found != m_departures.end() && found->second.epoch < epoch ? &found->second : nullptr;
}

VmList InventoryRetention::WithoutForgottenDepartures(const VmList& list) const {
  VmList believed = list;
  if (!believed.inventory || m_departures.empty()) return believed;
  std::set<BackendServerId> leaving;
  std::set<BackendServerId> gone;
  for (const BackendServer& server : *believed.inventory) {
    const Departure* departure = EarlierDeparture(server, list.epoch);
    if (departure != nullptr) (departure->is_gone ? gone : leaving).insert(server.id);
  }
  std::erase_if(*believed.inventory,
                [&](const BackendServer& server) { return gone.contains(server.id); });
  std::erase_if(believed.entries,
                [&](const VmEntry& entry) { return gone.contains(entry.server); });
  for (VmEntry& entry : believed.entries) {
    entry.leaving = entry.leaving || leaving.contains(entry.server);
  }
  return believed;
}

void InventoryRetention::ForgetDepartures(const VmList& list, TimePoint now) {
  std::set<IncarnationKey> present;
  for (const BackendServer& server : list.inventory.value_or(std::vector<BackendServer>())) {
    present.insert(KeyOf(server));
  }
  std::erase_if(m_departures, [&](const auto& entry) {
    const bool is_lacking = list.epoch > entry.second.epoch && !present.contains(entry.first);
    return is_lacking || entry.second.forget_at <= now;
  });
}

void InventoryRetention::RecordDepartures(const VmList& list, TimePoint now) {
  if (!list.inventory) return;
  const std::set<BackendServerId> leaving = LeavingIn(list);
  std::set<IncarnationKey> present;
  for (const BackendServer& server : *list.inventory) {
    if (server.instance.empty()) continue;
    present.insert(KeyOf(server));
    if (leaving.contains(server.id)) {
      m_departures.try_emplace(KeyOf(server), Departure{list.epoch, false, now + kDepartureMemory});
    } else {
      m_departures.erase(KeyOf(server));
    }
  }
  // What the first list of an epoch lacks may only be missing in the copy.
  if (list.epoch != m_list.epoch || !m_list.inventory) return;
  for (const BackendServer& server : *m_list.inventory) {
    if (server.instance.empty() || present.contains(KeyOf(server))) continue;
    m_departures[KeyOf(server)] = Departure{list.epoch, true, now + kDepartureMemory};
  }
}

void InventoryRetention::Update(const VmList& read, TimePoint now) {
  ForgetDepartures(read, now);
  const VmList list = WithoutForgottenDepartures(read);
  RecordDepartures(list, now);
  const std::set<BackendServerId> present = ServersIn(list);
  const std::set<BackendServerId> announced = LeavingIn(m_list);
  std::vector<BackendServer> removed;
  for (const BackendServer& server : m_list.inventory.value_or(std::vector<BackendServer>())) {
    if (!present.contains(server.id) && !announced.contains(server.id)) removed.push_back(server);
  }
  // Epoch 0 belongs to lists that do not tell their epoch.
  const bool is_restored = list.epoch > m_list.epoch && m_list.epoch > 0;
  const bool is_mass_removal =
      is_restored || (removed.size() >= kMassRemovalServers &&
                      removed.size() * kMassRemovalDivisor >= m_list.entries.size());
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
