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

// Names an attempt towards its owner.
struct AttemptKey {
  CallId call;
  Incarnation ingress;
  ExpiryStamp expiry;
};

// The messages by which an ingress sends an attempt and asks about it.
wire::Envelope MakeCallRequest(const AttemptKey& attempt, const BackendServerId& server,
                               const CallClass& call_class, const std::string& digest,
                               const HttpRequest& request);
wire::Envelope MakeCancel(const AttemptKey& attempt);
wire::Envelope MakeStatusQuery(const AttemptKey& attempt, std::uint32_t next_sequence);

// The digest that names a request towards the crash guard.
std::string RequestDigest(const ServiceId& service, const HttpRequest& request);

// What an owner's word on a call proves.
enum class AttemptStatus {
  kNotRun,  // It has not run and will not run.
  kPending,
  kDone,
  kUnknown,  // The owner is another process.
};

AttemptStatus AttemptStatusFrom(wire::CallState call_state, const wire::OwnerState& owner,
                                const ExpiryStamp& expiry);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_ATTEMPTMESSAGES_H_
