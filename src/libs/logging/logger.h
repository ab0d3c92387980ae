#ifndef DAMASKHOLLOW_LOGGING_LOGGER_H_
#define DAMASKHOLLOW_LOGGING_LOGGER_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace damaskhollow {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The part of the system that a log line comes from, written in its `part` field.
enum class LogPart {
  kNode,
  kIngress,
  kOwner,
  kRouting,
  kConfiguration,
  kFleet,
  kLink,
  kAdmin,
};

// Returns the level with the given name (debug, info, warning or error), or nullopt if the name is
// none of these.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Starts writing log lines of at least `level` to standard output, each as `field=value` pairs. A
// separate thread writes the lines. While its queue is full, new lines are dropped and counted, so
// that a stalled reader never delays a call.
void StartLogging(LogLevel level);

// Writes the queued lines and stops logging. Lines logged later are lost. Returns false if they are
// not written within a second, as the reader of standard output stalls. The process must then end
// by std::_Exit, since the destructors of the log wait for the reader.
bool StopLogging();

// Number of lines that were dropped since the process started, because the queue was full or the
// output failed.
std::uint64_t DroppedLogLines();

// Whether lines of this level are written.
bool IsLogged(LogLevel level);

// Builds one log line of structured fields and writes it in the destructor. Values are quoted where
// needed.
class EventLine {
 public:
  // Nothing is written if `is_enabled` is false, as for lines omitted by sampling or rate limits.
  EventLine(LogPart part, LogLevel level, std::string_view event, bool is_enabled = true);
  ~EventLine();
  EventLine(EventLine&& other) noexcept;
  EventLine& operator=(const EventLine&) = delete;

  // Appends a field to the line.
  EventLine& With(std::string_view field, std::string_view value);
  EventLine& With(std::string_view field, std::int64_t value);

 private:
  const LogLevel m_level;
  std::string m_line;  // Empty if the line is not written.
};

// Returns a log line without its time, for a process that can no longer use the queue.
std::string FormatLine(LogPart part, LogLevel level, std::string_view event,
                       std::initializer_list<std::pair<std::string_view, std::string_view>> fields);

// Writes a log line without further fields.
void LogEvent(LogPart part, LogLevel level, std::string_view event);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_LOGGER_H_
