#include "fleet/overlay.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <string>
#include <utility>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

using NeighbourMap = std::map<BackendServerId, Overlay::Neighbours>;
using Group = std::vector<BackendServerId>;

// Number of links between two regions. That is at least two per data centre in regions of two or
// three data centres, so that some links remain when a data centre is lost.
constexpr std::size_t kRegionLinks = 6;
constexpr std::size_t kMinDataCentreLinks = 3;

// Returns the number of bits of `count`, for example 4 for 8 to 15.
std::size_t LogarithmOf(std::size_t count) {
  return static_cast<std::size_t>(std::bit_width(count));
}

Group Ranked(const std::string& key, Group members) {
  std::vector<std::pair<std::uint64_t, BackendServerId>> ranked;
  ranked.reserve(members.size());
  for (BackendServerId& member : members) {
    const std::uint64_t rank = StableHash(key, member.Value());
    ranked.emplace_back(rank, std::move(member));
  }
  std::sort(ranked.begin(), ranked.end());
  Group order;
  order.reserve(ranked.size());
  for (auto& [rank, member] : ranked) order.push_back(std::move(member));
  return order;
}

void AddLink(NeighbourMap& links, const BackendServerId& left, const BackendServerId& right) {
  if (left == right) return;
  links[left].insert(right);
  links[right].insert(left);
}

void AddMesh(NeighbourMap& links, const Group& members) {
  for (std::size_t left = 0; left < members.size(); ++left) {
    for (std::size_t right = left + 1; right < members.size(); ++right) {
      AddLink(links, members[left], members[right]);
    }
  }
}

// Adds links to the nodes 1, 2, 4, 8 and so on places ahead in a ring in hash order. Every node can
// be reached in a number of steps equal to the logarithm of the ring's size.
void AddRing(NeighbourMap& links, const std::string& key, const Group& members) {
  const Group ring = Ranked(key, members);
  for (std::size_t place = 0; place < ring.size(); ++place) {
    for (std::size_t jump = 1; jump <= ring.size() / 2; jump *= 2) {
      AddLink(links, ring[place], ring[(place + jump) % ring.size()]);
    }
  }
}

void AddPairs(NeighbourMap& links, const Group& left, const Group& right, std::size_t count) {
  if (left.empty() || right.empty()) return;
  for (std::size_t index = 0; index < count; ++index) {
    AddLink(links, left[index % left.size()], right[index % right.size()]);
  }
}

// Returns all members, taking one from each group in turn.
Group Interleaved(const std::vector<Group>& groups) {
  Group order;
  std::size_t longest = 0;
  for (const Group& group : groups) longest = std::max(longest, group.size());
  for (std::size_t index = 0; index < longest; ++index) {
    for (const Group& group : groups) {
      if (index < group.size()) order.push_back(group[index]);
    }
  }
  return order;
}

struct RegionGroups {
  Group members;
  std::map<DataCentreId, Group> data_centres;
};

void AddLinksWithin(NeighbourMap& links, const RegionGroups& region) {
  for (auto left = region.data_centres.begin(); left != region.data_centres.end(); ++left) {
    AddRing(links, "ring/" + left->first.Value(), left->second);
    for (auto right = std::next(left); right != region.data_centres.end(); ++right) {
      const std::string key = "pair/" + left->first.Value() + "/" + right->first.Value();
      const std::size_t count = std::max(
          kMinDataCentreLinks, LogarithmOf(std::min(left->second.size(), right->second.size())));
      AddPairs(links, Ranked(key, left->second), Ranked(key, right->second), count);
    }
  }
}

Group RegionEnds(const RegionGroups& region, const std::string& key) {
  std::vector<Group> groups;
  for (const auto& [id, members] : region.data_centres) groups.push_back(Ranked(key, members));
  return Interleaved(groups);
}

}  // namespace

std::map<BackendServerId, Overlay::Neighbours> Overlay::Build(std::span<const FleetNode> nodes) {
  NeighbourMap links;
  std::map<RegionId, RegionGroups> regions;
  for (const FleetNode& node : nodes) {
    links[node.id];
    regions[node.region].members.push_back(node.id);
    regions[node.region].data_centres[node.data_centre].push_back(node.id);
  }
  for (auto left = regions.begin(); left != regions.end(); ++left) {
    if (nodes.size() <= kFullMeshNodes) {
      AddMesh(links, left->second.members);
    } else {
      AddLinksWithin(links, left->second);
    }
    for (auto right = std::next(left); right != regions.end(); ++right) {
      const std::string key = "regions/" + left->first.Value() + "/" + right->first.Value();
      // After each round over the data centres of the left side, the right side is shifted by one
      // place. Otherwise equal numbers of data centres would pair the same ones in every round.
      Group left_ends = RegionEnds(left->second, key);
      Group right_ends = RegionEnds(right->second, key);
      const std::size_t rounds = std::min(kRegionLinks, right_ends.size());
      for (std::size_t index = 0; index < rounds; ++index) {
        const std::size_t shift =
            index / std::max<std::size_t>(1, left->second.data_centres.size());
        AddLink(links, left_ends[index % left_ends.size()],
                right_ends[(index + shift) % right_ends.size()]);
      }
    }
  }
  return links;
}

}  // namespace damaskhollow
