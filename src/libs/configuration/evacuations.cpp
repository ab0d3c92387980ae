#include "configuration/evacuations.h"

namespace damaskhollow {

bool EvacuationTracker::Offer(const EvacuationSet& set, TimePoint now) {
  if (set.version <= m_current.version) return false;
  const bool is_changed = set.data_centres != m_current.data_centres;
  m_current = set;
  if (!is_changed) return false;
  m_changed_at = set.version;
  m_since = now;
  return true;
}

}  // namespace damaskhollow
