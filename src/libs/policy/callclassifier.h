#ifndef DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_
#define DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Maximum depth of a chain of calls; a deeper chain is treated as a loop. The deepest chain of the
// served systems is 28.
constexpr std::uint32_t kMaxDepth = 32;

// Parts of a request that classification uses. An empty header value means that the header is
// absent.
struct CallDescription {
  std::string_view method;
  std::string_view target;
  std::string_view host;
  std::string_view service;     // Damaskhollow-Service
  std::string_view priority;    // Damaskhollow-Priority
  std::string_view deadline;    // Damaskhollow-Deadline-Ms
  std::string_view depth;       // Damaskhollow-Depth
  std::string_view request_id;  // Damaskhollow-Request-Id
};

// Properties that determine how a call is handled.
struct CallClass {
  ServiceId service;  // Empty until a part of the route is selected.
  RouteId route;      // Empty if the call was classified by a rule of its service.
  PriorityId priority;
  std::size_t priority_index = 0;  // Position in Declaration::priorities, most urgent first.
  bool idempotent = false;
  bool may_cross_regions = false;
  std::uint32_t depth = 0;   // Depth of this call; 0 for a call from outside.
  Duration deadline{};       // Remaining time.
  Duration target{};         // Target response time.
  std::size_t attempts = 0;  // Backend servers that the call may reach; 0: the node's default.
  std::string request_id;
  std::vector<RegionId> allowed_regions;  // Regions that may receive the call; empty: all.
};

// Classification of a call, or the reason why it is refused (kNone if it is not).
struct Classification {
  Reason refusal = Reason::kNone;
  CallClass call_class;
  const Route* route = nullptr;  // In the declaration; null if a rule of a service decided.
};

// Classifies a call by the rules or routes of the declaration. A caller can lower its priority and
// shorten its deadline, but not raise or extend them.
Classification ClassifyCall(const Declaration& declaration, const CallDescription& call);

// Returns the maximum body size, in bytes, for a call with this service or host; `fallback` if the
// declaration has neither a bound for callers nor such a service.
std::size_t MaxBodyBytes(const Declaration& declaration, const CallDescription& call,
                         std::size_t fallback);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_
