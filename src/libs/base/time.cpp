#include "base/time.h"

namespace damaskhollow {

TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::uint64_t ToClockMicroseconds(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

}  // namespace damaskhollow
