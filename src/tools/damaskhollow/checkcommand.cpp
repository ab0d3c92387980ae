#include "damaskhollow/checkcommand.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <string>

#include "damaskhollow/declarationfile.h"
#include "fleet/linkplan.h"
#include "policy/descriptorbudget.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Validates a declaration.

Usage:
  damaskhollow check [--descriptors=N] [--caller-connections=N] FILE
  damaskhollow check (-h | --help)

Prints each error with its file and field path to standard error.

Options:
  --descriptors=N         Also check that nodes that may open N descriptors each have enough.
  --caller-connections=N  The nodes' setting of this name [default: 1024].
  -h --help               Show this text.

Exit status: 0 valid, 1 invalid or too few descriptors, 2 wrong usage or unreadable file.
)";

constexpr char kDescriptorsOption[] = "--descriptors";
constexpr char kConnectionsOption[] = "--caller-connections";
constexpr std::size_t kMaxCount = 1UL << 30U;

// Reads an option whose value is a positive number. Fails with kInvalidSetting.
Result<std::size_t> ReadCount(const Arguments& arguments, const char* option) {
  const std::string text = arguments.at(option).asString();
  std::size_t count = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  const bool is_number = error == std::errc() && end == text.data() + text.size();
  if (is_number && count >= 1 && count <= kMaxCount) return count;
  return Failure{FailureCode::kInvalidSetting, option,
                 "must be a number from 1 to " + std::to_string(kMaxCount)};
}

// What the node with the most slots needs.
DescriptorNeeds NeedsOf(const Declaration& declaration) {
  DescriptorNeeds needs;
  needs.links = std::min(declaration.backend_servers.size(), kMaxLinks);
  for (const BackendServer& server : declaration.backend_servers) {
    needs.slots = std::max(needs.slots, server.slots);
  }
  return needs;
}

// Prints how many callers the descriptors allow. Returns whether they are as many as configured.
bool CheckDescriptors(const Declaration& declaration, std::size_t descriptors,
                      std::size_t connections) {
  const DescriptorNeeds needs = NeedsOf(declaration);
  const std::size_t limit = CallerConnectionLimit(connections, descriptors, needs);
  const bool can_start = descriptors >= kMinDescriptors;
  const bool is_enough = can_start && limit == connections;
  std::ostream& out = is_enough ? std::cout : std::cerr;
  out << "descriptors: " << descriptors << " allowed, " << ReservedDescriptors(needs)
      << " reserved for links and the backend server; caller connections: " << limit << " of "
      << connections << '\n';
  if (!can_start) {
    out << "descriptors: a node starts with " << kMinDescriptors << " or more\n";
  }
  return is_enough;
}

Result<int> Run(const Arguments& arguments) {
  const bool checks_descriptors = arguments.at(kDescriptorsOption).isString();
  const Result<std::size_t> connections = ReadCount(arguments, kConnectionsOption);
  if (!connections) return connections.error();
  const Result<std::size_t> descriptors =
      checks_descriptors ? ReadCount(arguments, kDescriptorsOption) : Result<std::size_t>(0);
  if (!descriptors) return descriptors.error();
  const std::string path = arguments.at("FILE").asString();
  const Result<ParsedDeclaration> parsed = ReadDeclarationFile(path);
  if (!parsed) return parsed.error();
  if (!parsed.value().failures.empty()) {
    PrintFailures(parsed.value());
    return kFailureStatus;
  }
  const Declaration& declaration = parsed.value().declaration;
  std::cout << path << ": valid; regions " << declaration.regions.size() << ", priorities "
            << declaration.priorities.size() << ", services " << declaration.services.size()
            << ", backend servers " << declaration.backend_servers.size() << '\n';
  const bool is_enough = !checks_descriptors ||
                         CheckDescriptors(declaration, descriptors.value(), connections.value());
  return is_enough ? kSuccessStatus : kFailureStatus;
}

}  // namespace

const Command& CheckCommand() {
  static constexpr Command kCommand{"check", "Validate a declaration", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
