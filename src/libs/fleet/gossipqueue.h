#ifndef DAMASKHOLLOW_FLEET_GOSSIPQUEUE_H_
#define DAMASKHOLLOW_FLEET_GOSSIPQUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Which statements each gossip neighbour still has to be sent. Only news is passed on: an idle
// fleet exchanges versions and nothing else.
class GossipQueue {
 public:
  // Sets the neighbours. A new one is owed `known`, the servers with a statement worth telling.
  void SetNeighbours(const std::set<BackendServerId>& neighbours,
                     std::span<const BackendServerId> known);

  // A neighbour's link came up again, so what was sent before may be lost.
  void Reset(const BackendServerId& neighbour, std::span<const BackendServerId> known);

  // There is a new statement of `server`; `from` has it already.
  void Enqueue(const BackendServerId& server, const BackendServerId& from);

  // Takes up to `limit` servers whose statements the neighbour is owed.
  std::vector<BackendServerId> Pop(const BackendServerId& neighbour, std::size_t limit);

  bool HasPending(const BackendServerId& neighbour) const;
  std::vector<BackendServerId> Neighbours() const;

 private:
  std::map<BackendServerId, std::set<BackendServerId>> m_pending;
};

// Bytes that may be sent a second, with one second's worth in store.
class ByteBudget {
 public:
  void SetRate(std::size_t bytes_per_second) { m_rate = static_cast<double>(bytes_per_second); }

  // Takes `bytes` if there are any left; the overdraft of a single message is paid back later.
  bool TryConsume(std::size_t bytes, TimePoint now);

 private:
  double m_rate = 0.0;
  double m_left = 0.0;
  TimePoint m_updated{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_GOSSIPQUEUE_H_
