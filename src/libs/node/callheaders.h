#ifndef DAMASKHOLLOW_NODE_CALLHEADERS_H_
#define DAMASKHOLLOW_NODE_CALLHEADERS_H_

#include <chrono>
#include <string_view>

#include "base/reason.h"
#include "http/message.h"
#include "policy/callclassifier.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Header fields between callers, nodes and backend servers.
constexpr std::string_view kServiceHeader = "Damaskhollow-Service";
constexpr std::string_view kPriorityHeader = "Damaskhollow-Priority";
constexpr std::string_view kDeadlineHeader = "Damaskhollow-Deadline-Ms";
constexpr std::string_view kDepthHeader = "Damaskhollow-Depth";
constexpr std::string_view kRequestIdHeader = "Damaskhollow-Request-Id";
constexpr std::string_view kOutcomeHeader = "Damaskhollow-Outcome";
constexpr std::string_view kReasonHeader = "Damaskhollow-Reason";
constexpr std::string_view kServedByHeader = "Damaskhollow-Served-By";
constexpr std::string_view kReplayedHeader = "Damaskhollow-Replayed";
constexpr std::string_view kDrainHeader = "Damaskhollow-Drain";

// The view that classification takes of a request; valid as long as the request.
CallDescription DescribeCall(const HttpRequest& request);

// The request to the backend server: the caller's, with the time left and the depth of the calls
// that it makes itself.
HttpRequest BackendRequestOf(wire::CallRequest& request, std::chrono::milliseconds remaining);

// The head of an answer for the wire, without connection fields.
wire::ResponseHead ToWire(const HttpResponseHead& head);

// The head of an answer for the caller, with outcome and server.
HttpResponseHead AnsweredHead(const wire::ResponseHead& head, std::string_view server);

// An answer made by the node itself, and its body.
struct ReasonAnswer {
  HttpResponseHead head;
  std::string body;
};
ReasonAnswer AnswerFor(Reason reason, Outcome outcome);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_CALLHEADERS_H_
