#ifndef DAMASKHOLLOW_OWNER_OWNEDCALLS_H_
#define DAMASKHOLLOW_OWNER_OWNEDCALLS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "owner/retransmitcache.h"
#include "policy/admissionqueue.h"
#include "policy/runestimate.h"
#include "policy/sendguard.h"
#include "wire/messages.pb.h"
#include "wire/peertransport.h"

namespace damaskhollow {

enum class OwnedCallState {
  kClaiming,  // Waits for other owners to release its request id.
  kHeld,      // Suspected of crashing servers; waits until no other suspect is queued or running.
  kQueued,
  kRunning,
};

// State of one call at its owner, from arrival to completion.
struct OwnedCall {
  CallKey key;
  ReplyRoute route;
  wire::CallRequest request;  // The body is cleared at dispatch.
  std::string log_id;
  OwnedCallState state = OwnedCallState::kQueued;
  TimePoint arrived{};
  TimePoint dispatched_at{};
  ServerCondition condition;     // Of the backend server at dispatch.
  bool discard_answer = false;   // The ingress has cancelled the call.
  bool shed = false;             // The server reported that it did not run the call.
  bool server_was_full = false;  // The server rejected the call for lack of free slots.
  std::uint32_t next_sequence = 0;
  RetransmitBuffer unacked;

  // Time at which the call expires, on this node's monotonic clock.
  TimePoint Deadline() const;

  // Time up to which a response counts as timely, on this node's monotonic clock. Valid only if the
  // request has a target time.
  TimePoint Target() const;
};

// Holds the active calls of an owner and a record of recently ended ones. A call whose key is not
// found among the active calls has ended or never arrived. Not thread-safe.
class OwnedCalls {
 public:
  explicit OwnedCalls(Incarnation self) : m_guard(self) {}

  // Decides whether an arriving call is accepted, refused or ignored. A call that is already active
  // is ignored.
  SendDecision CheckArrival(const CallKey& key, const wire::CallRequest& request,
                            TimePoint now) const;

  // Records that a call was refused on arrival.
  void RecordRefused(const CallKey& key, const wire::CallRequest& request, TimePoint now);

  // Adds an active call and returns its new id.
  OwnedCallId Add(const CallKey& key, const ReplyRoute& route, wire::CallRequest request);

  // Returns the id of an active call, or 0.
  OwnedCallId IdOf(const CallKey& key) const;

  // Returns an active call, or null if it has ended.
  OwnedCall* Find(OwnedCallId id);

  // Returns a call that must be active.
  OwnedCall& At(OwnedCallId id) { return m_calls.at(id); }

  // Returns the active calls that have not been dispatched.
  std::vector<OwnedCallId> Waiting() const;

  // Removes an active call and records how it ended: refused, cancelled before it ran, or finished
  // after dispatch.
  void RemoveRefused(OwnedCallId id, TimePoint now);
  void RemoveCancelled(OwnedCallId id, TimePoint now);
  void RemoveFinished(OwnedCallId id, TimePoint now);

  // Returns the final state of a call that is not active. A call that has never arrived will be
  // refused if it arrives later.
  wire::CallState Settle(const CallKey& key, std::uint64_t expires_at_us, TimePoint now);

  // Erases records of ended calls that would be refused as expired if they arrived again.
  void Sweep(TimePoint now);

  // Whether a call that was dispatched before this time is still running.
  bool HasRunningCallDispatchedBefore(TimePoint before) const;

  bool IsEmpty() const { return m_calls.empty(); }

 private:
  void Remove(OwnedCallId id);

  SendGuard m_guard;
  std::map<OwnedCallId, OwnedCall> m_calls;
  std::map<CallKey, OwnedCallId> m_ids;
  std::uint64_t m_next_id = 1;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_OWNEDCALLS_H_
