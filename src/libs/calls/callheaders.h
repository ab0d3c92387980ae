#ifndef DAMASKHOLLOW_CALLS_CALLHEADERS_H_
#define DAMASKHOLLOW_CALLS_CALLHEADERS_H_

#include <chrono>
#include <string_view>

#include "base/ids.h"
#include "base/reason.h"
#include "http/callconvention.h"
#include "http/message.h"
#include "http/responsecheck.h"
#include "policy/callclassifier.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Returns the fields of a request that classification uses. The result refers to `request` and must
// not outlive it.
CallDescription DescribeCall(const HttpRequest& request, const CallConvention& convention);

// Removes the headers that a caller must not set itself, which name the calling service and the
// expected instance, and adds `origin` as the calling service.
void ReplaceOriginHeaders(HttpRequest& request, const CallConvention& convention,
                          const ServiceId& origin);

// Builds the request to the backend server from the caller's: sets the remaining time as deadline,
// the depth for the calls that the server makes in turn, and the expected incarnation `instance`
// unless it is empty. Moves the body out of `request`.
HttpRequest MakeBackendRequest(wire::CallRequest& request, std::chrono::milliseconds remaining,
                               const CallConvention& convention, std::string_view instance);

// Converts the head of a backend server's response to a wire message. Connection-specific fields
// and fields that only nodes may set are left out.
wire::ResponseHead ToWire(const HttpResponseHead& head, const CallConvention& convention);

// Returns the rule that a response head from a wire message breaks. Nodes of another version may
// send heads that this one would not.
ResponseFault FindFault(const wire::ResponseHead& head);

// Converts a valid response head from a wire message to the one for the caller, and adds the fields
// for outcome, server and replay.
HttpResponseHead MakeResponseHead(const wire::ResponseHead& head, const CallConvention& convention,
                                  std::string_view server);

// A response that the node generates itself.
struct GeneratedResponse {
  HttpResponseHead head;
  std::string body;
};

// Generates the response for a call that ended for `reason`. With status 503, `retry_after` is sent
// as the time after which the caller may retry.
GeneratedResponse GenerateResponse(Reason reason, Outcome outcome, const CallConvention& convention,
                                   std::chrono::milliseconds retry_after);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_CALLHEADERS_H_
