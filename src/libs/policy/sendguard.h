#ifndef DAMASKHOLLOW_POLICY_SENDGUARD_H_
#define DAMASKHOLLOW_POLICY_SENDGUARD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "base/ids.h"
#include "base/reason.h"

namespace damaskhollow {

// Identifies a call, that is, one transmission of a request to one owner, uniquely across all
// ingresses.
struct CallKey {
  BackendServerId ingress;
  Incarnation incarnation;
  CallId call;

  auto operator<=>(const CallKey&) const = default;
};

// An owner keeps the tombstone of a call for this long after the call's expiry, on its own clock. A
// status query sent at the deadline can thus still be answered with certainty, and a second
// delivery is not answered as expired.
constexpr std::uint64_t kTombstoneRetentionUs = 10000000;

// State of a call that is neither queued nor running, as the owner knows it.
enum class InactiveCallState {
  kNeverSeen,  // Not run; refused if it still arrives.
  kNotRun,     // Cancelled or refused; refused if it arrives again.
  kMayHaveRun,
};

// Decision about an arriving call.
struct SendDecision {
  Reason refusal = Reason::kNone;
  bool ignore = false;  // Duplicate delivery; the first one is answered or has been.
};

// Ensures on the owner's side that a call runs at most once and that a call reported as not run
// never runs. Uses only the owner's own clock. Calls that are queued or running are tracked by the
// caller of this class.
class SendGuard {
 public:
  explicit SendGuard(Incarnation self) : m_self(self) {}

  // Decides whether an arriving call that is neither queued nor running may be accepted.
  SendDecision CheckArrival(const CallKey& key, Incarnation owner, std::uint64_t expires_at_us,
                            std::uint64_t now_us) const;

  // Records a call that was refused on arrival. Only the last 16,384 are kept: links do not
  // duplicate messages, so this is only a second line of defence, and a flood causes many refusals.
  void RecordRefused(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Records that a call was cancelled before it ran; it will not run.
  void RecordCancelled(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Records that a call ended after it had been dispatched.
  void RecordEnded(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Returns the state of a call for a status query or a cancel. A call that has not arrived yet is
  // barred from running from then on.
  InactiveCallState ResolveState(const CallKey& key, std::uint64_t expires_at_us,
                                 std::uint64_t now_us);

  // Removes tombstones whose retention time is over.
  void Sweep(std::uint64_t now_us);

  std::size_t Count() const { return m_ended.size(); }

 private:
  struct Tombstone {
    std::uint64_t expires_at_us = 0;
    InactiveCallState state = InactiveCallState::kNotRun;
  };

  void AddTombstone(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us,
                    InactiveCallState state);

  const Incarnation m_self;
  std::map<CallKey, Tombstone> m_ended;
  std::map<CallKey, std::uint64_t> m_refused;  // Expiry by call.
  std::deque<CallKey> m_refused_order;         // Oldest first.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SENDGUARD_H_
