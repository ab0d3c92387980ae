#include "base/time.h"

#include <ctime>

namespace damaskhollow {

TimePoint MonotonicNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);  // Fails only for an unknown clock.
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

std::uint64_t ToClockMicroseconds(TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

}  // namespace damaskhollow
