#ifndef DAMASKHOLLOW_FLEET_DRAINTRACKER_H_
#define DAMASKHOLLOW_FLEET_DRAINTRACKER_H_

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace damaskhollow {

// The result of one health probe of the node's own backend server.
enum class ProbeResult {
  kHealthy,     // Any HTTP response except the drain status.
  kLeaving,     // A response with the drain status.
  kRefused,     // No connection could be opened.
  kNoResponse,  // Connected, but no response arrived.
};

// Decides whether the node's own backend server is leaving. A health endpoint may lag behind, so a
// server that reported leaving counts as back only if it was down and then healthy, which means
// that it restarted, or if it has been healthy for 30 s without reporting it again. Not
// thread-safe.
class DrainTracker {
 public:
  // Handles the Damaskhollow-Drain header of a response.
  void OnDrainHeader(bool leaving, TimePoint now);

  // Handles the result of a health probe.
  void OnProbe(ProbeResult result, TimePoint now);

  bool IsLeaving() const { return m_leaving; }

 private:
  void StartLeaving();

  bool m_leaving = false;
  bool m_was_down = false;  // Whether it refused a connection since it started leaving.
  std::optional<TimePoint> m_healthy_since;
  std::size_t m_healthy_probes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_DRAINTRACKER_H_
