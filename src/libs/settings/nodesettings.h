#ifndef DAMASKHOLLOW_SETTINGS_NODESETTINGS_H_
#define DAMASKHOLLOW_SETTINGS_NODESETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/result.h"

namespace damaskhollow {

// The validated settings of a node.
struct NodeSettings {
  BackendServerId server_id;
  RegionId region;
  DataCentreId data_centre;
  Endpoint listen;
  Endpoint peer_listen;
  Endpoint admin_listen;
  std::string declaration_file;   // Empty if the declaration is not read from a file.
  std::string configuration_url;  // Empty if not read from the configuration service.
  RegionId configuration_region;  // Region of the configuration service; empty if unknown.
  std::map<BackendServerId, Endpoint> seed_peers;  // Queried by a node without a configuration.
  std::string vm_list_url;  // Empty: all servers of the inventory count as live.
  std::map<BackendServerId, Endpoint>
      peer_overrides;           // Addresses to dial instead of the declared ones.
  std::string secret_key_file;  // Empty: links are neither encrypted nor authenticated.
  std::string routing_strategy;
  std::string log_level;
  std::size_t workers = 2;
  std::size_t caller_connections = 1024;
  std::size_t max_descriptors = 0;  // 0: the hard limit of the process.
  std::size_t body_memory_bytes = 8UL * 1024UL * 1024UL;
  std::size_t memory_bytes = 0;  // That the process may use; 0: not limited.
  std::size_t drain_timeout_ms = 600000;
  // Time between the drain notice and closing the caller port, in milliseconds.
  std::size_t drain_announce_ms = 3000;
  // Whether requests that crash backend servers are refused.
  bool crash_guard = true;
  // Whether links to other nodes are replaced when they stop responding.
  bool silent_link_detection = true;
};

// Where the value of a setting came from.
enum class SettingOrigin { kDefault, kEnvironment, kFlag };

// The value and origin of one setting, shown as one line by --print-settings.
struct SettingLine {
  std::string name;
  std::string value;
  SettingOrigin origin;
};

// The validated settings, and the value and origin of each of them.
struct LoadedSettings {
  NodeSettings settings;
  std::vector<SettingLine> lines;
  bool print_only = false;  // Whether --print-settings was given.
};

// Loads the settings. Flags take precedence over DAMASKHOLLOW_* variables, and these over the
// defaults. `arguments` excludes the program name. With --help or --version, prints the help
// or version text and exits the process with status 0.
Result<LoadedSettings> LoadNodeSettings(std::span<const std::string> arguments,
                                        const std::map<std::string, std::string>& environment);

// Returns the DAMASKHOLLOW_* environment variables of this process.
std::map<std::string, std::string> ProcessEnvironment();

// Formats the settings for --print-settings, one per line.
std::string FormatSettings(std::span<const SettingLine> lines);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_SETTINGS_NODESETTINGS_H_
