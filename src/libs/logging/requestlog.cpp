#include "logging/requestlog.h"

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

constexpr unsigned kMostHalvings = 16;

}  // namespace

void RequestLog::StartSecond(TimePoint now) {
  if (now - m_second < std::chrono::seconds(1)) return;
  m_second = now;
  m_halvings = 0;
  while (m_halvings < kMostHalvings && (m_requests >> m_halvings) > kFullyLoggedPerSecond) {
    ++m_halvings;
  }
  m_requests = 0;
  m_failures = 0;
}

void RequestLog::NoteRequest(TimePoint now) {
  const std::lock_guard lock(m_lock);
  StartSecond(now);
  ++m_requests;
  if ((m_requests >> m_halvings) > kFullyLoggedPerSecond) ++m_halvings;
}

bool RequestLog::IsSampled(std::string_view request_id) const {
  const std::lock_guard lock(m_lock);
  const std::uint64_t mask = (1ULL << m_halvings) - 1;
  return (StableHash("log", request_id) & mask) == 0;
}

bool RequestLog::TakeFailureLine(TimePoint now) {
  const std::lock_guard lock(m_lock);
  StartSecond(now);
  if (m_failures >= kFailureLinesPerSecond) {
    ++m_dropped;
    return false;
  }
  ++m_failures;
  return true;
}

std::uint64_t RequestLog::DroppedFailureLines() const {
  const std::lock_guard lock(m_lock);
  return m_dropped;
}

}  // namespace damaskhollow
