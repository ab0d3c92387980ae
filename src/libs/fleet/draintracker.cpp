#include "fleet/draintracker.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kSteadyTime{30};
constexpr std::size_t kSteadyProbes = 3;

}  // namespace

void DrainTracker::StartLeaving() {
  if (!m_leaving) m_was_down = false;
  m_leaving = true;
  m_healthy_since.reset();
  m_healthy_probes = 0;
}

void DrainTracker::OnDrainHeader(bool leaving, TimePoint) {
  if (leaving) StartLeaving();
}

void DrainTracker::OnProbe(ProbeResult result, TimePoint now) {
  if (result == ProbeResult::kLeaving) return StartLeaving();
  if (!m_leaving) return;
  if (result != ProbeResult::kHealthy) {
    m_was_down = m_was_down || result == ProbeResult::kRefused;
    m_healthy_since.reset();
    m_healthy_probes = 0;
    return;
  }
  if (!m_healthy_since) m_healthy_since = now;
  ++m_healthy_probes;
  const bool is_steady = m_healthy_probes >= kSteadyProbes && now - *m_healthy_since >= kSteadyTime;
  if (m_was_down || is_steady) m_leaving = false;
}

}  // namespace damaskhollow
