#ifndef DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_
#define DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_

#include <cstddef>
#include <optional>

#include "base/randomsource.h"
#include "base/time.h"

namespace damaskhollow {

// How far the peers that a fresh node asks have answered.
struct PeerResponses {
  std::size_t queried = 0;
  std::size_t responded = 0;  // Linked, so that their versions are known.
  bool has_newer = false;     // One of them holds a version above the candidate's.
};

// The order in which a node without any configuration looks for one. It asks peers before it trusts
// the service, as the service may serve an old version that its peers have left behind.
class ConfigurationBootstrap {
 public:
  enum class Step {
    kWaitForSeeds,    // Wait for the peers named in the settings.
    kReadStore,       // Read the service, for a first inventory.
    kWaitForPeers,    // Ask the peers named in what the service gave.
    kApplyCandidate,  // No peer holds a newer version: take what the service gave.
    kFetchFromPeer,   // A peer holds a newer version: take that.
  };

  // `store_is_current` says that the service never answers with less than it has acknowledged; its
  // answer is then taken at once. `is_seed` says that other nodes ask this one; it then reads the
  // service at once, so that one copy serves all that wait for it.
  ConfigurationBootstrap(bool has_seeds, bool is_seed, RandomSource& random, TimePoint now,
                         bool store_is_current = false);

  // The service answered; the value is not in force yet.
  void OnCandidateReceived(TimePoint now);

  Step Next(const PeerResponses& peers, TimePoint now) const;

 private:
  bool m_store_is_current;
  TimePoint m_read_store_at;
  std::optional<TimePoint> m_candidate_since;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_CONFIGURATIONBOOTSTRAP_H_
