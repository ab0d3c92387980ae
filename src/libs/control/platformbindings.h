#ifndef DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_
#define DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_

#include <string>

#include "base/ids.h"
#include "configuration/platformreader.h"
#include "http/callconvention.h"
#include "settings/nodesettings.h"

namespace damaskhollow {

// The parts of a node that depend on the platform it runs on. Filled in by the program's main().
struct PlatformBindings {
  MakeDocumentReader read_configuration;  // If empty, the configuration service is not read.
  MakeDocumentReader read_vm_list;        // If empty, every inventory entry counts as live.
  bool store_is_current = false;    // Whether reads return at least the last acknowledged write.
  bool has_live_inventory = false;  // Whether the VM list replaces the declared inventory.
  CallConvention convention;
  ServiceId own_service;  // Service that the calls of this VM come from; empty if not used.
  std::string ready_path = "/readyz";
};

// Returns the bindings for the platform services at the URLs in the settings.
PlatformBindings DefaultPlatformBindings(const NodeSettings& settings);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_
