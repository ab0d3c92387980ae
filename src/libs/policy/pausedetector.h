#ifndef DAMASKHOLLOW_POLICY_PAUSEDETECTOR_H_
#define DAMASKHOLLOW_POLICY_PAUSEDETECTOR_H_

#include <optional>

#include "base/time.h"

namespace damaskhollow {

// A periodic tick that is later than this shows that the process was not running.
constexpr std::chrono::seconds kPauseThreshold{1};

// Detects from gaps between periodic ticks that the process was paused.
class PauseDetector {
 public:
  // Records a tick. Returns true if the process was paused since the previous one.
  bool RecordTick(TimePoint now) {
    const bool was_paused = IsOverdue(now);
    m_last_tick = now;
    return was_paused;
  }

  // Whether the process has resumed after a pause and no tick has been recorded yet. Decisions made
  // before the pause must not be acted upon until then.
  bool IsOverdue(TimePoint now) const {
    return m_last_tick.has_value() && now - *m_last_tick > kPauseThreshold;
  }

 private:
  std::optional<TimePoint> m_last_tick;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_PAUSEDETECTOR_H_
