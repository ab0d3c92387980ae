#ifndef DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_
#define DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_

#include "base/ids.h"

namespace damaskhollow {

// State of a call in the reply of an owner to a status query.
enum class CallProgress {
  kNeverSeen,  // Not run; refused if it still arrives.
  kQueued,
  kRunning,
  kDone,
  kCancelled,  // Not run, and it will not run.
};

// Conclusion of an ingress about one of its attempts.
enum class AttemptVerdict {
  kWait,
  kNotRun,
  kUnknown,
  kUnknownOwnerRestarted,
};

// Returns the conclusion from a status result. `sent_to` is the incarnation of the owner that the
// attempt was addressed to, `answered_by` the one that answered. Only the former can prove that a
// call was not run, as a restarted owner has no record of it.
AttemptVerdict EvaluateStatus(Incarnation sent_to, Incarnation answered_by, CallProgress progress,
                              bool answer_follows);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_
