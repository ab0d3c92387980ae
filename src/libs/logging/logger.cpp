#include "logging/logger.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <cstddef>
#include <iostream>
#include <string>

namespace damaskhollow {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warning", "error"};

constexpr std::array<std::string_view, 8> kPrefixes{
    "node: ",          "ingress: ", "owner: ", "routing: ",
    "configuration: ", "fleet: ",   "link: ",  "admin: "};

}  // namespace

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == name) return static_cast<LogLevel>(index);
  }
  return std::nullopt;
}

void StartLogging(LogLevel level) {
  namespace expressions = boost::log::expressions;
  namespace sinks = boost::log::sinks;
  using Backend = sinks::text_ostream_backend;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  auto sink = boost::make_shared<sinks::synchronous_sink<Backend>>(backend);
  sink->set_filter(expressions::attr<LogLevel>("Severity") >= level);
  sink->set_formatter(
      [](const boost::log::record_view& record, boost::log::formatting_ostream& out) {
        const auto time = boost::log::extract<boost::posix_time::ptime>("TimeStamp", record);
        const auto severity = boost::log::extract<LogLevel>("Severity", record);
        if (time) out << boost::posix_time::to_iso_extended_string(time.get()) << "Z ";
        if (severity) out << kLevelNames[static_cast<std::size_t>(severity.get())] << ' ';
        out << record[expressions::smessage];
      });
  boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  boost::log::core::get()->add_sink(sink);
}

SeverityLogger& Logger() {
  static SeverityLogger logger;
  return logger;
}

std::string_view PartPrefix(LogPart part) { return kPrefixes[static_cast<std::size_t>(part)]; }

}  // namespace damaskhollow
