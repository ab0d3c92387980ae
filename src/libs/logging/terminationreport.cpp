#include "logging/terminationreport.h"

#include <cxxabi.h>
#include <poll.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdlib>
#include <exception>
#include <string_view>
#include <thread>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// Lets the thread of the log write the lines that are queued.
constexpr std::chrono::milliseconds kQueueTime{100};
constexpr std::size_t kThreadNameBytes = 16;  // Fixed by Linux.

std::function<std::string()>& Details() {
  static std::function<std::string()> details;
  return details;
}

std::string CurrentThreadName() {
  std::array<char, kThreadNameBytes> name{};
  prctl(PR_GET_NAME, name.data());
  return name.data();
}

// Returns the type and the text of the exception that is being handled.
std::pair<std::string, std::string> DescribeCurrentException() {
  if (!std::current_exception()) return {"none", ""};
  int status = 0;
  const char* mangled = abi::__cxa_current_exception_type()->name();
  char* demangled = abi::__cxa_demangle(mangled, nullptr, nullptr, &status);
  std::string type = status == 0 ? demangled : mangled;
  std::free(demangled);
  try {
    throw;
  } catch (const std::exception& error) {
    return {std::move(type), error.what()};
  } catch (...) {
    return {std::move(type), ""};
  }
}

// Gives up if the reader of standard output stalls, so that the process aborts in any case. Up to
// PIPE_BUF bytes are written without blocking once poll() tells that the pipe is writable.
void WriteLine(std::string_view text) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  int ready = 0;
  do {
    ready = ::poll(&output, 1, static_cast<int>(kQueueTime.count()));
  } while (ready < 0 && errno == EINTR);
  if (ready <= 0) return;
  text = text.substr(0, PIPE_BUF);
  while (::write(STDOUT_FILENO, text.data(), text.size()) < 0 && errno == EINTR) {
  }
}

[[noreturn]] void ReportAndAbort() {
  const auto [type, text] = DescribeCurrentException();
  const auto now = boost::posix_time::microsec_clock::universal_time();
  std::string line =
      "time=" + boost::posix_time::to_iso_extended_string(now) + "Z " +
      FormatLine(LogPart::kNode, LogLevel::kError, "aborted",
                 {{"thread", CurrentThreadName()}, {"type", type}, {"detail", text}});
  if (Details()) line.append(" ").append(Details()());
  WriteLine(line.append("\n"));
  std::this_thread::sleep_for(kQueueTime);
  std::abort();
}

}  // namespace

void InstallTerminationReport(std::function<std::string()> details) {
  Details() = std::move(details);
  std::set_terminate(&ReportAndAbort);
}

}  // namespace damaskhollow
