#include "runtime/signaldescriptor.h"

#include <pthread.h>
#include <sys/signalfd.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>

namespace damaskhollow {

namespace {

std::atomic<pid_t> reading_thread;
static_assert(std::atomic<pid_t>::is_always_lock_free, "used in a signal handler");

// Runs on a thread that does not block the signal. pthread_kill() would block all signals during
// its system call, which ends a process whose system calls are answered by signals (SIGSYS).
void PassOn(int signal) {
  const int error = errno;
  ::syscall(SYS_tgkill, ::getpid(), reading_thread.load(), signal);
  errno = error;
}

}  // namespace

int OpenSignalDescriptor(std::span<const int> signals) {
  reading_thread.store(static_cast<pid_t>(::syscall(SYS_gettid)));
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  if (pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) return -1;
  struct sigaction action {};
  action.sa_handler = &PassOn;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  for (const int signal : signals) {
    if (sigaction(signal, &action, nullptr) != 0) return -1;
  }
  return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

}  // namespace damaskhollow
