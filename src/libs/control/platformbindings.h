#ifndef DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_
#define DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_

#include <string>

#include "base/ids.h"
#include "configuration/platformreader.h"
#include "http/callconvention.h"
#include "settings/nodesettings.h"

namespace damaskhollow {

// What a composition root fills to run a node on a platform.
struct PlatformBindings {
  MakeDocumentReader read_configuration;  // Empty: the configuration service is not read.
  MakeDocumentReader read_vm_list;        // Empty: every inventory entry is taken as live.
  bool store_is_current = false;    // Whether reads are never older than what was acknowledged.
  bool has_live_inventory = false;  // Whether the VM list is the inventory.
  CallConvention convention;
  ServiceId own_service;  // That calls of this VM come from; empty if nobody asks.
  std::string ready_path = "/readyz";
};

// The product's own seams: the services that the settings name.
PlatformBindings DefaultPlatformBindings(const NodeSettings& settings);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_PLATFORMBINDINGS_H_
