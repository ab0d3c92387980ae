#ifndef DAMASKHOLLOW_FLEET_ENTRYHOLD_H_
#define DAMASKHOLLOW_FLEET_ENTRYHOLD_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace damaskhollow {

// How long an entry that left the store without notice still counts. It covers the return of
// entries that lapsed while the store was away, and stays below the time for which a leaving
// server still serves.
inline constexpr std::chrono::milliseconds kEntryHold{1500};

// How long after its return the store may still lack entries that lapsed while it was away
// (bound of the platform).
inline constexpr std::chrono::milliseconds kReturnHold{2000};

// Decides how long entries that have vanished from the store still count. An entry that announced
// that its server leaves need not be held. Not thread-safe.
class EntryHold {
 public:
  // The store did not answer, or answered that it cannot.
  void NoteStoreFailed();
  void NoteStoreAnswered(TimePoint now);

  void NoteRemoved(const std::string& key, TimePoint now);
  void NotePresent(const std::string& key);

  // The keys whose time is over at `now`; they are forgotten.
  std::vector<std::string> TakeExpired(TimePoint now);

  // When the next key's time is over; empty if none is held.
  std::optional<TimePoint> NextEnd() const;

 private:
  std::map<std::string, TimePoint> m_until;
  bool m_store_failed = false;
  std::optional<TimePoint> m_returned;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_ENTRYHOLD_H_
