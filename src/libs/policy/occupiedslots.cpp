#include "policy/occupiedslots.h"

#include <algorithm>
#include <chrono>

namespace damaskhollow {

namespace {

// A server that does not report its load within this time gets calls nevertheless.
constexpr std::chrono::milliseconds kMaxWait{250};

}  // namespace

void OccupiedSlots::Reset() {
  m_count.reset();
  m_awaited_since.reset();
}

void OccupiedSlots::RecordReport(std::size_t reported, std::size_t own) {
  const std::size_t unknown = reported > own ? reported - own : 0;
  m_count = std::min(m_count.value_or(unknown), unknown);
}

bool OccupiedSlots::AwaitsReport(TimePoint now) {
  if (m_count.has_value()) return false;
  if (!m_awaited_since) m_awaited_since = now;
  return now - *m_awaited_since < kMaxWait;
}

}  // namespace damaskhollow
