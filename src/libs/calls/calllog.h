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

// Log lines on calls, bounded by a RequestLog. Each line names its request.
class CallLog {
 public:
  CallLog(RequestLog& log, LogPart part) : m_log(log), m_part(part) {}

  void NoteRequest(TimePoint now) { m_log.RecordRequest(now); }

  // A line on the usual course of a call; written for sampled requests.
  EventLine Step(std::string_view event, std::string_view request) const;

  // A line on a failure; written while the rate of such lines allows it.
  EventLine Failure(std::string_view event, std::string_view request, Reason reason) const;

 private:
  RequestLog& m_log;
  const LogPart m_part;
};

// The id by which log lines name a request; "-" if its caller gave none.
std::string LogIdOf(const HttpRequest& request, const CallConvention& convention);
std::string LogIdOf(const wire::CallRequest& request, const CallConvention& convention);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_CALLLOG_H_
