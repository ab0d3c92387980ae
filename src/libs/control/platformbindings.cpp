#include "control/platformbindings.h"

#include <memory>

namespace damaskhollow {

namespace {

MakeDocumentReader ReadFrom(const std::string& url, const std::string& path) {
  if (url.empty()) return {};
  return [url, path](PlatformEvents& events) -> std::unique_ptr<DocumentReader> {
    return std::make_unique<PlatformReader>(url, path, events);
  };
}

}  // namespace

PlatformBindings DefaultPlatformBindings(const NodeSettings& settings) {
  PlatformBindings bindings;
  bindings.read_configuration = ReadFrom(settings.configuration_url, "/v1/configuration");
  bindings.read_vm_list = ReadFrom(settings.vm_list_url, "/v1/vms");
  return bindings;
}

}  // namespace damaskhollow
