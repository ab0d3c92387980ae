#include "policy/adaptivestrategy.h"

#include <array>

namespace damaskhollow {

namespace {

using Standing = ServerScore::Standing;

// A call that must not run twice is used as a trial only when no idempotent call came in this time.
constexpr std::chrono::seconds kTrialPatience{2};

// How strictly a draw keeps to standing and slow start; each is tried when the one before found
// nothing.
enum class DrawMode { kRamped, kNormal, kAny };
constexpr std::array kDrawModes{DrawMode::kRamped, DrawMode::kNormal, DrawMode::kAny};

struct Drawn {
  std::optional<std::size_t> index;
  Duration delay{};
};

bool IsDrawn(const RoutingPool& pool, std::size_t index, DrawMode mode, RandomSource& random,
             TimePoint now) {
  if (!pool.IsOpen(index)) return false;
  if (mode == DrawMode::kAny) return true;
  const ServerScore& score = pool.Score(index);
  if (score.CurrentStanding() != Standing::kNormal) return false;
  if (mode == DrawMode::kNormal) return true;
  const double share = score.RampShare(now);
  return share >= 1.0 || random.Unit() < share;
}

// Two servers of a tier, each pair equally likely, and of them the one with the lower expected
// delay.
Drawn DrawFromTier(const RoutingPool& pool, std::size_t tier, DrawMode mode, RandomSource& random,
                   TimePoint now) {
  std::array<std::size_t, 2> pair{};
  std::size_t seen = 0;
  for (const std::size_t index : pool.Tier(tier)) {
    if (!IsDrawn(pool, index, mode, random, now)) continue;
    const std::size_t position = seen < pair.size() ? seen : random.Below(seen + 1);
    if (position < pair.size()) pair[position] = index;
    ++seen;
  }
  if (seen == 0) return {};
  const auto delay_of = [&](std::size_t index) {
    return pool.Score(index).ExpectedDelay(pool.Request().priority_index, pool.TypicalServiceTime(),
                                           now);
  };
  Drawn best{pair[0], delay_of(pair[0])};
  if (seen == 1) return best;
  const Duration other = delay_of(pair[1]);
  const bool other_wins = other < best.delay || (other == best.delay && random.Below(2) == 0);
  return other_wins ? Drawn{pair[1], other} : best;
}

std::optional<std::size_t> FindTrial(const RoutingPool& pool, TimePoint now) {
  for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
    for (const std::size_t index : pool.Tier(tier)) {
      ServerScore& score = pool.Score(index);
      score.Refresh(now);
      if (score.CurrentStanding() != Standing::kTrialDue || !pool.IsOpen(index)) continue;
      if (pool.Request().idempotent || now - score.TrialDueSince() > kTrialPatience) return index;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::size_t> AdaptiveStrategy::Pick(const RoutingPool& pool, RandomSource& random,
                                                  TimePoint now) {
  if (const std::optional<std::size_t> trial = FindTrial(pool, now)) return trial;
  for (const DrawMode mode : kDrawModes) {
    Drawn best;
    for (std::size_t tier = 0; tier < pool.TierCount(); ++tier) {
      const Drawn drawn = DrawFromTier(pool, tier, mode, random, now);
      if (drawn.index && (!best.index || drawn.delay < best.delay)) best = drawn;
    }
    if (best.index) return best.index;
  }
  return std::nullopt;
}

}  // namespace damaskhollow
