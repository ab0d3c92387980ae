#include "owner/ownedcalls.h"

#include <algorithm>
#include <utility>

namespace damaskhollow {

TimePoint OwnedCall::Deadline() const {
  return TimePoint(Duration(static_cast<Duration::rep>(request.expires_at_us())));
}

TimePoint OwnedCall::Target() const {
  return TimePoint(Duration(static_cast<Duration::rep>(request.target_at_us())));
}

SendDecision OwnedCalls::CheckArrival(const CallKey& key, const wire::CallRequest& request,
                                      TimePoint now) const {
  if (m_ids.contains(key)) return {Reason::kNone, true};
  return m_guard.CheckArrival(key, Incarnation{request.owner_incarnation()},
                              request.expires_at_us(), ToClockMicroseconds(now));
}

void OwnedCalls::RecordRefused(const CallKey& key, const wire::CallRequest& request,
                               TimePoint now) {
  m_guard.RecordRefused(key, request.expires_at_us(), ToClockMicroseconds(now));
}

OwnedCallId OwnedCalls::Add(const CallKey& key, const ReplyRoute& route,
                            wire::CallRequest request) {
  const OwnedCallId id{m_next_id++};
  OwnedCall& call = m_calls[id];
  call.key = key;
  call.route = route;
  call.request = std::move(request);
  m_ids[key] = id;
  return id;
}

OwnedCallId OwnedCalls::IdOf(const CallKey& key) const {
  const auto found = m_ids.find(key);
  return found == m_ids.end() ? OwnedCallId{} : found->second;
}

OwnedCall* OwnedCalls::Find(OwnedCallId id) {
  const auto found = m_calls.find(id);
  return found == m_calls.end() ? nullptr : &found->second;
}

std::vector<OwnedCallId> OwnedCalls::Waiting() const {
  std::vector<OwnedCallId> waiting;
  for (const auto& [id, call] : m_calls) {
    if (call.state != OwnedCallState::kRunning) waiting.push_back(id);
  }
  return waiting;
}

void OwnedCalls::RemoveRefused(OwnedCallId id, TimePoint now) {
  const OwnedCall& call = m_calls.at(id);
  RecordRefused(call.key, call.request, now);
  Remove(id);
}

void OwnedCalls::RemoveCancelled(OwnedCallId id, TimePoint now) {
  const OwnedCall& call = m_calls.at(id);
  m_guard.RecordCancelled(call.key, call.request.expires_at_us(), ToClockMicroseconds(now));
  Remove(id);
}

void OwnedCalls::RemoveFinished(OwnedCallId id, TimePoint now) {
  const OwnedCall& call = m_calls.at(id);
  m_guard.RecordEnded(call.key, call.request.expires_at_us(), ToClockMicroseconds(now));
  Remove(id);
}

void OwnedCalls::Remove(OwnedCallId id) {
  m_ids.erase(m_calls.at(id).key);
  m_calls.erase(id);
}

wire::CallState OwnedCalls::Settle(const CallKey& key, std::uint64_t expires_at_us, TimePoint now) {
  switch (m_guard.ResolveState(key, expires_at_us, ToClockMicroseconds(now))) {
    case InactiveCallState::kNeverSeen:
      return wire::CALL_STATE_NEVER_SEEN;
    case InactiveCallState::kNotRun:
      return wire::CALL_STATE_CANCELLED;
    case InactiveCallState::kMayHaveRun:
      break;
  }
  return wire::CALL_STATE_DONE;
}

bool OwnedCalls::HasRunningCallDispatchedBefore(TimePoint before) const {
  return std::any_of(m_calls.begin(), m_calls.end(), [before](const auto& entry) {
    return entry.second.state == OwnedCallState::kRunning && entry.second.dispatched_at < before;
  });
}

void OwnedCalls::Sweep(TimePoint now) { m_guard.Sweep(ToClockMicroseconds(now)); }

}  // namespace damaskhollow
