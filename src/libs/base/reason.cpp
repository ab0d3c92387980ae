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
     "The header fields of the request exceed the size limit.",
     "Send fewer or shorter header fields."},
    {Reason::kBodyTooLarge, "body_too_large", kNotRun, 413, false,
     "The request body exceeds max_body_bytes of the service.",
     "Send a smaller body, or raise max_body_bytes in the declaration."},
    {Reason::kRequestTimeout, "request_timeout", kNotRun, 408, false,
     "The caller sent its request too slowly.", "Check the network connection of the caller."},
    {Reason::kUnknownService, "unknown_service", kNotRun, 404, false,
     "Neither Damaskhollow-Service nor Host names a declared service.",
     "Fix the caller, or add the host to the service."},
    {Reason::kNoRule, "no_rule", kNotRun, 404, false,
     "No rule of the service matches the method and path.", "Add a rule to the service."},
    {Reason::kDepthExceeded, "depth_exceeded", kNotRun, 508, false,
     "The chain of nested calls is longer than 32.",
     "Check for services that call each other in a loop."},
    {Reason::kDeadlineInvalid, "deadline_invalid", kNotRun, 400, false,
     "Damaskhollow-Deadline-Ms is not a positive integer number of milliseconds.",
     "Fix the caller."},
    {Reason::kRequestIdInvalid, "request_id_invalid", kNotRun, 400, false,
     "Damaskhollow-Request-Id is not <unix milliseconds>-<token> or is in the future.",
     "Fix the caller or its clock."},
    {Reason::kBodyMemory, "body_memory", kNotRun, 503, false,
     "The memory of the node for request bodies is exhausted.",
     "Distribute callers over more nodes, or raise --body-memory-bytes."},
    {Reason::kIngressOverloaded, "ingress_overloaded", kNotRun, 503, false,
     "The node has reached its limit of caller connections.",
     "Distribute callers over more nodes, or raise --caller-connections."},
    {Reason::kNoConfiguration, "no_configuration", kNotRun, 503, false,
     "The node has not accepted a declaration yet.",
     "Check the configuration service and the peers of the node with `damaskhollow status`."},
    {Reason::kNoServer, "no_server", kNotRun, 503, false,
     "No backend server of the service accepts new calls.",
     "Check membership and drain state with `damaskhollow status`."},
    {Reason::kLinkUnavailable, "link_unavailable", kNotRun, 503, true,
     "The link to the owner was down, so nothing was sent.",
     "Check the network between the two nodes."},
    {Reason::kDeadlineExceeded, "deadline_exceeded", kNotRun, 504, false,
     "The deadline passed before the call was sent to an owner.",
     "Raise the deadline, or add capacity."},
    {Reason::kPaidLinkBudget, "paid_link_budget", kNotRun, 503, false,
     "Only servers in other regions were available, and the byte budget of the paid link is "
     "exhausted.",
     "Raise paid_link_bytes_per_second, or add capacity in this region."},
    {Reason::kRetryBudget, "retry_budget", kNotRun, 503, false,
     "A refused call was not retried because the retry budget of the service is exhausted. The "
     "caller received the reason of the original refusal.",
     "Check the reason of the original refusals; the budget prevents retries from adding load."},
    {Reason::kViewRefreshing, "view_refreshing", kNotRun, 503, true,
     "The process was paused and refreshes its view of the fleet before it routes or dispatches "
     "calls.",
     "Look at what paused the VM."},
    {Reason::kExpired, "expired", kNotRun, 504, false,
     "The request reached the owner after its deadline, by the clock of the owner.",
     "Check the network between the two nodes, and check for paused processes."},
    {Reason::kWrongIncarnation, "wrong_incarnation", kNotRun, 503, true,
     "The request was addressed to an earlier incarnation of the owner.",
     "No action needed; this happens after a restart."},
    {Reason::kWrongServer, "wrong_server", kNotRun, 503, true,
     "The request was addressed to another backend server.",
     "Check the peer addresses in the declaration."},
    {Reason::kQueueFullTime, "queue_full_time", kNotRun, 503, true,
     "The expected queueing time at the owner exceeds the remaining time until the deadline or the "
     "queue bound of the priority.",
     "Add capacity. For low priorities this is expected during overload."},
    {Reason::kQueueFullBytes, "queue_full_bytes", kNotRun, 503, true,
     "The memory of the owner for queued request bodies is exhausted.", "Add capacity."},
    {Reason::kQueueFullCount, "queue_full_count", kNotRun, 503, true,
     "The queue of the owner has reached its maximum number of calls.", "Add capacity."},
    {Reason::kQueueExpired, "queue_expired", kNotRun, 504, false,
     "The deadline passed while the call was queued at the owner.",
     "Add capacity. For low priorities this is expected during overload."},
    {Reason::kDraining, "draining", kNotRun, 503, true,
     "The backend server is draining and accepts no new calls.",
     "No action needed during a drain."},
    {Reason::kBackendUnreachable, "backend_unreachable", kNotRun, 502, true,
     "No connection to the backend server could be opened.", "Check the backend server."},
    {Reason::kBackendShed, "backend_shed", kNotRun, 503, true,
     "The backend server shed the call by answering with its declared shed_status.",
     "Lower the declared slots, or add capacity."},
    {Reason::kCrashingRequest, "crashing_request", kNotRun, 422, false,
     "The same request crashed backend servers several times and is refused for several minutes.",
     "Fix the bug in the backend server; the log contains the digest of the request."},
    {Reason::kCancelled, "cancelled", kNotRun, 499, false,
     "The caller disconnected before the call was dispatched.", "No action needed."},
    {Reason::kHomeRestarted, "home_restarted", kUnknown, 409, false,
     "The node that records this request id started after the id was created.",
     "The caller must check whether its request took effect."},
    {Reason::kHomeUnreachable, "home_unreachable", kNotRun, 503, false,
     "A node that may have a record of this request id is unreachable. This attempt was not run, "
     "but an earlier one may have been.",
     "Check that node with `damaskhollow status`."},
    {Reason::kHomeReleased, "home_released", kNotRun, 503, true,
     "This node released the request id to another node, which may have run the request. This "
     "attempt was not run.",
     "No action needed; the ingress tries the next node."},
    {Reason::kRequestIdExpired, "request_id_expired", kUnknown, 409, false,
     "The request id is older than the period for which request ids are recorded.",
     "The caller must check whether its request took effect."},
    {Reason::kRegistryFull, "registry_full", kNotRun, 503, false,
     "The owner has reached its limit of recorded request ids.", "Add capacity."},
    {Reason::kRequestIdConflict, "request_id_conflict", kNotRun, 422, false,
     "The request id has already been used for a different request.",
     "Fix the caller: each request needs a unique id."},
    {Reason::kAlreadyRunning, "already_running", kUnknown, 409, false,
     "A request with this id is still running.", "The caller can retry with the same id."},
    {Reason::kAlreadyRan, "already_ran", kAnswered, 409, false,
     "A request with this id has already run; its answer was too large to store.",
     "No action needed."},
    {Reason::kBackendClosed, "backend_closed", kUnknown, 502, true,
     "The backend server closed the connection before its answer was complete.",
     "Check the backend server's log."},
    {Reason::kBackendMalformed, "backend_malformed", kUnknown, 502, false,
     "The backend server's answer is not valid HTTP/1.1.", "Check the backend server."},
    {Reason::kBackendTimeout, "backend_timeout", kUnknown, 504, false,
     "The deadline passed while the backend server was processing the call.",
     "Check for a slow backend server."},
    {Reason::kLinkSilent, "link_silent", kUnknown, 504, true,
     "The link to the owner stopped responding after the request was sent.",
     "Check the network between the two nodes."},
    {Reason::kOwnerRestarted, "owner_restarted", kUnknown, 502, true,
     "The owner restarted after the request was sent.", "Check why the node restarted."},
    {Reason::kAnswerTruncated, "answer_truncated", kUnknown, 502, false,
     "The answer was truncated after its head had been relayed, and the connection was closed.",
     "Check the backend server's log."},
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

std::optional<Reason> ReasonFromName(std::string_view name) {
  for (const ReasonInfo& info : kTable) {
    if (info.name == name) return info.reason;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
