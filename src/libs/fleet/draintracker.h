#ifndef DAMASKHOLLOW_FLEET_DRAINTRACKER_H_
#define DAMASKHOLLOW_FLEET_DRAINTRACKER_H_

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace damaskhollow {

// What one probe of the own backend server showed.
enum class ProbeResult {
  kHealthy,   // Any answer but the drain status.
  kLeaving,   // The drain status.
  kRefused,   // No connection could be opened.
  kNoAnswer,  // Connected, but no answer came.
};

// Decides whether the own backend server is leaving. A health endpoint may lag, so a server that
// said that it leaves is taken back only if it was seen down and then healthy, which means that it
// restarted, or if it has been healthy for 30 s without saying so again.
class DrainTracker {
 public:
  // A call's answer carried Damaskhollow-Drain.
  void OnDrainHeader(bool leaving, TimePoint now);

  void OnProbe(ProbeResult result, TimePoint now);

  bool IsLeaving() const { return m_leaving; }

 private:
  void StartLeaving();

  bool m_leaving = false;
  bool m_was_down = false;  // Since it began to leave.
  std::optional<TimePoint> m_healthy_since;
  std::size_t m_healthy_probes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_DRAINTRACKER_H_
