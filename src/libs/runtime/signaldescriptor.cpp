#include "runtime/signaldescriptor.h"

#include <pthread.h>
#include <sys/signalfd.h>

#include <atomic>
#include <csignal>

namespace damaskhollow {

namespace {

std::atomic<pthread_t> reading_thread;
static_assert(std::atomic<pthread_t>::is_always_lock_free, "used in a signal handler");

// Runs on a thread that does not block the signal.
void PassOn(int signal) { pthread_kill(reading_thread.load(), signal); }

}  // namespace

int OpenSignalDescriptor(std::span<const int> signals) {
  reading_thread.store(pthread_self());
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  if (pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) return -1;
  struct sigaction action {};
  action.sa_handler = &PassOn;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  for (const int signal : signals) {
    if (sigaction(signal, &action, nullptr) != 0) return -1;
  }
  return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

}  // namespace damaskhollow
