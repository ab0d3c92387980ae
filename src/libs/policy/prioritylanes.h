#ifndef DAMASKHOLLOW_POLICY_PRIORITYLANES_H_
#define DAMASKHOLLOW_POLICY_PRIORITYLANES_H_

#include <cstddef>
#include <span>
#include <vector>

#include "declaration/declaration.h"

namespace damaskhollow {

// Maximum number of lanes of an admission queue. Each offer, dispatch and completion of a call
// looks at all of them, so the number bounds the processor time of a call, whatever the number of
// declared priorities.
inline constexpr std::size_t kMaxLanes = 32;

// Returns the lane of each priority; lane 0 is the most urgent. `priorities` are ordered by rank,
// as in a declaration. Lanes keep that order: a less urgent priority is never in a lane before that
// of a more urgent one. Up to `max_lanes` priorities have a lane each. With more, neighbours share
// one: first priorities of the same group, which are equally urgent to the operator, and only with
// more groups than lanes also neighbouring groups, in runs of equal size as far as possible.
std::vector<std::size_t> AssignLanes(std::span<const Priority> priorities,
                                     std::size_t max_lanes = kMaxLanes);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_PRIORITYLANES_H_
