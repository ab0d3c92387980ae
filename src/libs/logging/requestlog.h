#ifndef DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
#define DAMASKHOLLOW_LOGGING_REQUESTLOG_H_

#include <cstdint>
#include <mutex>
#include <string_view>

#include "base/time.h"

namespace damaskhollow {

// Requests of which each line is written while no more come in a second. Beyond it, lines are
// written for a part of the requests, the same ones at every node.
inline constexpr std::uint64_t kFullyLoggedPerSecond = 100;

// Lines on failures in a second; further ones are dropped.
inline constexpr std::uint64_t kFailureLinesPerSecond = 200;

// Decides which lines on requests are written, so that logging stays bounded under a flood. May be
// used from any thread.
class RequestLog {
 public:
  // Notes a request that came in.
  void NoteRequest(TimePoint now);

  // Whether the lines on the usual course of this request are written.
  bool IsSampled(std::string_view request_id) const;

  // Whether one more line on a failure is written.
  bool TakeFailureLine(TimePoint now);

  // Failure lines that were not written.
  std::uint64_t DroppedFailureLines() const;

 private:
  void StartSecond(TimePoint now);

  mutable std::mutex m_lock;
  TimePoint m_second{};
  std::uint64_t m_requests = 0;  // In this second.
  std::uint64_t m_failures = 0;
  std::uint64_t m_dropped = 0;
  unsigned m_halvings = 0;  // One request in 2 to the power of this is sampled.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_REQUESTLOG_H_
