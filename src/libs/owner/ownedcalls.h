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
  kClaiming,  // Other servers are asked to release its request id.
  kHeld,      // Suspected of a crash, and another suspect is queued or running.
  kQueued,
  kRunning,
};

// A call at its owner, from its arrival to its end.
struct OwnedCall {
  CallKey key;
  ReplyRoute route;
  wire::CallRequest request;  // Without its body once it is dispatched.
  std::string log_id;
  OwnedCallState state = OwnedCallState::kQueued;
  TimePoint arrived{};
  TimePoint dispatched_at{};
  ServerCondition condition;     // Of the backend server at the dispatch.
  bool discard_answer = false;   // The ingress no longer waits for it.
  bool shed = false;             // The server answered that it did not run it.
  bool server_was_full = false;  // And that it had no room for it.
  std::uint32_t next_sequence = 0;
  RetransmitBuffer retransmit_buffer;

  // When the call expires, on this node's clock.
  TimePoint Deadline() const;

  // Until when an answer is in time, on this node's clock; only if the request says so.
  TimePoint Target() const;
};

// The calls at an owner and what it remembers of ended ones. Calls that are looked up by key and
// not found have ended or were never seen.
class OwnedCalls {
 public:
  explicit OwnedCalls(Incarnation self) : m_guard(self) {}

  // Decides about an arriving call. A call that is here already is ignored.
  SendDecision CheckArrival(const CallKey& key, const wire::CallRequest& request,
                            TimePoint now) const;

  // Notes that a call was refused at its arrival.
  void RecordRefused(const CallKey& key, const wire::CallRequest& request, TimePoint now);

  OwnedCallId Add(const CallKey& key, const ReplyRoute& route, wire::CallRequest request);

  // The id of a call that is here, or 0.
  OwnedCallId IdOf(const CallKey& key) const;

  // Null if the call has ended.
  OwnedCall* Find(OwnedCallId id);
  OwnedCall& At(OwnedCallId id) { return m_calls.at(id); }

  // The calls that have not been dispatched.
  std::vector<OwnedCallId> Waiting() const;

  // Removes a call that ended: refused, cancelled before it ran, or after it was dispatched.
  void RemoveRefused(OwnedCallId id, TimePoint now);
  void RemoveCancelled(OwnedCallId id, TimePoint now);
  void RemoveFinished(OwnedCallId id, TimePoint now);

  // What is known of a call that is not here; it will not run after this.
  wire::CallState Settle(const CallKey& key, std::uint64_t expires_at_us, TimePoint now);

  // Forgets ended calls that would be refused as expired.
  void Sweep(TimePoint now);

  // Whether a call that was dispatched before this time still runs.
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
