#include "policy/paidlinkbudget.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// The bucket holds the bytes of this time at the set rate, so a region whose nodes all have full
// buckets exceeds its rate for at most this long.
constexpr double kBurstSeconds = 1.0;

}  // namespace

void PaidLinkBudget::SetRate(double bytes_per_second, TimePoint now) {
  Refill(now);
  m_rate = bytes_per_second;
  const double burst = m_rate * kBurstSeconds;
  m_level = m_has_rate ? std::min(m_level, burst) : burst;
  m_refilled_at = now;
  m_has_rate = true;
}

bool PaidLinkBudget::HasRoom(TimePoint now) {
  Refill(now);
  return m_level > 0.0;
}

void PaidLinkBudget::Spend(std::size_t bytes, TimePoint now) {
  Refill(now);
  m_level -= static_cast<double>(bytes);
}

void PaidLinkBudget::Refill(TimePoint now) {
  if (now <= m_refilled_at) return;
  const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
  m_level = std::min(m_level + m_rate * seconds, m_rate * kBurstSeconds);
  m_refilled_at = now;
}

}  // namespace damaskhollow
