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

// Names a call, that is one sending of a request to one owner, among all ingresses.
struct CallKey {
  BackendServerId ingress;
  Incarnation incarnation;
  CallId call;

  auto operator<=>(const CallKey&) const = default;
};

// An owner remembers a call for this long after its expiry, on its own clock, so that a question
// asked at the deadline still gets a proof, and a second delivery is not answered as expired.
constexpr std::uint64_t kTombstoneRetentionUs = 10000000;

// What an owner knows of a call that it has neither queued nor running.
enum class InactiveCallState {
  kNeverSeen,  // Not run; refused if it still arrives.
  kNotRun,     // Cancelled or refused; refused if it arrives again.
  kMayHaveRun,
};

// What to do with an arriving call.
struct SendDecision {
  Reason refusal = Reason::kNone;
  bool ignore = false;  // Delivered twice; the first delivery is answered or was answered.
};

// The owner's proof that a call runs at most once and that a call reported as not run never runs.
// Works on the owner's own clock alone. Calls that are queued or running are kept elsewhere.
class SendGuard {
 public:
  explicit SendGuard(Incarnation self) : m_self(self) {}

  // Decides about a call that is neither queued nor running.
  SendDecision CheckArrival(const CallKey& key, Incarnation owner, std::uint64_t expires_at_us,
                            std::uint64_t now_us) const;

  // Notes a call that was refused at arrival. Only the last 16,384 of them are kept: links do not
  // duplicate messages, so this is a second line of defence, and floods refuse many calls.
  void RecordRefused(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Notes that a call was cancelled before it ran, and will not run.
  void RecordCancelled(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Notes that a call ended after it had been dispatched.
  void RecordEnded(const CallKey& key, std::uint64_t expires_at_us, std::uint64_t now_us);

  // Answers a status query or a cancel. A call that was never seen will not run after this.
  InactiveCallState ResolveState(const CallKey& key, std::uint64_t expires_at_us,
                                 std::uint64_t now_us);

  // Forgets calls whose expiry is further back than the owner's memory.
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
