#ifndef DAMASKHOLLOW_CONFIGURATION_VMLIST_H_
#define DAMASKHOLLOW_CONFIGURATION_VMLIST_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "declaration/declaration.h"
#include "fleet/fleetview.h"

namespace damaskhollow {

// The platform's list of VMs. A list whose entries describe their backend servers is a live
// inventory, which takes the place of the declared one.
struct VmList {
  std::vector<VmEntry> entries;
  std::optional<std::vector<BackendServer>> inventory;
};

// Reads a list (docs/platform.md); empty if the text is not one.
std::optional<VmList> ParseVmList(std::string_view text);

// Writes a live inventory as a list that ParseVmList reads. `entries` say which servers leave.
std::string FormatVmList(const std::vector<BackendServer>& inventory,
                         const std::vector<VmEntry>& entries);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_VMLIST_H_
