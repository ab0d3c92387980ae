#include "fleet/gossipbook.h"

#include <algorithm>

namespace damaskhollow {

void GossipBook::SetNeighbours(const std::set<BackendServerId>& neighbours,
                               std::span<const BackendServerId> known) {
  std::erase_if(m_owed, [&](const auto& entry) { return !neighbours.contains(entry.first); });
  for (const BackendServerId& neighbour : neighbours) {
    if (!m_owed.contains(neighbour)) m_owed[neighbour] = {known.begin(), known.end()};
  }
}

void GossipBook::Restart(const BackendServerId& neighbour, std::span<const BackendServerId> known) {
  const auto found = m_owed.find(neighbour);
  if (found != m_owed.end()) found->second = {known.begin(), known.end()};
}

void GossipBook::NoteNews(const BackendServerId& server, const BackendServerId& from) {
  for (auto& [neighbour, owed] : m_owed) {
    if (neighbour != from && neighbour != server) owed.insert(server);
  }
}

std::vector<BackendServerId> GossipBook::Take(const BackendServerId& neighbour, std::size_t limit) {
  std::vector<BackendServerId> taken;
  const auto found = m_owed.find(neighbour);
  if (found == m_owed.end()) return taken;
  while (!found->second.empty() && taken.size() < limit) {
    taken.push_back(*found->second.begin());
    found->second.erase(found->second.begin());
  }
  return taken;
}

bool GossipBook::IsOwed(const BackendServerId& neighbour) const {
  const auto found = m_owed.find(neighbour);
  return found != m_owed.end() && !found->second.empty();
}

std::vector<BackendServerId> GossipBook::Neighbours() const {
  std::vector<BackendServerId> neighbours;
  neighbours.reserve(m_owed.size());
  for (const auto& entry : m_owed) neighbours.push_back(entry.first);
  return neighbours;
}

bool ByteBudget::TryTake(std::size_t bytes, TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - m_updated).count();
  m_left = std::min(m_rate, m_left + seconds * m_rate);
  m_updated = now;
  if (m_left <= 0.0) return false;
  m_left -= static_cast<double>(bytes);
  return true;
}

}  // namespace damaskhollow
