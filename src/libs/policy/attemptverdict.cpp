#include "policy/attemptverdict.h"

namespace damaskhollow {

AttemptVerdict EvaluateStatus(Incarnation sent_to, Incarnation answered_by, CallProgress progress,
                              bool answer_follows) {
  if (sent_to != answered_by) return AttemptVerdict::kUnknownOwnerRestarted;
  switch (progress) {
    case CallProgress::kNeverSeen:
    case CallProgress::kCancelled:
      return AttemptVerdict::kNotRun;
    case CallProgress::kDone:
      return answer_follows ? AttemptVerdict::kWait : AttemptVerdict::kUnknown;
    case CallProgress::kQueued:
    case CallProgress::kRunning:
      break;
  }
  return AttemptVerdict::kWait;
}

}  // namespace damaskhollow
