#ifndef DAMASKHOLLOW_POLICY_DESCRIPTORBUDGET_H_
#define DAMASKHOLLOW_POLICY_DESCRIPTORBUDGET_H_

#include <cstddef>

namespace damaskhollow {

// With fewer descriptors a node does not start, as the libraries abort when they lack one at the
// start.
inline constexpr std::size_t kMinDescriptors = 40;

// What decides how many descriptors a node needs besides those of its callers.
struct DescriptorNeeds {
  std::size_t links = 0;  // Links to other nodes.
  std::size_t slots = 0;  // Calls that the own backend server processes at the same time.
};

// The number of descriptors that callers must leave free, so that links, connections to the backend
// server, probes and readers can be opened while callers hold all that they may.
std::size_t ReservedDescriptors(const DescriptorNeeds& needs);

// The number of caller connections above which only calls of the most urgent priority are accepted,
// with `descriptors` open at most. It is `configured` if that leaves enough descriptors free, and
// at least 1.
std::size_t CallerConnectionLimit(std::size_t configured, std::size_t descriptors,
                                  const DescriptorNeeds& needs);

// The number of caller connections up to which calls of the most urgent priority are accepted.
std::size_t UrgentConnectionLimit(std::size_t limit);

// The number of connections that may wait for the end of their refusal beside `limit` and the
// urgent ones.
std::size_t RefusedConnectionLimit(std::size_t limit, std::size_t descriptors,
                                   const DescriptorNeeds& needs);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_DESCRIPTORBUDGET_H_
