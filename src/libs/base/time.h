#ifndef DAMASKHOLLOW_BASE_TIME_H_
#define DAMASKHOLLOW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace damaskhollow {

using Duration = std::chrono::microseconds;

// A reading of MonotonicNow(), not of steady_clock. Code in `policy`, `fleet` and `configuration`
// receives the time as a parameter. Unlike timers, it counts the suspension of the machine.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time in milliseconds since the Unix epoch. Used only to compare the creation times of
// request ids with the times at which processes started or were absent.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

TimePoint MonotonicNow();

WallTime WallNow();

// Converts to microseconds on the monotonic clock, the form in which an owner reports its clock to
// its peers.
std::uint64_t ToClockMicroseconds(TimePoint time);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_TIME_H_
