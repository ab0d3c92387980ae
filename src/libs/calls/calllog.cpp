#include "calls/calllog.h"

#include <boost/beast/core/string.hpp>

#include "base/time.h"

namespace damaskhollow {

namespace {

constexpr char kNoId[] = "-";

// Returns the header field that identifies a request. The default convention has no call id, only
// the request id that a caller repeats when it resends a request.
const std::string& IdField(const CallConvention& convention) {
  return convention.call_id.empty() ? convention.request_id : convention.call_id;
}

}  // namespace

EventLine CallLog::Step(std::string_view event, std::string_view request) const {
  EventLine line(m_part, LogLevel::kInfo, event, m_log.IsSampled(request));
  line.With("request", request);
  return line;
}

EventLine CallLog::Failure(std::string_view event, std::string_view request, Reason reason) const {
  EventLine line(m_part, LogLevel::kWarning, event, m_log.TryConsumeFailureLine(MonotonicNow()));
  line.With("request", request).With("reason", InfoOf(reason).name);
  return line;
}

std::string LogIdOf(const HttpRequest& request, const CallConvention& convention) {
  const std::string_view id = FindHeader(request.headers, IdField(convention));
  return id.empty() ? kNoId : std::string(id);
}

std::string LogIdOf(const wire::CallRequest& request, const CallConvention& convention) {
  const std::string& field = IdField(convention);
  for (const wire::Header& header : request.headers()) {
    if (boost::beast::iequals(header.name(), field)) return header.value();
  }
  return kNoId;
}

}  // namespace damaskhollow
