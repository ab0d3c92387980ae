#include "logging/terminationreport.h"

#include <cxxabi.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <cerrno>
#include <chrono>
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

void WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t count = ::write(STDOUT_FILENO, text.data(), text.size());
    if (count < 0 && errno != EINTR) return;
    if (count > 0) text.remove_prefix(static_cast<std::size_t>(count));
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
  WriteAll(line.append("\n"));
  std::this_thread::sleep_for(kQueueTime);
  std::abort();
}

}  // namespace

void InstallTerminationReport(std::function<std::string()> details) {
  Details() = std::move(details);
  std::set_terminate(&ReportAndAbort);
}

}  // namespace damaskhollow
