#ifndef DAMASKHOLLOW_POLICY_SPLITPICKER_H_
#define DAMASKHOLLOW_POLICY_SPLITPICKER_H_

#include <span>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Deals the calls of routes out to their parts by smooth weighted round robin, so that each part
// gets its share in any run of calls. A part without room does not change the shares. Not
// thread-safe.
class SplitPicker {
 public:
  // The service that takes the route's next call. `parts` must not be empty.
  const ServiceId& Pick(const RouteId& route, std::span<const RoutePart> parts);

 private:
  struct Credits {
    std::vector<RoutePart> parts;  // That the credits belong to.
    std::vector<double> credits;
  };

  std::unordered_map<RouteId, Credits> m_credits;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_SPLITPICKER_H_
