// A library to preload into a program under test, for system calls that a handled signal
// interrupts. The program must then go on as if nothing had happened. While the file named by the
// variable INTERRUPTIONS_FILE exists, SIGUSR2 is sent to each thread of the process about every
// 0.2 ms. Without the variable the library does nothing.

#include <dirent.h>
#include <pthread.h>
#include <signal.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace {

constexpr std::chrono::microseconds kSignalInterval{200};
constexpr std::chrono::milliseconds kSwitchInterval{2};

void SignalOtherThreads(DIR* threads, pid_t process, pid_t own_thread) {
  ::rewinddir(threads);
  while (const dirent* entry = ::readdir(threads)) {
    const auto thread = static_cast<pid_t>(std::strtol(entry->d_name, nullptr, 10));
    if (thread <= 0 || thread == own_thread) continue;
    ::syscall(SYS_tgkill, process, thread, SIGUSR2);
  }
}

// Opens the list of threads once, so that a process without free descriptors is interrupted too.
void SendSignals(const char* path) {
  DIR* threads = ::opendir("/proc/self/task");
  if (threads == nullptr) std::abort();
  const pid_t process = ::getpid();
  const auto own_thread = static_cast<pid_t>(::syscall(SYS_gettid));
  while (true) {
    if (::access(path, F_OK) != 0) {
      std::this_thread::sleep_for(kSwitchInterval);
      continue;
    }
    SignalOtherThreads(threads, process, own_thread);
    std::this_thread::sleep_for(kSignalInterval);
  }
}

// The sending thread blocks all signals: it starts before the program blocks those that it reads
// from a descriptor, and would otherwise take them with their default action.
__attribute__((constructor)) void StartInterruptions() {
  const char* path = std::getenv("INTERRUPTIONS_FILE");
  if (path == nullptr) return;
  struct sigaction action {};
  action.sa_handler = [](int) {};
  action.sa_flags = SA_RESTART;
  ::sigaction(SIGUSR2, &action, nullptr);
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread(SendSignals, path).detach();
  ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

}  // namespace
