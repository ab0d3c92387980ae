#include "logging/requestlog.h"

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

// A window starts by sampling at least one request in 2^16.
constexpr unsigned kMaxSamplingShift = 16;

}  // namespace

void RequestLog::AdvanceWindow(TimePoint now) {
  if (now - m_window_start < std::chrono::seconds(1)) return;
  m_window_start = now;
  m_sampling_shift = 0;
  while (m_sampling_shift < kMaxSamplingShift &&
         (m_requests >> m_sampling_shift) > kFullyLoggedRequestsPerSecond) {
    ++m_sampling_shift;
  }
  m_requests = 0;
  m_failure_lines = 0;
}

void RequestLog::RecordRequest(TimePoint now) {
  const std::lock_guard lock(m_lock);
  AdvanceWindow(now);
  ++m_requests;
  if ((m_requests >> m_sampling_shift) > kFullyLoggedRequestsPerSecond) ++m_sampling_shift;
}

bool RequestLog::IsSampled(std::string_view request_id) const {
  const std::lock_guard lock(m_lock);
  const std::uint64_t mask = (1ULL << m_sampling_shift) - 1;
  return (StableHash("log", request_id) & mask) == 0;
}

bool RequestLog::TryConsumeFailureLine(TimePoint now) {
  const std::lock_guard lock(m_lock);
  AdvanceWindow(now);
  if (m_failure_lines >= kMaxFailureLinesPerSecond) {
    ++m_dropped_failure_lines;
    return false;
  }
  ++m_failure_lines;
  return true;
}

std::uint64_t RequestLog::DroppedFailureLines() const {
  const std::lock_guard lock(m_lock);
  return m_dropped_failure_lines;
}

}  // namespace damaskhollow
