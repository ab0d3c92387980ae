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

// The links of this node as the control role uses them: those that it dials and those that others
// dialled to it. Lives on the main thread.
class PeerLinks {
 public:
  struct Target {
    BackendServerId peer;
    Endpoint endpoint;
    std::string public_key;

    bool operator==(const Target&) const = default;
  };

  using BusyFunction = std::function<bool(const BackendServerId& peer)>;

  PeerLinks(PeerTransport& transport, Messenger& messenger);

  // Opens the links that are missing and closes the others, but for those on which calls still run.
  void SetWanted(std::span<const Target> targets, const BusyFunction& is_busy, TimePoint now);

  // The wanted links that have not come up within two seconds.
  std::vector<BackendServerId> Overdue(TimePoint now) const;

  void OnLinkUp(const BackendServerId& peer);
  void OnLinkDown(const BackendServerId& peer);

  // Notes that a peer sent something on the link that it dialled.
  void RecordRoute(const ReplyRoute& route, TimePoint now);

  bool IsWanted(const BackendServerId& peer) const { return m_wanted.contains(peer); }
  bool IsUp(const BackendServerId& peer) const { return m_up.contains(peer); }
  std::size_t WantedCount() const { return m_wanted.size(); }
  std::size_t UpCount() const { return m_up.size(); }

  // The peers that can be sent something, on either kind of link.
  std::vector<BackendServerId> Connected(TimePoint now) const;

  // Sends on the dialled link if it is up, else on the one that the peer dialled. Returns false if
  // there is neither.
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
