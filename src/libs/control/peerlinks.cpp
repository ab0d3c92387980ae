#include "control/peerlinks.h"

#include <utility>

namespace damaskhollow {

namespace {

// Peers send gossip at least every 20 s on each link that they dial, so this covers three periods.
constexpr std::chrono::seconds kRouteLifetime{65};

// Covers several connection attempts with handshakes between regions.
constexpr std::chrono::seconds kConnectTimeout{2};

}  // namespace

PeerLinks::PeerLinks(PeerTransport& transport, Messenger& messenger)
    : m_transport(transport), m_messenger(messenger) {}

void PeerLinks::SetWanted(std::span<const Target> targets, const BusyFunction& is_busy,
                          TimePoint now) {
  std::map<BackendServerId, Wanted> before = std::exchange(m_wanted, {});
  for (const Target& target : targets) {
    const auto known = before.find(target.peer);
    const bool is_same = known != before.end() && known->second.target == target;
    m_wanted[target.peer] = Wanted{target, is_same ? known->second.since : now};
    if (known != before.end()) before.erase(known);
    if (!is_same) m_transport.OpenLink(target.peer, target.endpoint, target.public_key);
  }
  for (const auto& [peer, wanted] : before) {
    if (is_busy(peer)) {
      m_wanted[peer] = wanted;
      continue;
    }
    m_up.erase(peer);
    m_transport.CloseLink(peer);
  }
}

std::vector<BackendServerId> PeerLinks::Overdue(TimePoint now) const {
  std::vector<BackendServerId> overdue;
  for (const auto& [peer, wanted] : m_wanted) {
    if (!m_up.contains(peer) && now - wanted.since > kConnectTimeout) overdue.push_back(peer);
  }
  return overdue;
}

void PeerLinks::OnLinkUp(const BackendServerId& peer) {
  if (m_wanted.contains(peer)) m_up.insert(peer);
}

void PeerLinks::OnLinkDown(const BackendServerId& peer) { m_up.erase(peer); }

void PeerLinks::RecordRoute(const ReplyRoute& route, TimePoint now) {
  if (route.routing_id.empty()) return;
  m_accepted[route.peer] = Accepted{route, now};
}

bool PeerLinks::HasRoute(const BackendServerId& peer, TimePoint now) const {
  const auto found = m_accepted.find(peer);
  return found != m_accepted.end() && now - found->second.last_received < kRouteLifetime;
}

std::vector<BackendServerId> PeerLinks::Connected(TimePoint now) const {
  std::vector<BackendServerId> connected(m_up.begin(), m_up.end());
  for (const auto& [peer, accepted] : m_accepted) {
    if (!m_up.contains(peer) && HasRoute(peer, now)) connected.push_back(peer);
  }
  return connected;
}

bool PeerLinks::Send(const BackendServerId& peer, wire::Envelope message, TimePoint now) {
  if (m_up.contains(peer)) {
    m_messenger.Send(peer, std::move(message));
    return true;
  }
  return SendOnAccepted(peer, std::move(message), now);
}

bool PeerLinks::SendOnAccepted(const BackendServerId& peer, wire::Envelope message, TimePoint now) {
  if (!HasRoute(peer, now)) return false;
  m_messenger.Reply(m_accepted.at(peer).route, std::move(message));
  return true;
}

}  // namespace damaskhollow
