#include <cppunit/TestAssert.h>

#include <array>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>

#include "logging/logger.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

struct FailureRow {
  std::string_view name;
  bool throws;  // The failure leaves the stream as an exception.
};

constexpr std::array kRows{FailureRow{"output fails", false}, FailureRow{"output throws", true}};

// Fails to write the first bytes, as a full disk does.
class FailingOnce : public std::stringbuf {
 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    if (!m_has_failed) {
      m_has_failed = true;
      return 0;
    }
    return std::stringbuf::xsputn(bytes, count);
  }

 private:
  bool m_has_failed = false;
};

// Lets the log write to another buffer until it is destroyed.
class RedirectedOutput {
 public:
  explicit RedirectedOutput(std::streambuf& buffer, bool throws)
      : m_previous(std::cout.rdbuf(&buffer)) {
    if (throws) std::cout.exceptions(std::ios::badbit);
  }
  ~RedirectedOutput() {
    std::cout.exceptions(std::ios::goodbit);
    std::cout.clear();
    std::cout.rdbuf(m_previous);
  }
  RedirectedOutput(const RedirectedOutput&) = delete;
  RedirectedOutput& operator=(const RedirectedOutput&) = delete;

 private:
  std::streambuf* m_previous;
};

// Guards against a log that stays silent after one failed write, and against a process that ends
// because the thread of the log throws.
void WritesAfterFailedLine(const FailureRow& row) {
  const std::uint64_t dropped = DroppedLogLines();
  FailingOnce buffer;
  {
    const RedirectedOutput output(buffer, row.throws);
    StartLogging(LogLevel::kInfo);
    LogEvent(LogPart::kNode, LogLevel::kInfo, "first");
    LogEvent(LogPart::kNode, LogLevel::kInfo, "second");
    LogEvent(LogPart::kNode, LogLevel::kInfo, "third");
    StopLogging();
  }
  CPPUNIT_ASSERT_MESSAGE(buffer.str(), buffer.str().find("event=third") != std::string::npos);
  CPPUNIT_ASSERT(DroppedLogLines() > dropped);
}

const test::TableTest<FailureRow> registration("Logger", kRows, &WritesAfterFailedLine);

}  // namespace

}  // namespace damaskhollow
