// A library to preload into a program under test, for processes that are stopped in place of a
// machine that is suspended. Subtracts from CLOCK_MONOTONIC the time for which the process was
// stopped, as the kernel does for a suspended machine; all other clocks stay as they are. The
// variable SUSPENDED_CLOCK_FILE names a file of eight bytes that holds the time in nanoseconds and
// that the test keeps up to date.

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1000000000;

// The time for which the process was stopped; null without a file.
const std::atomic<std::int64_t>* MapSuspendedTime() {
  const char* path = std::getenv("SUSPENDED_CLOCK_FILE");
  if (path == nullptr) return nullptr;
  const int descriptor = ::open(path, O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) std::abort();
  void* memory = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  if (memory == MAP_FAILED) std::abort();
  return static_cast<const std::atomic<std::int64_t>*>(memory);
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): replaces the function of the C library.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const std::atomic<std::int64_t>* const suspended = MapSuspendedTime();
  const int result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (result != 0 || clock != CLOCK_MONOTONIC || suspended == nullptr) return result;
  const std::int64_t nanoseconds =
      time->tv_sec * kNanosecondsPerSecond + time->tv_nsec - suspended->load();
  time->tv_sec = nanoseconds / kNanosecondsPerSecond;
  time->tv_nsec = nanoseconds % kNanosecondsPerSecond;
  return result;
}
