#ifndef DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_
#define DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

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

// How long an instance that has left is remembered. Covers the age of a copy that the service is
// restored from, and the time after which the service removes an entry that nobody renews.
inline constexpr std::chrono::seconds kDepartureMemory{20};

// Retains servers that disappear from a live inventory without notice for a grace period. Each node
// does so locally, from when it first sees the removal, so that a node never restores a server that
// another node has already removed. Also keeps what a service that is restored from an older copy
// has forgotten: an instance that was leaving or gone in an earlier epoch does not return to use,
// and servers that the copy lacks are retained like those of a mass removal. Not thread-safe.
class InventoryRetention {
 public:
  // Sets the list as it was read. A removed server is not retained if the previous list had it as
  // leaving, or if its VM is listed with another instance.
  void Update(const VmList& read, TimePoint now);

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

  // One incarnation of a backend server, by its name and its start in ms since the epoch.
  using IncarnationKey = std::pair<std::string, std::uint64_t>;

  struct Departure {
    std::uint64_t epoch = 0;  // Of the list that announced it.
    bool is_gone = false;     // Removed from the list; otherwise leaving.
    TimePoint forget_at{};
  };

  static IncarnationKey KeyOf(const BackendServer& server) {
    return {server.instance, server.started_ms};
  }
  // Returns the departure in an epoch before that of `list`, or null if there is none.
  const Departure* EarlierDeparture(const BackendServer& server, std::uint64_t epoch) const;
  // Forgets departures that are too long ago, and those of incarnations that `list`, as it was
  // read, lacks in a later epoch: an entry that comes after that has been written again.
  void ForgetDepartures(const VmList& list, TimePoint now);
  // Returns `list` without the instances that had left in an earlier epoch; those that were leaving
  // are leaving still.
  VmList WithoutForgottenDepartures(const VmList& list) const;
  // Remembers the instances that are leaving or missing in `list`, compared with the previous list.
  void RecordDepartures(const VmList& list, TimePoint now);

  std::map<IncarnationKey, Departure> m_departures;
  VmList m_list;
  std::map<BackendServerId, Retained> m_retained;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_INVENTORYRETENTION_H_
