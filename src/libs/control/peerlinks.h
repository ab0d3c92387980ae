#ifndef DAMASKHOLLOW_CONTROL_PEERLINKS_H_
#define DAMASKHOLLOW_CONTROL_PEERLINKS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "calls/messenger.h"

namespace damaskhollow {

// Tracks the node's peer links for the control role: those that it dials and those that peers
// dialled to it. Used by ControlService on the main thread.
class PeerLinks {
 public:
  // A peer to dial.
  struct Target {
    BackendServerId peer;
    Endpoint endpoint;
    std::string public_key;

    bool operator==(const Target&) const = default;
  };

  using BusyFunction = std::function<bool(const BackendServerId& peer)>;

  PeerLinks(PeerTransport& transport, Messenger& messenger);

  // Opens missing links to `targets` and closes all others, except those on which calls still run.
  // A link whose endpoint or key has changed is opened anew.
  void SetWanted(std::span<const Target> targets, const BusyFunction& is_busy, TimePoint now);

  // The wanted links that have not come up within 2 s.
  std::vector<BackendServerId> Overdue(TimePoint now) const;

  void OnLinkUp(const BackendServerId& peer);
  void OnLinkDown(const BackendServerId& peer);

  // Records that a peer sent a message on the link that it dialled, so that replies can use it.
  void RecordRoute(const ReplyRoute& route, TimePoint now);

  bool IsWanted(const BackendServerId& peer) const { return m_wanted.contains(peer); }
  bool IsUp(const BackendServerId& peer) const { return m_up.contains(peer); }
  std::size_t WantedCount() const { return m_wanted.size(); }
  std::size_t UpCount() const { return m_up.size(); }

  // The peers that can be reached over a link in either direction.
  std::vector<BackendServerId> Connected(TimePoint now) const;

  // Sends on the link dialled to the peer if it is up, otherwise on the one that the peer dialled.
  // Returns false if there is neither.
  bool Send(const BackendServerId& peer, wire::Envelope message, TimePoint now);

  // Sends on the link that the peer dialled. Returns false if there is none.
  bool SendOnAccepted(const BackendServerId& peer, wire::Envelope message, TimePoint now);

 private:
  struct Wanted {
    Target target;
    TimePoint since{};
  };

  struct Accepted {
    ReplyRoute route;
    TimePoint last_received{};
  };

  bool HasRoute(const BackendServerId& peer, TimePoint now) const;

  PeerTransport& m_transport;
  Messenger& m_messenger;
  std::map<BackendServerId, Wanted> m_wanted;
  std::set<BackendServerId> m_up;
  std::map<BackendServerId, Accepted> m_accepted;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_PEERLINKS_H_
