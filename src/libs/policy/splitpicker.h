#ifndef DAMASKHOLLOW_POLICY_SPLITPICKER_H_
#define DAMASKHOLLOW_POLICY_SPLITPICKER_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Distributes the calls of routes to their parts by smooth weighted round robin, so that each part
// gets its share in any sequence of calls. A part without capacity does not change the shares. Not
// thread-safe.
class SplitPicker {
 public:
  // Returns the service for the next call of the route. `parts` must not be empty.
  const ServiceId& Pick(const RouteId& route, std::span<const RoutePart> parts);

 private:
  struct Credits {
    std::vector<RoutePart> parts;  // Parts that the credits were computed for.
    std::vector<double> credits;
  };

  std::unordered_map<RouteId, Credits> m_credits;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SPLITPICKER_H_
