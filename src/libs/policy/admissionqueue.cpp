#include "policy/admissionqueue.h"

#include <algorithm>

namespace damaskhollow {

namespace {

constexpr int kServiceTimeSmoothing = 8;

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits& limits,
                               std::span<const Priority> priorities) {
  Reconfigure(limits, priorities);
}

void AdmissionQueue::Reconfigure(const AdmissionLimits& limits,
                                 std::span<const Priority> priorities) {
  m_limits = limits;
  m_priorities.assign(priorities.begin(), priorities.end());
  m_queues.resize(std::max(m_queues.size(), m_priorities.size()));
}

Reason AdmissionQueue::Offer(const AdmissionCall& call, TimePoint now) {
  if (call.deadline <= now) return Reason::kExpired;
  if (m_queued_count >= m_limits.queue_count) return Reason::kQueueFullCount;
  if (m_queued_bytes + call.bytes > m_limits.queue_bytes) return Reason::kQueueFullBytes;
  const std::size_t index = std::min(call.priority_index, m_queues.size() - 1);
  m_queues[index].push_back(call);
  m_queued_bytes += call.bytes;
  ++m_queued_count;
  return Reason::kNone;
}

std::vector<OwnedCallId> AdmissionQueue::TakeDispatchable(TimePoint now) {
  std::vector<OwnedCallId> taken;
  for (std::size_t index = 0; index < m_queues.size(); ++index) {
    while (!m_queues[index].empty() && m_running.size() < m_limits.slots) {
      const AdmissionCall call = m_queues[index].front();
      m_queues[index].pop_front();
      m_queued_bytes -= call.bytes;
      --m_queued_count;
      m_running[call.id] = Running{now, index};
      taken.push_back(call.id);
    }
  }
  return taken;
}

std::vector<OwnedCallId> AdmissionQueue::TakeExpired(TimePoint now) {
  std::vector<OwnedCallId> expired;
  for (std::deque<AdmissionCall>& queue : m_queues) {
    std::erase_if(queue, [&](const AdmissionCall& call) {
      if (call.deadline > now) return false;
      expired.push_back(call.id);
      m_queued_bytes -= call.bytes;
      --m_queued_count;
      return true;
    });
  }
  return expired;
}

bool AdmissionQueue::Cancel(OwnedCallId id) {
  for (std::deque<AdmissionCall>& queue : m_queues) {
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [&](const AdmissionCall& call) { return call.id == id; });
    if (found == queue.end()) continue;
    m_queued_bytes -= found->bytes;
    --m_queued_count;
    queue.erase(found);
    return true;
  }
  return false;
}

void AdmissionQueue::NoteFinished(OwnedCallId id, SlotResult result, TimePoint now) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) return;
  if (result == SlotResult::kCompleted) {
    m_service_time += (now - found->second.since - m_service_time) / kServiceTimeSmoothing;
  }
  m_running.erase(found);
}

AdmissionLoad AdmissionQueue::Load() const {
  AdmissionLoad load;
  load.in_flight = m_running.size();
  load.queued = m_queued_count;
  load.limit = m_limits.slots;
  load.service_time = m_service_time;
  load.queue_delay =
      m_service_time * static_cast<int>(m_queued_count) / static_cast<int>(m_limits.slots);
  return load;
}

}  // namespace damaskhollow
