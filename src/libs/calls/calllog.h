#ifndef DAMASKHOLLOW_CALLS_CALLLOG_H_
#define DAMASKHOLLOW_CALLS_CALLLOG_H_

#include <string>
#include <string_view>

#include "base/reason.h"
#include "http/callconvention.h"
#include "http/message.h"
#include "logging/logger.h"
#include "logging/requestlog.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Writes the log lines of calls, limited in rate by a RequestLog. Each line has the request's id.
class CallLog {
 public:
  CallLog(RequestLog& log, LogPart part) : m_log(log), m_part(part) {}

  // Counts an incoming request; the sampling rate depends on the request rate.
  void RecordRequest(TimePoint now) { m_log.RecordRequest(now); }

  // Starts a line about the normal progress of a call. Written for sampled requests only.
  EventLine Step(std::string_view event, std::string_view request) const;

  // Starts a line about a failure. Dropped when the rate of failure lines exceeds its limit.
  EventLine Failure(std::string_view event, std::string_view request, Reason reason) const;

 private:
  RequestLog& m_log;
  const LogPart m_part;
};

// Returns the id of a request in log lines; "-" if the caller sent none.
std::string LogIdOf(const HttpRequest& request, const CallConvention& convention);
std::string LogIdOf(const wire::CallRequest& request, const CallConvention& convention);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_CALLLOG_H_
