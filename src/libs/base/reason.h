#ifndef DAMASKHOLLOW_BASE_REASON_H_
#define DAMASKHOLLOW_BASE_REASON_H_

#include <optional>
#include <span>
#include <string_view>

namespace damaskhollow {

// What a caller can rely on after a call.
enum class Outcome {
  kAnswered,  // The backend server's own answer.
  kNotRun,    // Proved not to have run; safe to send again.
  kUnknown,   // Sent, and there is no proof whether it ran.
};

// The value of the Damaskhollow-Outcome header.
std::string_view OutcomeName(Outcome outcome);

// Why a call was refused, failed or tried again.
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
  // Request ids.
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
  kCount,
};

// One row of the table that metrics, answer headers and `damaskhollow explain` share.
struct ReasonInfo {
  Reason reason;
  std::string_view name;         // Header value and metric label.
  Outcome outcome;               // What the caller may conclude.
  int http_status;               // Status of the answer to the caller.
  bool try_another_server;       // Whether routing may pick another backend server.
  std::string_view explanation;  // What happened.
  std::string_view action;       // What an operator can do.
};

// All rows, in the order of the enumeration.
std::span<const ReasonInfo> ReasonTable();

// The row of a reason.
const ReasonInfo& InfoOf(Reason reason);

// Finds a reason by its name; empty when there is none.
std::optional<Reason> ReasonFromName(std::string_view name);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_BASE_REASON_H_
