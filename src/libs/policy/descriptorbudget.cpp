#include "policy/descriptorbudget.h"

#include <algorithm>

namespace damaskhollow {

namespace {

// Standard streams, event loops of the threads, listening sockets, ZeroMQ's own descriptors,
// readers, probes and the spare ones of the ingress. A node at rest with one linked peer has 36.
constexpr std::size_t kProcessDescriptors = 40;
// Socket and signalling descriptor of the dialled link, and the socket of the accepted one.
constexpr std::size_t kDescriptorsPerLink = 3;
// The connection of a running call, the duplicate with which a body without length is read, and an
// idle connection that is kept for the next call.
constexpr std::size_t kDescriptorsPerSlot = 3;
constexpr std::size_t kUrgentReserveDivisor = 4;
constexpr std::size_t kMaxRefusedConnections = 64;

}  // namespace

std::size_t ReservedDescriptors(const DescriptorNeeds& needs) {
  return kProcessDescriptors + kDescriptorsPerLink * needs.links +
         kDescriptorsPerSlot * needs.slots;
}

std::size_t CallerConnectionLimit(std::size_t configured, std::size_t descriptors,
                                  const DescriptorNeeds& needs) {
  const std::size_t reserved = ReservedDescriptors(needs);
  const std::size_t free = descriptors > reserved ? descriptors - reserved : 0;
  // The urgent reserve comes on top of the limit.
  const std::size_t limit = free * kUrgentReserveDivisor / (kUrgentReserveDivisor + 1);
  return std::max<std::size_t>(std::min(configured, limit), 1);
}

std::size_t UrgentConnectionLimit(std::size_t limit) {
  return limit + limit / kUrgentReserveDivisor;
}

std::size_t RefusedConnectionLimit(std::size_t limit, std::size_t descriptors,
                                   const DescriptorNeeds& needs) {
  const std::size_t used = ReservedDescriptors(needs) + UrgentConnectionLimit(limit);
  return descriptors > used ? std::min(descriptors - used, kMaxRefusedConnections) : 0;
}

}  // namespace damaskhollow
