#include "base/reason.h"

#include <array>
#include <cstddef>

namespace damaskhollow {

namespace {

constexpr Outcome kAnswered = Outcome::kAnswered;
constexpr Outcome kNotRun = Outcome::kNotRun;
constexpr Outcome kUnknown = Outcome::kUnknown;

constexpr std::array<ReasonInfo, static_cast<std::size_t>(Reason::kCount)> kTable{{
    {Reason::kNone, "none", kAnswered, 200, false, "The backend server answered.",
     "No action needed."},
    {Reason::kMalformedRequest, "malformed_request", kNotRun, 400, false,
     "The request is not valid HTTP/1.1.", "Fix the caller."},
    {Reason::kHeaderTooLarge, "header_too_large", kNotRun, 431, false,
     "The request's header fields exceed the limit.", "Send fewer or shorter header fields."},
    {Reason::kBodyTooLarge, "body_too_large", kNotRun, 413, false,
     "The request body exceeds the service's max_body_bytes.",
     "Send a smaller body, or raise max_body_bytes in the declaration."},
    {Reason::kRequestTimeout, "request_timeout", kNotRun, 408, false,
     "The caller sent its request too slowly.", "Check the network connection of the caller."},
    {Reason::kUnknownService, "unknown_service", kNotRun, 404, false,
     "Neither Damaskhollow-Service nor Host names a declared service.",
     "Fix the caller, or add the host to the service."},
    {Reason::kNoRule, "no_rule", kNotRun, 404, false,
     "No rule of the service matches method and path.", "Add a rule to the service."},
    {Reason::kDepthExceeded, "depth_exceeded", kNotRun, 508, false,
     "The chain of calls is deeper than 32.", "Check for services that call each other in a loop."},
    {Reason::kDeadlineInvalid, "deadline_invalid", kNotRun, 400, false,
     "Damaskhollow-Deadline-Ms is not a whole number of milliseconds above zero.",
     "Fix the caller."},
    {Reason::kRequestIdInvalid, "request_id_invalid", kNotRun, 400, false,
     "Damaskhollow-Request-Id is not <unix milliseconds>-<token> or lies in the future.",
     "Fix the caller or its clock."},
    {Reason::kBodyMemory, "body_memory", kNotRun, 503, false,
     "The node's memory for request bodies is used up.",
     "Distribute callers over more nodes, or raise --body-memory-bytes."},
    {Reason::kIngressOverloaded, "ingress_overloaded", kNotRun, 503, false,
     "The node holds as many caller connections as it may.",
     "Distribute callers over more nodes, or raise --caller-connections."},
    {Reason::kNoConfiguration, "no_configuration", kNotRun, 503, false,
     "The node has not accepted a declaration yet.",
     "Check the configuration service and the peers of the node with `damaskhollow status`."},
    {Reason::kNoServer, "no_server", kNotRun, 503, false,
     "No backend server of the service can take work.",
     "Check membership and drain state with `damaskhollow status`."},
    {Reason::kLinkUnavailable, "link_unavailable", kNotRun, 503, true,
     "The link to the owner was down, so nothing was sent.",
     "Check the network between the two nodes."},
    {Reason::kDeadlineExceeded, "deadline_exceeded", kNotRun, 504, false,
     "The deadline passed before the call was sent to an owner.",
     "Raise the deadline, or add capacity."},
    {Reason::kPaidLinkBudget, "paid_link_budget", kNotRun, 503, false,
     "Only servers across the paid link were left, and its byte budget is spent.",
     "Raise paid_link_bytes_per_second, or add capacity in this region."},
    {Reason::kRetryBudget, "retry_budget", kNotRun, 503, false,
     "A refused call was not tried again, as the service's retry budget is spent. The caller got "
     "the reason of the refusal itself.",
     "Check the reason of the original refusals; the budget prevents retries from adding load."},
    {Reason::kViewRefreshing, "view_refreshing", kNotRun, 503, true,
     "The process was paused and refreshes its view before it routes or dispatches.",
     "Look at what paused the VM."},
    {Reason::kExpired, "expired", kNotRun, 504, false,
     "The request reached the owner after its expiry on the owner's clock.",
     "Check the network between the two nodes, and check for paused processes."},
    {Reason::kWrongIncarnation, "wrong_incarnation", kNotRun, 503, true,
     "The request was meant for an earlier process of the owner.",
     "No action needed; this happens after a restart."},
    {Reason::kWrongServer, "wrong_server", kNotRun, 503, true,
     "The request was meant for another backend server.",
     "Check the peer addresses in the declaration."},
    {Reason::kQueueFullTime, "queue_full_time", kNotRun, 503, true,
     "The expected wait at the owner exceeds the remaining deadline or the priority's bound.",
     "Add capacity. For low priorities this is expected during overload."},
    {Reason::kQueueFullBytes, "queue_full_bytes", kNotRun, 503, true,
     "The owner's memory for queued bodies is used up.", "Add capacity."},
    {Reason::kQueueFullCount, "queue_full_count", kNotRun, 503, true,
     "The owner's queue holds as many calls as it may.", "Add capacity."},
    {Reason::kQueueExpired, "queue_expired", kNotRun, 504, false,
     "The deadline passed while the call was queued at the owner.",
     "Add capacity. For low priorities this is expected during overload."},
    {Reason::kDraining, "draining", kNotRun, 503, true,
     "The node or its backend server is leaving and takes no new work.",
     "No action needed during a drain."},
    {Reason::kBackendUnreachable, "backend_unreachable", kNotRun, 502, true,
     "No connection to the backend server could be opened.", "Check the backend server."},
    {Reason::kBackendShed, "backend_shed", kNotRun, 503, true,
     "The backend server shed the call with its declared shed_status.",
     "Lower the declared slots, or add capacity."},
    {Reason::kCrashingRequest, "crashing_request", kNotRun, 422, false,
     "The same request crashed backend servers several times and is refused for some minutes.",
     "Fix the bug in the backend server; the log contains the digest of the request."},
    {Reason::kCancelled, "cancelled", kNotRun, 499, false,
     "The caller left before the call was dispatched.", "No action needed."},
    {Reason::kHomeRestarted, "home_restarted", kUnknown, 409, false,
     "The node that remembers this request id started after the id was created.",
     "The caller must check whether its request took effect."},
    {Reason::kHomeUnreachable, "home_unreachable", kNotRun, 503, false,
     "A node that may remember this request id cannot be asked; this send was not run, an earlier "
     "one may have been.",
     "Check that node with `damaskhollow status`."},
    {Reason::kHomeReleased, "home_released", kNotRun, 503, true,
     "This node gave the request id up to another home, which may have run the request; this send "
     "was not run.",
     "No action needed; the ingress tries the next node."},
    {Reason::kRequestIdExpired, "request_id_expired", kUnknown, 409, false,
     "The request id is older than it is remembered.",
     "The caller must check whether its request took effect."},
    {Reason::kRegistryFull, "registry_full", kNotRun, 503, false,
     "The owner remembers as many request ids as it may.", "Add capacity."},
    {Reason::kRequestIdConflict, "request_id_conflict", kNotRun, 422, false,
     "The request id was used before for another request.",
     "Fix the caller: each request needs a unique id."},
    {Reason::kAlreadyRunning, "already_running", kUnknown, 409, false,
     "A request with this id is running now.", "The caller can retry with the same id."},
    {Reason::kAlreadyRan, "already_ran", kAnswered, 409, false,
     "A request with this id has run; its answer was too large to keep.", "No action needed."},
    {Reason::kBackendClosed, "backend_closed", kUnknown, 502, true,
     "The backend server closed the connection before its answer was complete.",
     "Check the backend server's log."},
    {Reason::kBackendMalformed, "backend_malformed", kUnknown, 502, false,
     "The backend server's answer is not valid HTTP/1.1.", "Check the backend server."},
    {Reason::kBackendTimeout, "backend_timeout", kUnknown, 504, false,
     "The deadline passed while the backend server worked on the call.",
     "Check for a slow backend server."},
    {Reason::kLinkSilent, "link_silent", kUnknown, 504, true,
     "The link to the owner went silent after the request was sent.",
     "Check the network between the two nodes."},
    {Reason::kOwnerRestarted, "owner_restarted", kUnknown, 502, true,
     "The owner restarted after the request was sent.", "Check why the node restarted."},
    {Reason::kAnswerTruncated, "answer_truncated", kUnknown, 502, false,
     "The answer broke off after its head had been relayed; the connection was closed.",
     "Check the backend server's log."},
    {Reason::kNodeStopped, "node_stopped", kUnknown, 502, false,
     "The node was stopped before the answer arrived.",
     "Allow more time for the shutdown if calls take longer."},
    {Reason::kInternalError, "internal_error", kNotRun, 503, false,
     "The node failed unexpectedly before it sent the request.",
     "Look for the log line unexpected_error; report it with the lines before it."},
    {Reason::kRouteUnreadable, "route_unreadable", kNotRun, 503, false,
     "The configuration has a route for the request, but a field of the route cannot be read.",
     "Look for the log line route_refused of a reader, which names the field, and correct it."},
    {Reason::kEvacuated, "evacuated", kNotRun, 503, true,
     "The backend servers that could take the call are in evacuated data centres.",
     "End the evacuation of one of these data centres, or add capacity elsewhere."},
}};

constexpr bool IsInEnumerationOrder() {
  for (std::size_t index = 0; index < kTable.size(); ++index) {
    if (kTable[index].reason != static_cast<Reason>(index)) return false;
  }
  return true;
}
static_assert(IsInEnumerationOrder(), "InfoOf uses the enumeration value as an index");

}  // namespace

std::string_view OutcomeName(Outcome outcome) {
  static constexpr std::array<std::string_view, 3> kNames{"answered", "not-run", "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::span<const ReasonInfo> ReasonTable() { return kTable; }

const ReasonInfo& InfoOf(Reason reason) { return kTable[static_cast<std::size_t>(reason)]; }

Reason ReasonFromNumber(std::uint32_t number, Outcome outcome, Reason fallback) {
  const bool exists = number > 0 && number < kTable.size();
  if (!exists) return fallback;
  const ReasonInfo& info = kTable[number];
  return (info.outcome == kNotRun) == (outcome == kNotRun) ? info.reason : fallback;
}

std::optional<Reason> ReasonFromName(std::string_view name) {
  for (const ReasonInfo& info : kTable) {
    if (info.name == name) return info.reason;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
