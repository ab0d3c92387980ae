#include <cppunit/TestAssert.h>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <string_view>
#include <thread>

#include "runtime/signaldescriptor.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

struct SignalRow {
  std::string_view name;
  bool has_other_thread;  // A thread that existed before and does not block the signal.
};

constexpr std::array kRows{
    SignalRow{"no other thread", false},
    SignalRow{"thread of another library", true},
};

// Guards against a SIGTERM that ends a node without a drain, and loses its calls, because the
// kernel gives it to a thread that a library had started before the node blocked the signal.
void ReadsSignal(const SignalRow& row) {
  std::atomic<bool> ended{false};
  std::atomic<bool> ready{!row.has_other_thread};
  std::jthread other;
  if (row.has_other_thread) {
    other = std::jthread([&] {
      sigset_t unblocked;
      sigemptyset(&unblocked);
      sigaddset(&unblocked, SIGUSR1);
      pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
      ready.store(true);
      while (!ended.load()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
  }
  CPPUNIT_ASSERT(test::WaitUntil([&] { return ready.load(); }));
  struct sigaction previous {};
  sigaction(SIGUSR1, nullptr, &previous);
  const std::array signals{SIGUSR1};
  const int descriptor = OpenSignalDescriptor(signals);
  CPPUNIT_ASSERT(descriptor >= 0);
  struct sigaction installed {};
  sigaction(SIGUSR1, nullptr, &installed);
  kill(getpid(), SIGUSR1);
  pollfd readable{descriptor, POLLIN, 0};
  // The signal of another thread interrupts poll() when it is passed on.
  CPPUNIT_ASSERT(test::WaitUntil([&] { return poll(&readable, 1, 0) == 1; }));
  signalfd_siginfo info{};
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(sizeof(info)), read(descriptor, &info, sizeof(info)));
  CPPUNIT_ASSERT_EQUAL(SIGUSR1, static_cast<int>(info.ssi_signo));
  ended.store(true);
  close(descriptor);
  sigaction(SIGUSR1, &previous, nullptr);
  // The handler must leave the signals unblocked by which a library may answer system calls.
  CPPUNIT_ASSERT_EQUAL(0, sigismember(&installed.sa_mask, SIGSYS));
}

const test::TableTest<SignalRow> registration("SignalDescriptor", kRows, &ReadsSignal);

}  // namespace

}  // namespace damaskhollow
