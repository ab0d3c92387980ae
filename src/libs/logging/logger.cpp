#include "logging/logger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <cstddef>
#include <future>
#include <iostream>
#include <thread>
#include <utility>

namespace damaskhollow {

namespace {

namespace sinks = boost::log::sinks;

// Capacity of the line queue, which fills up if the reader of standard output stalls. At about 300
// bytes per line, a full queue takes about 600 KB of memory.
constexpr std::size_t kMaxQueuedLines = 2000;
// How long a process that ends waits for the reader of standard output.
constexpr std::chrono::seconds kStopTime{1};

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 8> kPartNames{"node",          "ingress", "owner", "routing",
                                                     "configuration", "fleet",   "link",  "admin"};

std::atomic<std::uint64_t> dropped_lines{0};
std::atomic<LogLevel> min_level{LogLevel::kInfo};

// Overflow policy of the line queue: drops and counts lines that do not fit, without blocking.
class CountingOverflowPolicy {
 public:
  template <class Lock>
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Boost.Log.
  static bool on_overflow(const boost::log::record_view&, Lock&) {
    dropped_lines.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Boost.Log.
  static void on_queue_space_available() {}
  // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Boost.Log.
  static void interrupt() {}
};

using Backend = sinks::text_ostream_backend;
using Sink =
    sinks::asynchronous_sink<Backend,
                             sinks::bounded_fifo_queue<kMaxQueuedLines, CountingOverflowPolicy>>;

// The sink that is installed at present; null while logging is stopped.
boost::shared_ptr<Sink>& RunningSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
}

// Runs instead of an exception that a line or its output throws. On the thread that writes the
// lines nobody else would take it.
void CountDroppedLine() { dropped_lines.fetch_add(1, std::memory_order_relaxed); }

void WriteLine(LogLevel level, const std::string& line) {
  static boost::log::sources::severity_logger_mt<LogLevel> logger;
  BOOST_LOG_SEV(logger, level) << line;
}

// Lets the next line be written after a failed one, for instance to a disk that was full. Boost.Log
// writes to a stream without errors only. Runs on the thread that writes the lines.
void ClearOutputError() {
  if (std::cout.good()) return;
  std::cout.clear();
  CountDroppedLine();
}

// Returns the fields that follow the time at the start of each line: level, part and event. The
// formatter of the sink adds the time.
std::string LinePrefix(LogPart part, LogLevel level, std::string_view event) {
  std::string line = "level=";
  line += kLevelNames[static_cast<std::size_t>(level)];
  line += " part=";
  line += kPartNames[static_cast<std::size_t>(part)];
  line += " event=";
  line += event;
  return line;
}

// Puts a value in double quotes if it is empty or has white space, control characters, `"` or `=`.
// Without quotes, white space would end the value, and `=` could be taken for the separator between
// a field and its value. Inside the quotes, `"` becomes `'` and control characters become spaces,
// so that the line is not broken.
std::string Quoted(std::string_view value) {
  const bool is_plain =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char character) {
        return character > ' ' && character != '"' && character != '=';
      });
  if (is_plain) return std::string(value);
  std::string quoted = "\"";
  for (const char character : value) {
    const bool is_control = static_cast<unsigned char>(character) < ' ';
    quoted += character == '"' ? '\'' : (is_control ? ' ' : character);
  }
  return quoted + '"';
}

}  // namespace

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == name) return static_cast<LogLevel>(index);
  }
  return std::nullopt;
}

void StartLogging(LogLevel level) {
  min_level.store(level);
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(
      [](const boost::log::record_view& record, boost::log::formatting_ostream& out) {
        ClearOutputError();
        const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
        if (time) out << "time=" << boost::posix_time::to_iso_extended_string(time.get()) << "Z ";
        out << record[boost::log::expressions::smessage];
      });
  sink->set_exception_handler(&CountDroppedLine);
  boost::log::core::get()->set_exception_handler(&CountDroppedLine);
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  boost::log::core::get()->add_sink(sink);
  RunningSink() = sink;
}

bool StopLogging() {
  boost::shared_ptr<Sink> sink = std::exchange(RunningSink(), nullptr);
  if (!sink) return true;
  boost::log::core::get()->remove_sink(sink);
  std::promise<void> stopped;
  const std::future<void> result = stopped.get_future();
  // The thread that writes the lines can't be told to give up, so another one waits for it.
  std::thread waiter([sink = std::move(sink), stopped = std::move(stopped)]() mutable {
    sink->stop();
    sink->flush();
    sink.reset();
    stopped.set_value();
  });
  const bool is_written = result.wait_for(kStopTime) == std::future_status::ready;
  is_written ? waiter.join() : waiter.detach();
  return is_written;
}

std::uint64_t DroppedLogLines() { return dropped_lines.load(std::memory_order_relaxed); }

bool IsLogged(LogLevel level) { return level >= min_level.load(std::memory_order_relaxed); }

EventLine::EventLine(LogPart part, LogLevel level, std::string_view event, bool is_enabled)
    : m_level(level) {
  if (is_enabled && IsLogged(level)) m_line = LinePrefix(part, level, event);
}

EventLine::EventLine(EventLine&& other) noexcept
    : m_level(other.m_level), m_line(std::exchange(other.m_line, std::string())) {}

EventLine::~EventLine() {
  if (m_line.empty()) return;
  try {
    WriteLine(m_level, m_line);
  } catch (...) {
    CountDroppedLine();  // An exception that leaves a destructor ends the process.
  }
}

EventLine& EventLine::With(std::string_view field, std::string_view value) {
  if (m_line.empty()) return *this;
  m_line.append(" ").append(field).append("=").append(Quoted(value));
  return *this;
}

EventLine& EventLine::With(std::string_view field, std::int64_t value) {
  if (m_line.empty()) return *this;
  m_line.append(" ").append(field).append("=").append(std::to_string(value));
  return *this;
}

std::string FormatLine(
    LogPart part, LogLevel level, std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string_view>> fields) {
  std::string line = LinePrefix(part, level, event);
  for (const auto& [field, value] : fields) {
    line.append(" ").append(field).append("=").append(Quoted(value));
  }
  return line;
}

void LogEvent(LogPart part, LogLevel level, std::string_view event) {
  const EventLine line(part, level, event);
}

}  // namespace damaskhollow
