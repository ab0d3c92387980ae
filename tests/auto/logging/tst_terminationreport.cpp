#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>

#include "logging/terminationreport.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

// Bounds the time for which an operator misses a node that has failed.
constexpr std::chrono::milliseconds kAbortTime{5000};

struct TerminationRow {
  std::string_view name;
  bool is_stalled;  // Nobody reads the log and its pipe is full.
};

constexpr std::array kRows{TerminationRow{"log is read", false},
                           TerminationRow{"log is stalled", true}};

class Pipe {
 public:
  Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe2(m_ends.data(), O_CLOEXEC)); }
  ~Pipe() {
    for (const int end : m_ends) ::close(end);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int WriteEnd() const { return m_ends[1]; }
  // Fills the pipe until a further write would block.
  void Fill() {
    const std::string bytes(4096, ' ');
    ::fcntl(m_ends[1], F_SETFL, O_NONBLOCK);
    while (::write(m_ends[1], bytes.data(), bytes.size()) > 0) {
    }
    ::fcntl(m_ends[1], F_SETFL, 0);
  }
  std::string Read() {
    std::string bytes(4096, ' ');
    const ssize_t count = ::read(m_ends[0], bytes.data(), bytes.size());
    return bytes.substr(0, static_cast<std::size_t>(count));
  }

 private:
  std::array<int, 2> m_ends{};
};

void Throw() { throw std::runtime_error("test exception"); }

// Ends the process, as an exception that leaves a thread does.
void EndByException() noexcept { Throw(); }

// Runs in a child process.
[[noreturn]] void Fail(const Pipe& log) {
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  ::dup2(log.WriteEnd(), STDOUT_FILENO);
  InstallTerminationReport([] { return std::string("version=7"); });
  EndByException();
  std::_Exit(0);
}

// Guards against a failed process that tells neither what was thrown nor in which thread, and
// against one that never ends because nobody reads its log.
void AbortsWithReport(const TerminationRow& row) {
  Pipe log;
  if (row.is_stalled) log.Fill();
  const pid_t child = ::fork();
  if (child == 0) Fail(log);
  CPPUNIT_ASSERT(child > 0);
  int status = 0;
  const bool has_ended =
      test::WaitUntil([&] { return ::waitpid(child, &status, WNOHANG) == child; }, kAbortTime);
  if (!has_ended) ::kill(child, SIGKILL);
  CPPUNIT_ASSERT(has_ended);
  CPPUNIT_ASSERT(WIFSIGNALED(status));
  CPPUNIT_ASSERT_EQUAL(SIGABRT, WTERMSIG(status));
  if (row.is_stalled) return;
  const std::string line = log.Read();
  for (const char* field : {"time=", "event=aborted", "thread=", "type=std::runtime_error",
                            "detail=\"test exception\"", "version=7"}) {
    CPPUNIT_ASSERT_MESSAGE(line + field, line.find(field) != std::string::npos);
  }
}

const test::TableTest<TerminationRow> registration("TerminationReport", kRows, &AbortsWithReport);

}  // namespace

}  // namespace damaskhollow
