#ifndef DAMASKHOLLOW_BASE_REASON_H_
#define DAMASKHOLLOW_BASE_REASON_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace damaskhollow {

// What a caller can conclude about the execution of its request.
enum class Outcome {
  kAnswered,  // The answer comes from the backend server.
  kNotRun,    // The request provably did not run and can be sent again.
  kUnknown,   // The request was sent, and may or may not have run.
};

// Returns the value of the Damaskhollow-Outcome header.
std::string_view OutcomeName(Outcome outcome);

// Why a call was refused, failed or retried. Nodes send the numeric values to each other.
enum class Reason {
  kNone,
  // Refused by the ingress before routing.
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kUnknownService,
  kNoRule,
  kDepthExceeded,
  kDeadlineInvalid,
  kRequestIdInvalid,
  kBodyMemory,
  kIngressOverloaded,
  kNoConfiguration,
  // Refused while routing.
  kNoServer,
  kLinkUnavailable,
  kDeadlineExceeded,
  kPaidLinkBudget,
  kRetryBudget,
  kViewRefreshing,
  // Refused by the owner before dispatch.
  kExpired,
  kWrongIncarnation,
  kWrongServer,
  kQueueFullTime,
  kQueueFullBytes,
  kQueueFullCount,
  kQueueExpired,
  kDraining,
  kBackendUnreachable,
  kBackendShed,
  kCrashingRequest,
  kCancelled,
  // Handling of request ids.
  kHomeRestarted,
  kHomeUnreachable,
  kHomeReleased,
  kRequestIdExpired,
  kRegistryFull,
  kRequestIdConflict,
  kAlreadyRunning,
  kAlreadyRan,
  // Failed after dispatch.
  kBackendClosed,
  kBackendMalformed,
  kBackendTimeout,
  kLinkSilent,
  kOwnerRestarted,
  kAnswerTruncated,
  kNodeStopped,
  // Refused by the ingress; listed last, as nodes of other versions know the numeric values above.
  kInternalError,
  kRouteUnreadable,
  // Refused while routing, or by the owner before dispatch.
  kEvacuated,
  kCount,
};

// Properties of a reason, shared by metrics, answer headers and `damaskhollow explain`.
struct ReasonInfo {
  Reason reason;
  std::string_view name;         // Header value and metric label.
  Outcome outcome;               // What the caller can conclude.
  int http_status;               // HTTP status of the answer to the caller.
  bool try_another_server;       // Whether the call may be retried on another server.
  std::string_view explanation;  // What happened.
  std::string_view action;       // What an operator can do about it.
};

// Returns the properties of all reasons, in the order of the enumeration.
std::span<const ReasonInfo> ReasonTable();

// Returns the properties of a reason.
const ReasonInfo& InfoOf(Reason reason);

// Decodes a reason that another node sent. A number that stands for no reason, or for one that does
// not agree with `outcome` on whether the call may have run, gives `fallback`.
Reason ReasonFromNumber(std::uint32_t number, Outcome outcome, Reason fallback);

// Finds a reason by its name. Returns nothing if there is no such reason.
std::optional<Reason> ReasonFromName(std::string_view name);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_REASON_H_
