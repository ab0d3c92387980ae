#ifndef DAMASKHOLLOW_TOOLS_COMMAND_H_
#define DAMASKHOLLOW_TOOLS_COMMAND_H_

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <string_view>

#include "base/result.h"

namespace damaskhollow {

// Exit statuses of the program.
constexpr int kSuccessStatus = 0;
constexpr int kFailureStatus = 1;  // The command ran; its result is negative.
constexpr int kUsageStatus = 2;    // Invalid arguments, or a file cannot be read or created.

using Arguments = std::map<std::string, docopt::value>;

// One subcommand of the program.
struct Command {
  std::string_view name;
  std::string_view summary;
  const char* usage;                               // In docopt syntax; printed by --help.
  Result<int> (*run)(const Arguments& arguments);  // Returns the exit status.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_TOOLS_COMMAND_H_
