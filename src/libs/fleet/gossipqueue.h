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

// Queues for each gossip neighbour the servers whose statements still have to be sent to it. Only
// changes are queued, so an idle fleet exchanges nothing but versions. Not thread-safe.
class GossipQueue {
 public:
  // Sets the neighbours. For a new one, `known`, the servers whose statements are to be passed on,
  // are queued.
  void SetNeighbours(const std::set<BackendServerId>& neighbours,
                     std::span<const BackendServerId> known);

  // Replaces a neighbour's queue by `known` after its link came up again, as statements sent before
  // may have been lost.
  void Reset(const BackendServerId& neighbour, std::span<const BackendServerId> known);

  // Queues a new statement of `server` for all neighbours except `from`, which sent it, and
  // `server`.
  void Enqueue(const BackendServerId& server, const BackendServerId& from);

  // Removes and returns up to `limit` servers from the neighbour's queue.
  std::vector<BackendServerId> Pop(const BackendServerId& neighbour, std::size_t limit);

  bool HasPending(const BackendServerId& neighbour) const;
  std::vector<BackendServerId> Neighbours() const;

 private:
  std::map<BackendServerId, std::set<BackendServerId>> m_pending;
};

// Token bucket that limits the bytes sent per second, with a burst of one second's worth.
class ByteBudget {
 public:
  void SetRate(std::size_t bytes_per_second) { m_rate = static_cast<double>(bytes_per_second); }

  // Consumes `bytes` and returns true if any budget is left. A message may exceed the rest of the
  // budget; the excess is deducted from later budget.
  bool TryConsume(std::size_t bytes, TimePoint now);

 private:
  double m_rate = 0.0;
  double m_left = 0.0;
  TimePoint m_updated{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_GOSSIPQUEUE_H_
