#ifndef DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_
#define DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_

#include <cstddef>
#include <optional>

#include "base/randomsource.h"
#include "base/time.h"

namespace damaskhollow {

// The responses of the peers that a node without a configuration has queried.
struct PeerResponses {
  std::size_t queried = 0;    // Peers that links are dialled to.
  std::size_t responded = 0;  // Peers with an established link, which reports their versions.
  bool has_newer = false;     // Whether a peer reported a version above the candidate's.
};

// Decides the next step by which a node without a configuration obtains one. Peers are queried
// before a version from the service is activated, because the service may return an older version
// than the peers already use.
class ConfigurationBootstrap {
 public:
  enum class Step {
    kWaitForSeeds,    // Wait for the peers named in the settings.
    kReadStore,       // Read the service to get a first inventory.
    kWaitForPeers,    // Wait for the peers listed in the version read from the service.
    kApplyCandidate,  // No peer has a newer version: activate the one from the service.
    kFetchFromPeer,   // A peer has a newer version: fetch and activate that one.
  };

  // `has_seeds` is whether the settings name peers to query. `is_seed` is whether other nodes query
  // this one at start-up; a seed skips the long random delay of other nodes before it reads the
  // service, so that one copy serves all nodes that wait for it. `store_is_current` is whether the
  // service never returns less than the last acknowledged version; its version is then activated
  // without waiting.
  ConfigurationBootstrap(bool has_seeds, bool is_seed, RandomSource& random, TimePoint now,
                         bool store_is_current = false);

  // Records that the service returned a version, which is not active yet.
  void OnCandidateReceived(TimePoint now);

  // Returns the step to take at `now`.
  Step Next(const PeerResponses& peers, TimePoint now) const;

 private:
  bool m_store_is_current;
  TimePoint m_read_store_at;
  std::optional<TimePoint> m_candidate_since;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_
