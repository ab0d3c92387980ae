#include <QCoreApplication>
#include <array>
#include <iostream>
#include <string>
#include <vector>

#include "damaskhollow/checkcommand.h"
#include "damaskhollow/command.h"
#include "damaskhollow/diffcommand.h"
#include "damaskhollow/explaincommand.h"
#include "damaskhollow/keygencommand.h"
#include "damaskhollow/statuscommand.h"
#include "damaskhollow/tracecommand.h"

namespace {

using damaskhollow::Command;
using damaskhollow::Failure;
using damaskhollow::FailureCode;
using damaskhollow::Result;

constexpr std::string_view kVersion = "damaskhollow 0.1.0";

using CommandGetter = const Command& (*)();

constexpr std::array<CommandGetter, 6> kCommands{
    damaskhollow::CheckCommand,   damaskhollow::DiffCommand,  damaskhollow::StatusCommand,
    damaskhollow::ExplainCommand, damaskhollow::TraceCommand, damaskhollow::KeygenCommand};

void PrintUsage(std::ostream& out) {
  out << "damaskhollow: command-line tool for operators of the damaskhollow load balancer.\n\n"
         "Usage:\n  damaskhollow COMMAND [ARGUMENTS]\n  damaskhollow COMMAND --help\n"
         "  damaskhollow --version\n\nCommands:\n";
  constexpr std::size_t kNameWidth = 10;
  for (const CommandGetter get_command : kCommands) {
    const Command& command = get_command();
    out << "  " << command.name << std::string(kNameWidth - command.name.size(), ' ')
        << command.summary << '\n';
  }
}

// Parses the arguments against the usage text of the command, runs it and returns the exit status.
Result<int> RunCommand(const Command& command, const std::vector<std::string>& arguments) {
  try {
    return command.run(docopt::docopt_parse(command.usage, arguments));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << command.usage;
    return damaskhollow::kSuccessStatus;
  } catch (const docopt::DocoptArgumentError& error) {
    return Failure{FailureCode::kInvalidSetting, "arguments",
                   std::string(error.what()) + "; see `damaskhollow " + std::string(command.name) +
                       " --help`"};
  }
}

// Handles the program-wide options and runs the command named by the first argument.
Result<int> Dispatch(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    PrintUsage(std::cerr);
    return damaskhollow::kUsageStatus;
  }
  if (arguments.front() == "--help" || arguments.front() == "-h") {
    PrintUsage(std::cout);
    return damaskhollow::kSuccessStatus;
  }
  if (arguments.front() == "--version") {
    std::cout << kVersion << '\n';
    return damaskhollow::kSuccessStatus;
  }
  for (const CommandGetter get_command : kCommands) {
    if (get_command().name == arguments.front()) return RunCommand(get_command(), arguments);
  }
  return Failure{FailureCode::kInvalidSetting, arguments.front(),
                 "unknown command; see `damaskhollow --help`"};
}

}  // namespace

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  const Result<int> status = Dispatch(std::vector<std::string>(argv + 1, argv + argc));
  if (status) return status.value();
  std::cerr << "damaskhollow: " << damaskhollow::Describe(status.error()) << '\n';
  return damaskhollow::kUsageStatus;
}
