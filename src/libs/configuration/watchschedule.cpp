#include "configuration/watchschedule.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// How long after a response a watch may begin to wait without asking for the epoch first. Covers
// the longest pause between a change and the next watch.
constexpr std::chrono::milliseconds kConfirmation{1500};
constexpr std::chrono::milliseconds kNoWait{1};

std::chrono::milliseconds Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

}  // namespace

void WatchSchedule::Start(const StoreRead& read, TimePoint now) {
  m_read = read;
  m_read_deadline = now + read.wait;
}

void WatchSchedule::OnResponse(bool has_change, TimePoint now) {
  if (has_change) m_last_change = now;
  if (has_change || !m_is_confirmed) m_turn_start = now;
  m_is_confirmed = true;
  m_last_response = now;
}

TimePoint WatchSchedule::NextStart() const {
  return m_last_change + std::max(kMinDelayAfterChange, m_read.pause);
}

std::chrono::milliseconds WatchSchedule::WaitAt(TimePoint now) const {
  if (!m_is_confirmed || now - m_last_response >= kConfirmation) return kNoWait;
  const std::chrono::milliseconds until_turn = Milliseconds(m_turn_start + m_read.turn - now);
  const std::chrono::milliseconds longest =
      until_turn > kNoWait ? std::min(until_turn, kMaxWatchDuration) : kMaxWatchDuration;
  return std::clamp(Milliseconds(m_read_deadline - now), kNoWait, longest);
}

}  // namespace damaskhollow
