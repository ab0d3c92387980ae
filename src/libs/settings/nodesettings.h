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

// Settings of one node, checked.
struct NodeSettings {
  BackendServerId server_id;
  RegionId region;
  DataCentreId data_centre;
  Endpoint listen;
  Endpoint peer_listen;
  Endpoint admin_listen;
  std::string declaration_file;                    // Empty unless read from a file.
  std::string configuration_url;                   // Empty unless read from the service.
  RegionId configuration_region;                   // Empty if unknown.
  std::map<BackendServerId, Endpoint> seed_peers;  // Asked by a node without a configuration.
  std::string vm_list_url;                         // Empty: every inventory entry is taken as live.
  std::map<BackendServerId, Endpoint>
      peer_overrides;           // Addresses to dial in place of the declared.
  std::string secret_key_file;  // Empty: links are neither encrypted nor authenticated.
  std::string routing_strategy;
  std::string log_level;
  std::size_t workers = 2;
  std::size_t caller_connections = 1024;
  std::size_t body_memory_bytes = 8UL * 1024UL * 1024UL;
  std::size_t drain_timeout_ms = 600000;
  std::size_t drain_announce_ms = 3000;
  bool crash_guard = true;
  bool silent_link_detection = true;
};

// Where the value of a setting came from.
enum class SettingOrigin { kDefault, kEnvironment, kFlag };

// One line of --print-settings.
struct SettingLine {
  std::string name;
  std::string value;
  SettingOrigin origin;
};

// A checked set of settings with the origin of each.
struct LoadedSettings {
  NodeSettings settings;
  std::vector<SettingLine> lines;
  bool print_only = false;
};

// Reads flags, then DAMASKHOLLOW_* variables, then defaults. `arguments` excludes the program name.
// Prints the help text and exits the process with status 0 on --help or --version.
Result<LoadedSettings> LoadNodeSettings(std::span<const std::string> arguments,
                                        const std::map<std::string, std::string>& environment);

// The DAMASKHOLLOW_* variables of this process.
std::map<std::string, std::string> ProcessEnvironment();

// Text for --print-settings.
std::string FormatSettings(std::span<const SettingLine> lines);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_SETTINGS_NODESETTINGS_H_
