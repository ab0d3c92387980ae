#ifndef DAMASKHOLLOW_CONFIGURATION_EVACUATIONS_H_
#define DAMASKHOLLOW_CONFIGURATION_EVACUATIONS_H_

#include <cstdint>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// The evacuated data centres as of one place in the history of the service that they are read from
// (see documentversion.h).
struct EvacuationSet {
  std::uint64_t version = 0;
  std::set<DataCentreId> data_centres;
};

// Keeps the newest known set of evacuated data centres, whether a reader or a peer reported it.
// Not thread-safe.
class EvacuationTracker {
 public:
  // Adopts a set if its version is above the known one. Returns whether the evacuated data centres
  // have changed. An older set is ignored: a peer that was cut off, or a response that was held up,
  // must not bring back an evacuation that has ended.
  bool Offer(const EvacuationSet& set, TimePoint now);

  const EvacuationSet& Current() const { return m_current; }

  // The version at which the data centres last changed; 0 before the first change. Nodes announce
  // it: versions rise with any change in the service, mostly without one of the set.
  std::uint64_t ChangedAt() const { return m_changed_at; }

  // Since when the present data centres have been in force at this node; empty before the first
  // change.
  std::optional<TimePoint> Since() const { return m_since; }

 private:
  EvacuationSet m_current;
  std::uint64_t m_changed_at = 0;
  std::optional<TimePoint> m_since;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_EVACUATIONS_H_
