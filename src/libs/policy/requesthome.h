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

// Returns since when, on the wall clock of this node, a server has been absent from the VM list
// without a live link; empty if it is not absent. An empty function means that no server is ever
// absent.
using AbsentSince = std::function<std::optional<WallTime>(const BackendServerId&)>;

// Returns the creation time in a request id of the form `<unix milliseconds>-<token>`. The token
// consists of 1 to 64 letters, digits, '.', '_' or '-'. Empty if the id is malformed.
std::optional<WallTime> CreationTime(std::string_view request_id);

// Whether `first` precedes `second` in the order of homes. The relative order of two servers is the
// same in every inventory.
bool IsBefore(const BackendServerId& first, const BackendServerId& second,
              std::string_view request_id);

// Returns the servers in the order in which they are candidates for the home of the request id. The
// home of a request is the server that decides whether it may run.
std::vector<BackendServerId> HomeOrder(std::span<const BackendServerId> servers,
                                       std::string_view request_id);

// Returns the home to send a request to: the first in order that is not absent and not in `tried`.
// The selection affects only how soon a home accepts the request; the homes ensure that it runs at
// most once.
RoutingChoice ChooseHome(const Declaration& declaration, const ServiceId& service,
                         std::string_view request_id, std::span<const BackendServerId> tried,
                         const AbsentSince& absent_since);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_REQUESTHOME_H_
