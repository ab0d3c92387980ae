#include "policy/suspectgate.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// After a crash, hardly more suspects wait than were in flight; the others may go to another
// server.
constexpr std::size_t kMaxWaiting = 128;
constexpr std::size_t kMaxWaitingBytes = 1024UL * 1024UL;

}  // namespace

Reason SuspectGate::Wait(OwnedCallId call, std::size_t bytes) {
  if (m_waiting.size() >= kMaxWaiting) return Reason::kQueueFullCount;
  if (m_bytes + bytes > kMaxWaitingBytes) return Reason::kQueueFullBytes;
  m_waiting.emplace_back(call, bytes);
  m_bytes += bytes;
  return Reason::kNone;
}

void SuspectGate::Leave(OwnedCallId call) {
  if (m_admitted == call) {
    m_admitted.reset();
    return;
  }
  const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                  [call](const auto& entry) { return entry.first == call; });
  if (found == m_waiting.end()) return;
  m_bytes -= found->second;
  m_waiting.erase(found);
}

std::vector<OwnedCallId> SuspectGate::Waiting() const {
  std::vector<OwnedCallId> calls;
  calls.reserve(m_waiting.size());
  for (const auto& entry : m_waiting) calls.push_back(entry.first);
  return calls;
}

}  // namespace damaskhollow
