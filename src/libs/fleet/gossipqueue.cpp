#include "fleet/gossipqueue.h"

#include <algorithm>

namespace damaskhollow {

void GossipQueue::SetNeighbours(const std::set<BackendServerId>& neighbours,
                                std::span<const BackendServerId> known) {
  std::erase_if(m_pending, [&](const auto& entry) { return !neighbours.contains(entry.first); });
  for (const BackendServerId& neighbour : neighbours) {
    if (!m_pending.contains(neighbour)) m_pending[neighbour] = {known.begin(), known.end()};
  }
}

void GossipQueue::Reset(const BackendServerId& neighbour, std::span<const BackendServerId> known) {
  const auto found = m_pending.find(neighbour);
  if (found != m_pending.end()) found->second = {known.begin(), known.end()};
}

void GossipQueue::Enqueue(const BackendServerId& server, const BackendServerId& from) {
  for (auto& [neighbour, pending] : m_pending) {
    if (neighbour != from && neighbour != server) pending.insert(server);
  }
}

std::vector<BackendServerId> GossipQueue::Pop(const BackendServerId& neighbour, std::size_t limit) {
  std::vector<BackendServerId> popped;
  const auto found = m_pending.find(neighbour);
  if (found == m_pending.end()) return popped;
  while (!found->second.empty() && popped.size() < limit) {
    popped.push_back(*found->second.begin());
    found->second.erase(found->second.begin());
  }
  return popped;
}

bool GossipQueue::HasPending(const BackendServerId& neighbour) const {
  const auto found = m_pending.find(neighbour);
  return found != m_pending.end() && !found->second.empty();
}

std::vector<BackendServerId> GossipQueue::Neighbours() const {
  std::vector<BackendServerId> neighbours;
  neighbours.reserve(m_pending.size());
  for (const auto& entry : m_pending) neighbours.push_back(entry.first);
  return neighbours;
}

bool ByteBudget::TryConsume(std::size_t bytes, TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - m_updated).count();
  m_left = std::min(m_rate, m_left + seconds * m_rate);
  m_updated = now;
  if (m_left <= 0.0) return false;
  m_left -= static_cast<double>(bytes);
  return true;
}

}  // namespace damaskhollow
