#ifndef DAMASKHOLLOW_CONFIGURATION_VMLIST_H_
#define DAMASKHOLLOW_CONFIGURATION_VMLIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "declaration/declaration.h"
#include "fleet/fleetview.h"

namespace damaskhollow {

// The platform's list of VMs. If its entries describe their backend servers, `inventory` is set and
// replaces the declared inventory (a live inventory).
struct VmList {
  std::vector<VmEntry> entries;
  std::optional<std::vector<BackendServer>> inventory;
  // The epoch of the service that the list was read from.
  std::uint64_t epoch = 0;
  // Ids of entries that were left out because a field is missing or out of range, or because an
  // earlier entry has the same id.
  std::vector<std::string> refused;
};

// Parses a VM list in the format of docs/platform.md. An invalid entry affects no other one.
// Returns nullopt if the text is not a VM list.
std::optional<VmList> ParseVmList(std::string_view text);

// Serializes a live inventory into the format that ParseVmList parses. `entries` states which
// servers are leaving.
std::string FormatVmList(const std::vector<BackendServer>& inventory,
                         const std::vector<VmEntry>& entries);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_VMLIST_H_
