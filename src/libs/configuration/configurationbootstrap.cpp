#include "configuration/configurationbootstrap.h"

namespace damaskhollow {

namespace {

// Covers two connection attempts with handshakes between regions.
constexpr std::chrono::milliseconds kPeerResponseTimeout{1500};
// Upper bounds of the random delay that spreads the reads when a whole fleet starts at once.
constexpr std::chrono::milliseconds kReadSpread{3000};
constexpr std::chrono::milliseconds kSeedReadSpread{200};

Duration Spread(Duration longest, RandomSource& random) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(longest.count()) * random.Unit()));
}

}  // namespace

ConfigurationBootstrap::ConfigurationBootstrap(bool has_seeds, bool is_seed, RandomSource& random,
                                               TimePoint now, bool store_is_current)
    : m_store_is_current(store_is_current), m_read_store_at(now + Spread(kSeedReadSpread, random)) {
  if (has_seeds && is_seed) m_read_store_at += kPeerResponseTimeout;
  if (has_seeds && !is_seed) m_read_store_at += kPeerResponseTimeout + Spread(kReadSpread, random);
}

void ConfigurationBootstrap::OnCandidateReceived(TimePoint now) {
  if (!m_candidate_since) m_candidate_since = now;
}

ConfigurationBootstrap::Step ConfigurationBootstrap::Next(const PeerResponses& peers,
                                                          TimePoint now) const {
  if (m_candidate_since) {
    const bool all_responded = peers.responded >= peers.queried;
    const bool is_late = now >= *m_candidate_since + kPeerResponseTimeout;
    // Even a current store may have been restored from a copy that is older than what peers hold.
    if (peers.has_newer && !is_late) return Step::kFetchFromPeer;
    if (m_store_is_current) return Step::kApplyCandidate;
    return all_responded || is_late ? Step::kApplyCandidate : Step::kWaitForPeers;
  }
  if (peers.has_newer) return Step::kFetchFromPeer;
  return now < m_read_store_at ? Step::kWaitForSeeds : Step::kReadStore;
}

}  // namespace damaskhollow
