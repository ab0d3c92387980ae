#include "policy/prioritylanes.h"

#include <algorithm>
#include <numeric>

namespace damaskhollow {

namespace {

// Returns the number of priorities in each group, most urgent first.
std::vector<std::size_t> GroupSizes(std::span<const Priority> priorities) {
  std::vector<std::size_t> sizes;
  for (std::size_t index = 0; index < priorities.size(); ++index) {
    const bool is_new = index == 0 || priorities[index].group != priorities[index - 1].group;
    if (is_new) sizes.push_back(0);
    ++sizes.back();
  }
  return sizes;
}

// Returns the part, from 0 to `parts` - 1, in which the entry at `index` lies when `count` entries
// are divided into contiguous parts whose sizes differ by one at most. The last part is a longest
// one, so that the most urgent entries share last.
std::size_t PartOf(std::size_t index, std::size_t count, std::size_t parts) {
  return parts - 1 - (count - 1 - index) * parts / count;
}

// Returns how many lanes each group gets if there are at least as many lanes as groups. Further
// lanes go to the group with the most priorities a lane, the most urgent one first.
std::vector<std::size_t> LanesOfGroups(std::span<const std::size_t> sizes, std::size_t max_lanes) {
  std::vector<std::size_t> lanes(sizes.size(), 1);
  for (std::size_t used = sizes.size(); used < max_lanes; ++used) {
    std::size_t fullest = 0;
    for (std::size_t group = 1; group < sizes.size(); ++group) {
      if (sizes[group] * lanes[fullest] > sizes[fullest] * lanes[group]) fullest = group;
    }
    ++lanes[fullest];
  }
  return lanes;
}

}  // namespace

std::vector<std::size_t> AssignLanes(std::span<const Priority> priorities, std::size_t max_lanes) {
  std::vector<std::size_t> assigned(priorities.size());
  if (priorities.size() <= max_lanes) {
    std::iota(assigned.begin(), assigned.end(), std::size_t{0});
    return assigned;
  }
  const std::vector<std::size_t> sizes = GroupSizes(priorities);
  const bool groups_share = sizes.size() > max_lanes;
  const std::vector<std::size_t> lanes =
      groups_share ? std::vector<std::size_t>() : LanesOfGroups(sizes, max_lanes);
  std::size_t index = 0;
  std::size_t first_lane = 0;
  for (std::size_t group = 0; group < sizes.size(); ++group) {
    for (std::size_t member = 0; member < sizes[group]; ++member) {
      assigned[index++] = groups_share ? PartOf(group, sizes.size(), max_lanes)
                                       : first_lane + PartOf(member, sizes[group], lanes[group]);
    }
    if (!groups_share) first_lane += lanes[group];
  }
  return assigned;
}

}  // namespace damaskhollow
