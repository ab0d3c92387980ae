#include "policy/coldstartlimiter.h"

#include <algorithm>
#include <chrono>

namespace damaskhollow {

namespace {

// A server may become cold at any moment. Calls at four times the tolerated rate of 11 a second
// exceed it in this time by one burst of 8 calls.
constexpr std::chrono::milliseconds kStateMaxAge{250};
// A server whose state has not been reported for so long may have been restarted in the meantime. A
// few probes in a row may time out on a busy VM.
constexpr std::chrono::milliseconds kStateLostAfter{2000};

}  // namespace

void ColdStartLimiter::SetTolerance(const Tolerance& tolerance, TimePoint now) {
  if (tolerance == m_tolerance) return;
  const bool is_first = m_tolerance.per_second <= 0.0;
  m_tolerance = tolerance;
  if (!is_first) return;
  m_tokens = 0.0;
  m_refilled_at = now;
}

void ColdStartLimiter::RecordState(Duration cold_left, TimePoint now) {
  m_cold_until = now + cold_left;
  m_known_at = now;
}

bool ColdStartLimiter::MayBeCold(TimePoint now) const {
  if (!m_known_at || now - *m_known_at > kStateLostAfter) return true;
  return now < m_cold_until;
}

void ColdStartLimiter::Refill(TimePoint now) {
  if (now <= m_refilled_at) return;
  const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
  m_refilled_at = now;
  m_tokens = std::min(m_tokens + seconds * m_tolerance.per_second, m_tolerance.burst);
}

void ColdStartLimiter::RecordStart(TimePoint now) {
  Refill(now);
  // The debt of a warm server is bounded, so that it does not stand still for long once it is cold.
  m_tokens = std::max(m_tokens - 1.0, -m_tolerance.burst);
}

std::optional<StartLimit> ColdStartLimiter::Limit(TimePoint now) {
  if (m_tolerance.per_second <= 0.0 || !MayBeCold(now)) return std::nullopt;
  Refill(now);
  return StartLimit{m_tokens, m_tolerance.per_second};
}

bool ColdStartLimiter::NeedsState(TimePoint now) const {
  if (m_tolerance.per_second <= 0.0) return false;
  return !m_known_at || now - *m_known_at > kStateMaxAge;
}

}  // namespace damaskhollow
