#ifndef DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_
#define DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_

#include <map>
#include <optional>

#include "base/time.h"
#include "configuration/vmlist.h"

namespace damaskhollow {

// How long a server that was removed from a live inventory without notice is still used. Covers an
// outage of the store that no reader noticed. A leaving server goes on serving for 2.5 s in the
// supported platforms; the rest of that time is left for propagation of the removal and queued
// calls.
inline constexpr std::chrono::milliseconds kRemovalGrace{1000};

// The same if many servers were removed at once. Entries that expired during an outage of the store
// are restored within 2 s of its return, a bound guaranteed by the platform.
inline constexpr std::chrono::milliseconds kMassRemovalGrace{2000};

// Retains servers that disappear from a live inventory without notice for a grace period. Each node
// does so locally, from when it first sees the removal, so that a node never restores a server that
// another node has already removed. Not thread-safe.
class InventoryRetention {
 public:
  // Sets the list as it was read. A removed server is not retained if the previous list had it as
  // leaving, or if its VM is listed with another instance.
  void Update(const VmList& list, TimePoint now);

  // Returns the last list plus the servers that are retained at `now`.
  VmList Current(TimePoint now) const;

  // Returns when the grace period of the next server ends; nullopt if none is retained.
  std::optional<TimePoint> NextExpiry() const;

  // Removes the servers whose grace period has ended.
  void RemoveExpired(TimePoint now);

 private:
  struct Retained {
    BackendServer server;
    TimePoint until{};
  };

  VmList m_list;
  std::map<BackendServerId, Retained> m_retained;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_
