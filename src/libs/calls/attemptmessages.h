#ifndef DAMASKHOLLOW_CALLS_ATTEMPTMESSAGES_H_
#define DAMASKHOLLOW_CALLS_ATTEMPTMESSAGES_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "http/message.h"
#include "policy/callclassifier.h"
#include "policy/ownerclock.h"
#include "policy/sendguard.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Identifies an attempt in messages to its owner. An attempt is one send of a call to one owner.
struct AttemptKey {
  CallId call;
  Incarnation ingress;
  ExpiryStamp expiry;
};

// Which attempts a Cancel ends: all, or only those that have not been dispatched.
enum class CancelScope { kAnyState, kUnlessRunning };

// Build the messages by which an ingress sends, cancels and queries an attempt. `digest` is the
// result of RequestDigest; `next_sequence` is the first response chunk that the ingress lacks.
wire::Envelope MakeCallRequest(const AttemptKey& attempt, const BackendServerId& server,
                               const CallClass& call_class, const std::string& digest,
                               const HttpRequest& request);
wire::Envelope MakeCancel(const AttemptKey& attempt, CancelScope scope = CancelScope::kAnyState);
wire::Envelope MakeStatusQuery(const AttemptKey& attempt, std::uint32_t next_sequence);

// Returns the digest by which the crash guard identifies a request: the first 16 bytes of a SHA-256
// over service, method, target and body.
std::string RequestDigest(const ServiceId& service, const HttpRequest& request);

// The state of an attempt as it follows from its owner's report.
enum class AttemptStatus {
  kNotRun,  // Has not run and will not run.
  kPending,
  kDone,
  kUnknown,  // The owner has been restarted since the attempt was stamped.
};

// Derives the state of an attempt from the reported call state. `owner` is the state sent with the
// report, and `expiry` the stamp that the attempt was sent with.
AttemptStatus AttemptStatusFrom(wire::CallState call_state, const wire::OwnerState& owner,
                                const ExpiryStamp& expiry);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_ATTEMPTMESSAGES_H_
