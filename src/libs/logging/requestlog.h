#ifndef DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
#define DAMASKHOLLOW_LOGGING_REQUESTLOG_H_

#include <cstdint>
#include <mutex>
#include <string_view>

#include "base/time.h"

namespace damaskhollow {

// Requests of which each line is written while no more come in a second. Beyond it, lines are
// written for a part of the requests, the same ones at every node.
inline constexpr std::uint64_t kFullyLoggedRequestsPerSecond = 100;

// Lines on failures in a second; further ones are dropped.
inline constexpr std::uint64_t kMaxFailureLinesPerSecond = 200;

// Decides which lines on requests are written, so that logging stays bounded under a flood. May be
// used from any thread.
class RequestLog {
 public:
  // Notes a request that came in.
  void RecordRequest(TimePoint now);

  // Whether the lines on the usual course of this request are written.
  bool IsSampled(std::string_view request_id) const;

  // Whether one more line on a failure is written.
  bool TryConsumeFailureLine(TimePoint now);

  // Failure lines that were not written.
  std::uint64_t DroppedFailureLines() const;

 private:
  void AdvanceWindow(TimePoint now);

  mutable std::mutex m_lock;
  TimePoint m_window_start{};
  std::uint64_t m_requests = 0;  // In this second.
  std::uint64_t m_failure_lines = 0;
  std::uint64_t m_dropped_failure_lines = 0;
  unsigned m_sampling_shift = 0;  // One request in 2 to the power of this is sampled.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
