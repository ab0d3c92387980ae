#ifndef DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
#define DAMASKHOLLOW_LOGGING_REQUESTLOG_H_

#include <cstdint>
#include <mutex>
#include <string_view>

#include "base/time.h"

namespace damaskhollow {

// Up to this number of requests per second, every request is logged. Above it, requests are sampled
// by a hash of their id, so that a request sampled by one node is also sampled by every node with
// an equal or higher sampling rate.
inline constexpr std::uint64_t kFullyLoggedRequestsPerSecond = 100;

// Maximum number of failure lines written per second; further ones are dropped.
inline constexpr std::uint64_t kMaxFailureLinesPerSecond = 200;

// Decides which log lines about requests are written, by sampling requests and limiting the rate of
// failure lines, so that the log volume stays bounded under overload. Thread-safe.
class RequestLog {
 public:
  // Counts an incoming request towards the sampling rate.
  void RecordRequest(TimePoint now);

  // Whether the lines about the normal processing of this request are written.
  bool IsSampled(std::string_view request_id) const;

  // Returns whether one more failure line may be written in the current second, and counts it as
  // written or as dropped.
  bool TryConsumeFailureLine(TimePoint now);

  // Number of failure lines dropped by the rate limit.
  std::uint64_t DroppedFailureLines() const;

 private:
  // Starts a new window of one second if the current one is over. Its sampling rate starts from the
  // number of requests in the previous window.
  void AdvanceWindow(TimePoint now);

  mutable std::mutex m_lock;
  TimePoint m_window_start{};
  std::uint64_t m_requests = 0;  // In the current window.
  std::uint64_t m_failure_lines = 0;
  std::uint64_t m_dropped_failure_lines = 0;
  unsigned m_sampling_shift = 0;  // One request in 2^m_sampling_shift is sampled.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
