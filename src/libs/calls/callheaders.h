#ifndef DAMASKHOLLOW_CALLS_CALLHEADERS_H_
#define DAMASKHOLLOW_CALLS_CALLHEADERS_H_

#include <chrono>
#include <string_view>

#include "base/ids.h"
#include "base/reason.h"
#include "http/callconvention.h"
#include "http/message.h"
#include "policy/callclassifier.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// The view that classification takes of a request; valid as long as the request.
CallDescription DescribeCall(const HttpRequest& request, const CallConvention& convention);

// Replaces what the caller may not say itself: the service that it calls from, and the instance
// that is meant.
void ReplaceOriginHeaders(HttpRequest& request, const CallConvention& convention,
                          const ServiceId& origin);

// The request to the backend server: the caller's, with the time left and the depth of the calls
// that it makes itself. `instance` is the incarnation that is meant; it may be empty.
HttpRequest MakeBackendRequest(wire::CallRequest& request, std::chrono::milliseconds remaining,
                               const CallConvention& convention, std::string_view instance);

// The head of an answer for the wire, without connection fields.
wire::ResponseHead ToWire(const HttpResponseHead& head, const CallConvention& convention);

// The head of an answer for the caller, with outcome and server.
HttpResponseHead MakeAnswerHead(const wire::ResponseHead& head, const CallConvention& convention,
                                std::string_view server);

// An answer made by the node itself, and its body.
struct GeneratedAnswer {
  HttpResponseHead head;
  std::string body;
};
// `retry_after` is when the caller may come again, for answers that ask it to.
GeneratedAnswer GenerateAnswer(Reason reason, Outcome outcome, const CallConvention& convention,
                               std::chrono::milliseconds retry_after);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_CALLHEADERS_H_
