#include "policy/adaptivestrategy.h"

#include <array>

namespace damaskhollow {

namespace {

using State = ServerScore::State;

// A non-idempotent call is used as a trial only if a trial has been due for this long without an
// idempotent call.
constexpr std::chrono::seconds kMaxTrialWait{2};

// Which servers are candidates for sampling, strictest mode first: only servers in the normal
// state, thinned out by slow start; all servers in the normal state; all open servers. Each mode is
// used only if the one before yields no server.
enum class SamplingMode { kRamped, kNormal, kAny };
constexpr std::array kSamplingModes{SamplingMode::kRamped, SamplingMode::kNormal,
                                    SamplingMode::kAny};

// A sampled server and its expected delay.
struct Sample {
  std::optional<std::size_t> index;
  Duration delay{};
};

bool IsCandidate(const RoutingPool& pool, std::size_t index, SamplingMode mode,
                 RandomSource& random, TimePoint now) {
  if (!pool.IsOpen(index)) return false;
  const ServerScore& score = pool.Score(index);
  // A server of the own region is asked for its load before a call is sent to it.
  if (score.Tier() == ServerTier::kOtherRegion) {
    const double share = score.ShareAfterOverload(pool.Request().priority_index, now);
    if (share < 1.0 && random.Unit() >= share) return false;
  }
  if (mode == SamplingMode::kAny) return true;
  if (score.CurrentState() != State::kNormal) return false;
  if (mode == SamplingMode::kNormal) return true;
  const double share = score.RampShare(now);
  return share >= 1.0 || random.Unit() < share;
}

// Samples two servers of the tier uniformly and returns the one with the lower expected delay.
Sample SampleTier(const RoutingPool& pool, std::size_t tier, SamplingMode mode,
                  RandomSource& random, TimePoint now) {
  std::array<std::size_t, 2> pair{};
  std::size_t seen = 0;
  for (const std::size_t index : pool.Tier(tier)) {
    if (!IsCandidate(pool, index, mode, random, now)) continue;
    const std::size_t position = seen < pair.size() ? seen : random.Below(seen + 1);
    if (position < pair.size()) pair[position] = index;
    ++seen;
  }
  if (seen == 0) return {};
  const auto delay_of = [&](std::size_t index) {
    return pool.Score(index).ExpectedDelay(pool.Request().priority_index, pool.TypicalServiceTime(),
                                           now);
  };
  Sample best{pair[0], delay_of(pair[0])};
  if (seen == 1) return best;
  const Duration other = delay_of(pair[1]);
  const bool other_wins = other < best.delay || (other == best.delay && random.Below(2) == 0);
  return other_wins ? Sample{pair[1], other} : best;
}

// Returns a server that is due for a trial for which this call may be used, nearest tier first.
std::optional<std::size_t> FindTrial(const RoutingPool& pool, TimePoint now) {
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
    for (const std::size_t index : pool.Tier(tier)) {
      ServerScore& score = pool.Score(index);
      score.Refresh(now);
      if (score.CurrentState() != State::kTrialDue || !pool.IsOpen(index)) continue;
      if (pool.Request().idempotent || now - score.TrialDueSince() > kMaxTrialWait) return index;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::size_t> AdaptiveStrategy::Pick(const RoutingPool& pool, RandomSource& random,
                                                  TimePoint now) {
  if (const std::optional<std::size_t> trial = FindTrial(pool, now)) return trial;
  for (const SamplingMode mode : kSamplingModes) {
    Sample best;
    for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
      const Sample sample = SampleTier(pool, tier, mode, random, now);
      if (sample.index && (!best.index || sample.delay < best.delay)) best = sample;
      // Servers further away are not compared if the own data centre is well within the target,
      // because bytes between data centres are paid for.
      const bool is_own = tier == static_cast<std::size_t>(ServerTier::kOwnDataCentre);
      if (is_own && best.index && best.delay * 2 <= pool.Request().target_left) return best.index;
    }
    if (best.index) return best.index;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
