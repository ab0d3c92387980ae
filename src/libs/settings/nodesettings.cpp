#include "settings/nodesettings.h"

#include <docopt/docopt.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <utility>

namespace damaskhollow {

namespace {

constexpr char kUsage[] =
    R"(damaskhollow-node: load balancer node that runs beside one backend server.

Usage:
  damaskhollow-node [options]
  damaskhollow-node (-h | --help)
  damaskhollow-node --version

Each option can also be given as an environment variable: --peer-listen as DAMASKHOLLOW_PEER_LISTEN. Flags take precedence.

Options:
  --server-id=ID              Id of the backend server in the inventory (required).
  --region=ID                 Region of this VM (required).
  --data-centre=ID            Data centre of this VM (required).
  --listen=IP:PORT            Address on which callers connect [default: 127.0.0.1:8080].
  --peer-listen=IP:PORT       Address on which other nodes connect [default: 127.0.0.1:7080].
  --admin-listen=IP:PORT      Address for metrics, health and status [default: 127.0.0.1:9080].
  --declaration-file=FILE     Read the declaration from a file instead of the configuration service.
  --configuration-url=URL     URL of the configuration service, which is read and watched.
  --configuration-region=ID   Region of the configuration service; only one reader of each other region watches it.
  --vm-list-url=URL           URL of the list of live and leaving VMs.
  --seed-peers=LIST           Nodes to request the configuration from at start-up: id=IP:PORT,id=IP:PORT.
  --peer-overrides=LIST       Addresses to dial instead of declared ones: id=IP:PORT,id=IP:PORT.
  --secret-key-file=FILE      File with the CURVE secret key of this node; without it links are not encrypted.
  --routing-strategy=NAME     adaptive, round_robin, random or least_reported [default: adaptive].
  --workers=N                 Worker threads [default: 2].
  --caller-connections=N      Maximum number of caller connections [default: 1024].
  --max-descriptors=N         Maximum number of open descriptors; 0 stands for the hard limit of the process [default: 0].
  --body-memory-bytes=N       Maximum memory for request bodies, in bytes [default: 8388608].
  --memory-bytes=N            Memory that the process may use, in bytes; 0 stands for no limit [default: 0].
  --drain-announce-ms=N       Milliseconds between the drain notice and closing the caller port [default: 3000].
  --drain-timeout-ms=N        Maximum wait for calls in flight on shutdown, in milliseconds [default: 600000].
  --crash-guard=SWITCH        Refuse requests that crash backend servers: on or off [default: on].
  --silent-link-detection=SWITCH  Replace links that stop responding: on or off [default: on].
  --log-level=LEVEL           debug, info, warning or error [default: info].
  --print-settings            Print the value and origin of each setting, and exit.
  -h --help                   Show this help.
  --version                   Show the version.
)";

constexpr char kVersion[] = "damaskhollow 0.1.0";

using SettingMap = std::map<std::string, std::string>;

// Returns the name of the environment variable for a flag.
std::string EnvironmentName(std::string_view flag) {
  std::string name = "DAMASKHOLLOW_";
  for (const char character : flag.substr(2)) {
    name += character == '-'
                ? '_'
                : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return name;
}

Failure InvalidSetting(std::string_view flag, std::string detail) {
  return Failure{FailureCode::kInvalidSetting, std::string(flag), std::move(detail)};
}

// Validates the value of a setting and stores it in a field of NodeSettings.
using SettingParser = Result<void> (*)(NodeSettings&, std::string_view flag,
                                       const std::string& value);

template <auto Member>
Result<void> ParseText(NodeSettings& settings, std::string_view, const std::string& value) {
  settings.*Member = value;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member>
Result<void> ParseId(NodeSettings& settings, std::string_view flag, const std::string& value) {
  if (value.empty()) return InvalidSetting(flag, "is required");
  settings.*Member = std::remove_reference_t<decltype(settings.*Member)>(value);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member>
Result<void> ParseAddress(NodeSettings& settings, std::string_view flag, const std::string& value) {
  Result<Endpoint> endpoint = ParseEndpoint(value);
  if (!endpoint) return InvalidSetting(flag, endpoint.error().detail);
  settings.*Member = endpoint.value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member, std::size_t Low, std::size_t High>
Result<void> ParseNumber(NodeSettings& settings, std::string_view flag, const std::string& value) {
  std::size_t number = 0;
  const char* end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, number);
  if (error != std::errc() || rest != end || number < Low || number > High) {
    return InvalidSetting(flag, "must be an integer between " + std::to_string(Low) + " and " +
                                    std::to_string(High) + ", not \"" + value + "\"");
  }
  settings.*Member = number;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member>
Result<void> ParseSwitch(NodeSettings& settings, std::string_view flag, const std::string& value) {
  if (value != "on" && value != "off") return InvalidSetting(flag, "must be on or off");
  settings.*Member = value == "on";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member>
Result<void> ParseChoice(NodeSettings& settings, std::string_view flag, const std::string& value,
                         std::span<const std::string_view> choices) {
  for (const std::string_view choice : choices) {
    if (choice != value) continue;
    settings.*Member = value;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  std::string names;
  for (const std::string_view choice : choices) {
    names += (names.empty() ? "" : ", ") + std::string(choice);
  }
  return InvalidSetting(flag, "must be one of " + names + ", not \"" + value + "\"");
}

Result<void> ParseStrategy(NodeSettings& settings, std::string_view flag,
                           const std::string& value) {
  static constexpr std::array<std::string_view, 4> kChoices{"adaptive", "round_robin", "random",
                                                            "least_reported"};
  return ParseChoice<&NodeSettings::routing_strategy>(settings, flag, value, kChoices);
}

Result<void> ParseLogLevel(NodeSettings& settings, std::string_view flag,
                           const std::string& value) {
  static constexpr std::array<std::string_view, 4> kChoices{"debug", "info", "warning", "error"};
  return ParseChoice<&NodeSettings::log_level>(settings, flag, value, kChoices);
}

template <auto Member>
Result<void> ParseOptionalId(NodeSettings& settings, std::string_view, const std::string& value) {
  settings.*Member = std::remove_reference_t<decltype(settings.*Member)>(value);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

template <auto Member>
Result<void> ParsePeers(NodeSettings& settings, std::string_view flag, const std::string& value) {
  std::istringstream entries(value);
  for (std::string entry; std::getline(entries, entry, ',');) {
    const std::size_t equals = entry.find('=');
    if (equals == std::string::npos || equals == 0) {
      return InvalidSetting(flag, "\"" + entry + "\" is not of the form id=IP:PORT");
    }
    Result<Endpoint> endpoint = ParseEndpoint(std::string_view(entry).substr(equals + 1));
    if (!endpoint) return InvalidSetting(flag, endpoint.error().detail);
    (settings.*Member)[BackendServerId(entry.substr(0, equals))] = endpoint.value();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// A setting and the function that validates and stores its value.
struct SettingDefinition {
  std::string_view flag;
  SettingParser parse;
};

constexpr std::size_t kMegabyte = 1024UL * 1024UL;
// 1 TB, above the memory of any machine: a larger number is a mistake in its unit.
constexpr std::size_t kMaxMemoryBytes = 1024UL * 1024UL * kMegabyte;
constexpr std::size_t kDayMs = 86400000;

constexpr std::array kSettingDefinitions{
    SettingDefinition{"--server-id", ParseId<&NodeSettings::server_id>},
    SettingDefinition{"--region", ParseId<&NodeSettings::region>},
    SettingDefinition{"--data-centre", ParseId<&NodeSettings::data_centre>},
    SettingDefinition{"--listen", ParseAddress<&NodeSettings::listen>},
    SettingDefinition{"--peer-listen", ParseAddress<&NodeSettings::peer_listen>},
    SettingDefinition{"--admin-listen", ParseAddress<&NodeSettings::admin_listen>},
    SettingDefinition{"--declaration-file", ParseText<&NodeSettings::declaration_file>},
    SettingDefinition{"--configuration-url", ParseText<&NodeSettings::configuration_url>},
    SettingDefinition{"--vm-list-url", ParseText<&NodeSettings::vm_list_url>},
    SettingDefinition{"--configuration-region",
                      ParseOptionalId<&NodeSettings::configuration_region>},
    SettingDefinition{"--seed-peers", ParsePeers<&NodeSettings::seed_peers>},
    SettingDefinition{"--peer-overrides", ParsePeers<&NodeSettings::peer_overrides>},
    SettingDefinition{"--secret-key-file", ParseText<&NodeSettings::secret_key_file>},
    SettingDefinition{"--routing-strategy", ParseStrategy},
    SettingDefinition{"--workers", ParseNumber<&NodeSettings::workers, 1, 64>},
    SettingDefinition{"--caller-connections",
                      ParseNumber<&NodeSettings::caller_connections, 1, 65536>},
    SettingDefinition{"--max-descriptors", ParseNumber<&NodeSettings::max_descriptors, 0, 1048576>},
    SettingDefinition{"--body-memory-bytes",
                      ParseNumber<&NodeSettings::body_memory_bytes, kMegabyte, 1024 * kMegabyte>},
    SettingDefinition{"--memory-bytes",
                      ParseNumber<&NodeSettings::memory_bytes, 0, kMaxMemoryBytes>},
    SettingDefinition{"--drain-announce-ms",
                      ParseNumber<&NodeSettings::drain_announce_ms, 0, kDayMs>},
    SettingDefinition{"--drain-timeout-ms",
                      ParseNumber<&NodeSettings::drain_timeout_ms, 0, kDayMs>},
    SettingDefinition{"--crash-guard", ParseSwitch<&NodeSettings::crash_guard>},
    SettingDefinition{"--silent-link-detection", ParseSwitch<&NodeSettings::silent_link_detection>},
    SettingDefinition{"--log-level", ParseLogLevel},
};

std::string TextOf(const docopt::value& value) {
  return value.isString() ? value.asString() : std::string();
}

bool IsGiven(std::span<const std::string> arguments, std::string_view flag) {
  for (const std::string& argument : arguments) {
    if (argument == flag || argument.starts_with(std::string(flag) + "=")) return true;
  }
  return false;
}

Result<void> CheckConfigurationSource(const NodeSettings& settings) {
  const bool from_file = !settings.declaration_file.empty();
  const bool from_service = !settings.configuration_url.empty();
  if (from_file == from_service) {
    return InvalidSetting("--declaration-file",
                          "exactly one of --declaration-file and --configuration-url is required");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

Result<LoadedSettings> LoadNodeSettings(std::span<const std::string> arguments,
                                        const std::map<std::string, std::string>& environment) {
  std::map<std::string, docopt::value> parsed;
  try {
    parsed =
        docopt::docopt_parse(kUsage, std::vector<std::string>(arguments.begin(), arguments.end()));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    std::exit(0);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << '\n';
    std::exit(0);
  } catch (const docopt::DocoptArgumentError& error) {
    return InvalidSetting("arguments", error.what());
  }

  LoadedSettings loaded;
  loaded.print_only = parsed.at("--print-settings").asBool();
  for (const SettingDefinition& definition : kSettingDefinitions) {
    SettingLine line{std::string(definition.flag), TextOf(parsed.at(std::string(definition.flag))),
                     SettingOrigin::kDefault};
    const auto variable = environment.find(EnvironmentName(definition.flag));
    if (IsGiven(arguments, definition.flag)) {
      line.origin = SettingOrigin::kFlag;
    } else if (variable != environment.end()) {
      line.origin = SettingOrigin::kEnvironment;
      line.value = variable->second;
    }
    if (Result<void> result = definition.parse(loaded.settings, definition.flag, line.value);
        !result) {
      return result.error();
    }
    loaded.lines.push_back(std::move(line));
  }
  if (Result<void> result = CheckConfigurationSource(loaded.settings); !result) {
    return result.error();
  }
  return loaded;
}

std::map<std::string, std::string> ProcessEnvironment() {
  constexpr std::string_view kPrefix = "DAMASKHOLLOW_";
  std::map<std::string, std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const std::size_t equals = text.find('=');
    if (!text.starts_with(kPrefix) || equals == std::string_view::npos) continue;
    variables.emplace(text.substr(0, equals), text.substr(equals + 1));
  }
  return variables;
}

std::string FormatSettings(std::span<const SettingLine> lines) {
  static constexpr std::array<std::string_view, 3> kOrigins{"default", "environment", "flag"};
  std::ostringstream out;
  for (const SettingLine& line : lines) {
    out << line.name << '=' << line.value << "  ("
        << kOrigins[static_cast<std::size_t>(line.origin)] << ")\n";
  }
  return out.str();
}

}  // namespace damaskhollow
