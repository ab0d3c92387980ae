#include "control/nodeseams.h"

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

NodeSeams OwnSeams(const NodeSettings& settings) {
  NodeSeams seams;
  seams.read_configuration = ReadFrom(settings.configuration_url, "/v1/configuration");
  seams.read_vm_list = ReadFrom(settings.vm_list_url, "/v1/vms");
  return seams;
}

}  // namespace damaskhollow
