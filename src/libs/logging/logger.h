#ifndef DAMASKHOLLOW_LOGGING_LOGGER_H_
#define DAMASKHOLLOW_LOGGING_LOGGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskhollow {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Parts of the system; each line names its part.
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

// The level with the given name (debug, info, warning, error); empty when there is none.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Sends log lines of at least `level` to standard output, one a record, as `field=value` pairs.
// Lines are written by a thread of their own; when it falls behind, further lines are dropped and
// counted, so that a reader that stops never holds up a call.
void StartLogging(LogLevel level);

// Writes what is queued and stops. Lines that come later are lost.
void StopLogging();

// Lines dropped since the start because the queue was full.
std::uint64_t DroppedLogLines();

// Whether lines of this level are written.
bool IsLogged(LogLevel level);

// One log line of structured fields, written when the object ends. Values are quoted where needed.
class EventLine {
 public:
  // `wanted` is false for a line that a bound on the log leaves out.
  EventLine(LogPart part, LogLevel level, std::string_view event, bool is_enabled = true);
  ~EventLine();
  EventLine(EventLine&& other) noexcept;
  EventLine& operator=(const EventLine&) = delete;

  EventLine& With(std::string_view field, std::string_view value);
  EventLine& With(std::string_view field, std::int64_t value);

 private:
  const LogLevel m_level;
  std::string m_line;  // Empty if the level is not logged.
};

// Writes a log line without fields of its own.
void LogEvent(LogPart part, LogLevel level, std::string_view event);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_LOGGING_LOGGER_H_
