#ifndef DAMASKHOLLOW_POLICY_REQUESTHOME_H_
#define DAMASKHOLLOW_POLICY_REQUESTHOME_H_

#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "declaration/declaration.h"
#include "policy/router.h"

namespace damaskhollow {

// Says since when, on this node's wall clock, a server has been absent from the VM list without a
// live link; empty when it is not absent. An empty function stands for "never absent".
using AbsentSince = std::function<std::optional<WallTime>(const BackendServerId&)>;

// The creation time in a request id `<unix milliseconds>-<token>`. The token is 1 to 64 letters,
// digits, '.', '_' or '-'. Empty if the id has another form.
std::optional<WallTime> CreationTime(std::string_view request_id);

// Whether `first` comes before `second` in the order of homes. The relative order of two servers is
// the same in every inventory.
bool IsBefore(const BackendServerId& first, const BackendServerId& second,
              std::string_view request_id);

// The servers in the order in which they are homes of the request id.
std::vector<BackendServerId> HomeOrder(std::span<const BackendServerId> servers,
                                       std::string_view request_id);

// The home to send a request to: the first in order that is not absent and not in `tried`. The
// choice affects only how soon a home accepts; that the request runs once is ensured by the homes.
RoutingChoice ChooseHome(const Declaration& declaration, const ServiceId& service,
                         std::string_view request_id, std::span<const BackendServerId> tried,
                         const AbsentSince& absent_since);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_REQUESTHOME_H_
