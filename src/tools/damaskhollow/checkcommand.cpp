#include "damaskhollow/checkcommand.h"

#include <iostream>

#include "damaskhollow/declarationfile.h"

namespace damaskhollow {

namespace {

constexpr char kUsage[] = R"(Validates a declaration.

Usage:
  damaskhollow check FILE
  damaskhollow check (-h | --help)

Prints each error with its file and field path to standard error.

Exit status: 0 valid, 1 invalid, 2 wrong usage or unreadable file.
)";

Result<int> Run(const Arguments& arguments) {
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
  return kSuccessStatus;
}

}  // namespace

const Command& CheckCommand() {
  static constexpr Command kCommand{"check", "Validate a declaration", kUsage, Run};
  return kCommand;
}

}  // namespace damaskhollow
