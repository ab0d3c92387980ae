#include "fleet/entryhold.h"

#include <algorithm>
#include <utility>

namespace damaskhollow {

void EntryHold::NoteStoreFailed() { m_store_failed = true; }

void EntryHold::NoteStoreAnswered(TimePoint now) {
  if (std::exchange(m_store_failed, false)) m_returned = now;
}

void EntryHold::NoteRemoved(const std::string& key, TimePoint now) {
  TimePoint until = now + kEntryHold;
  if (m_returned) until = std::max<TimePoint>(until, *m_returned + kReturnHold);
  m_until.emplace(key, until);
}

void EntryHold::NotePresent(const std::string& key) { m_until.erase(key); }

std::vector<std::string> EntryHold::TakeExpired(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [key, until] : m_until) {
    if (until <= now) expired.push_back(key);
  }
  for (const std::string& key : expired) m_until.erase(key);
  return expired;
}

std::optional<TimePoint> EntryHold::NextEnd() const {
  std::optional<TimePoint> next;
  for (const auto& [key, until] : m_until) {
    if (!next || until < *next) next = until;
  }
  return next;
}

}  // namespace damaskhollow
