#ifndef DAMASKHOLLOW_LOGGING_LOGGER_H_
#define DAMASKHOLLOW_LOGGING_LOGGER_H_

#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <optional>
#include <string_view>

namespace damaskhollow {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Parts of the system; each has a fixed prefix in the log.
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

using SeverityLogger = boost::log::sources::severity_logger_mt<LogLevel>;

// The level with the given name (debug, info, warning, error); empty when there is none.
std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Sends log lines of at least `level` to standard error, one line per record: time, level, part
// prefix, message.
void StartLogging(LogLevel level);

// The logger shared by all parts.
SeverityLogger& Logger();

// The fixed prefix of a part, for instance "ingress: ".
std::string_view PartPrefix(LogPart part);

}  // namespace damaskhollow

#define DAMASKHOLLOW_LOG(part, level)                                      \
  BOOST_LOG_SEV(::damaskhollow::Logger(), ::damaskhollow::LogLevel::level) \
      << ::damaskhollow::PartPrefix(::damaskhollow::LogPart::part)

#endif  // DAMASKHOLLOW_LOGGING_LOGGER_H_
