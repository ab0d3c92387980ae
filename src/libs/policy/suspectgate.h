#ifndef DAMASKHOLLOW_POLICY_SUSPECTGATE_H_
#define DAMASKHOLLOW_POLICY_SUSPECTGATE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "base/reason.h"
#include "policy/admissionqueue.h"

namespace damaskhollow {

// Admits at most one suspect request to a backend server at a time, so that the next crash does not
// put an unrelated request under suspicion again. The others wait in order before admission.
class SuspectGate {
 public:
  // Whether a suspect is admitted, so that the next one must wait.
  bool IsOccupied() const { return m_admitted.has_value(); }

  // Registers the call as the one admitted suspect.
  void Enter(OwnedCallId call) { m_admitted = call; }

  // Queues a call that must wait, or returns the reason why the queue is full.
  Reason Wait(OwnedCallId call, std::size_t bytes);

  // Removes a call that has ended, was cancelled or has expired, whether it is waiting or admitted.
  void Leave(OwnedCallId call);

  // Returns the waiting calls, longest wait first.
  std::vector<OwnedCallId> Waiting() const;

 private:
  std::optional<OwnedCallId> m_admitted;
  std::deque<std::pair<OwnedCallId, std::size_t>> m_waiting;  // With their size in bytes.
  std::size_t m_bytes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SUSPECTGATE_H_
