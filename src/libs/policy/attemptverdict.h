#ifndef DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_
#define DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_

#include "base/ids.h"

namespace damaskhollow {

// What an owner says of a call that it is asked about.
enum class CallProgress {
  kNeverSeen,  // Not run; refused if it still arrives.
  kQueued,
  kRunning,
  kDone,
  kCancelled,  // Not run, and it will not run.
};

// What an ingress concludes about one of its attempts.
enum class AttemptVerdict {
  kWait,
  kNotRun,
  kUnknown,
  kUnknownOwnerRestarted,
};

// The conclusion from a status result. `sent_to` is the owner's incarnation that the attempt was
// stamped for, `answered_by` the one that answered. Only the former can prove that a call was not
// run; a restarted owner has forgotten it.
AttemptVerdict EvaluateStatus(Incarnation sent_to, Incarnation answered_by, CallProgress progress,
                              bool answer_follows);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ATTEMPTVERDICT_H_
