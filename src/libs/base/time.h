#ifndef DAMASKHOLLOW_BASE_TIME_H_
#define DAMASKHOLLOW_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace damaskhollow {

using Duration = std::chrono::microseconds;

// A reading of the process's monotonic clock. Decisions in `policy`, `fleet` and `configuration`
// get it handed in.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Milliseconds since the Unix epoch by the wall clock; used only where request ids are compared
// with restarts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Reads the monotonic clock.
TimePoint MonotonicNow();

// Reads the wall clock.
WallTime WallNow();

// Microseconds on the monotonic clock, the form in which an owner reports its clock to its peers.
std::uint64_t ToClockMicroseconds(TimePoint time);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_TIME_H_
