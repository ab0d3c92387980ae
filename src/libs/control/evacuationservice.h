#ifndef DAMASKHOLLOW_CONTROL_EVACUATIONSERVICE_H_
#define DAMASKHOLLOW_CONTROL_EVACUATIONSERVICE_H_

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <memory>

#include "configuration/evacuations.h"
#include "declaration/declaration.h"
#include "metrics/metricsregistry.h"
#include "owner/ownerservice.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// Knows which data centres are evacuated, from this node's reads of the platform's service and from
// the gossip of peers, and tells operators. Used by ControlService on the main thread.
class EvacuationService {
 public:
  // `on_changed` is called when other data centres are evacuated than before.
  EvacuationService(MetricsRegistry& metrics, std::function<void()> on_changed);

  // Takes a set that this node read or that a peer sent, unless a newer one is known.
  void Offer(const EvacuationSet& evacuations);
  void HandleGossip(const wire::Gossip& gossip);

  // Adds the known set to a message for a peer.
  void AddTo(wire::Gossip& gossip) const;

  // The version of the last change, which neighbours are told of at once.
  std::uint64_t ChangedAt() const { return m_tracker.ChangedAt(); }

  // Returns `declaration` with the evacuated data centres in addition to its own ones. Those that
  // it does not declare are left out.
  std::shared_ptr<const Declaration> Apply(
      const std::shared_ptr<const Declaration>& declaration) const;

  // Adds to the body of /status what is evacuated, as of which version and for how long.
  // `running_calls` is the number of calls on the own backend server.
  void AddStatus(QJsonObject& status, const Declaration& declaration,
                 std::size_t running_calls) const;

 private:
  MetricsRegistry& m_metrics;
  std::function<void()> m_on_changed;
  EvacuationTracker m_tracker;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_EVACUATIONSERVICE_H_
