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

// Lets at most one suspect request pass to a backend server at a time, so that the next crash
// blames no innocent request a second time. The others wait here, in order, before admission.
class SuspectGate {
 public:
  // Whether a suspect must wait.
  bool IsOccupied() const { return m_admitted.has_value(); }

  // Notes that the call has passed as the one suspect.
  void Enter(OwnedCallId call) { m_admitted = call; }

  // Takes a call that must wait, or returns why there is no place for it.
  Reason Wait(OwnedCallId call, std::size_t bytes);

  // Forgets a call that ended, was cancelled or has expired, whether it waits or not.
  void Leave(OwnedCallId call);

  // The calls that wait, the longest first.
  std::vector<OwnedCallId> Waiting() const;

 private:
  std::optional<OwnedCallId> m_admitted;
  std::deque<std::pair<OwnedCallId, std::size_t>> m_waiting;  // With their bytes.
  std::size_t m_bytes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SUSPECTGATE_H_
