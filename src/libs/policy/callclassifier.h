#ifndef DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_
#define DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Calls in a chain beyond this are taken for a loop. The deepest chain of the served systems is 28.
constexpr std::uint32_t kMaxDepth = 32;

// The parts of a request that classification looks at. Empty header values mean that the header is
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

// How a call is to be treated.
struct CallClass {
  ServiceId service;  // Empty until a part of the route is chosen.
  RouteId route;      // Empty if the call was classified by a rule of its service.
  PriorityId priority;
  std::size_t priority_index = 0;  // Position in Declaration::priorities, most urgent first.
  bool idempotent = false;
  bool may_cross_regions = false;
  std::uint32_t depth = 0;   // Of this call; 0 for a call from outside.
  Duration deadline{};       // Time left.
  Duration target{};         // Aimed-at answer time.
  std::size_t attempts = 0;  // Backend servers that the call may reach; 0: the node's default.
  std::string request_id;
};

// A class, or the reason why the call is refused (kNone when it is not).
struct Classification {
  Reason refusal = Reason::kNone;
  CallClass call_class;
  const Route* route = nullptr;  // In the declaration; null if a rule of a service decided.
};

// Classifies a call by the declaration's rules. A caller may lower its priority and shorten its
// deadline, not the opposite.
Classification ClassifyCall(const Declaration& declaration, const CallDescription& call);

// The longest accepted body, in bytes, for a call that names this service or host; `fallback` when
// neither is known.
std::size_t MaxBodyBytes(const Declaration& declaration, const CallDescription& call,
                         std::size_t fallback);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_CALLCLASSIFIER_H_
