#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <QCoreApplication>
#include <QSocketNotifier>
#include <array>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "logging/logger.h"
#include "logging/terminationreport.h"
#include "node/node.h"
#include "runtime/errorboundary.h"
#include "runtime/signaldescriptor.h"
#include "settings/nodesettings.h"

namespace {

using damaskhollow::LoadedSettings;
using damaskhollow::Result;

// Maximum number of malloc arenas. Each arena retains the memory freed in it, and with one arena
// per thread a node exceeds its memory budget of 32 MB.
constexpr int kMaxAllocatorArenas = 2;
constexpr int kUsageExitStatus = 2;
constexpr int kStartFailedExitStatus = 1;

constexpr std::array kStopSignals{SIGTERM, SIGINT};

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, kMaxAllocatorArenas);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  Result<LoadedSettings> loaded =
      damaskhollow::LoadNodeSettings(arguments, damaskhollow::ProcessEnvironment());
  if (!loaded) {
    std::cerr << "damaskhollow-node: " << damaskhollow::Describe(loaded.error()) << '\n';
    return kUsageExitStatus;
  }
  if (loaded.value().print_only) {
    std::cout << damaskhollow::FormatSettings(loaded.value().lines);
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int stop_signal_fd = damaskhollow::OpenSignalDescriptor(kStopSignals);
  if (stop_signal_fd < 0) {
    std::cerr << "damaskhollow-node: cannot open a descriptor for signals\n";
    return kStartFailedExitStatus;
  }
  damaskhollow::GuardedApplication application(argc, argv);
  damaskhollow::StartLogging(*damaskhollow::LogLevelFromName(loaded.value().settings.log_level));
  damaskhollow::Node node(loaded.value().settings,
                          damaskhollow::DefaultPlatformBindings(loaded.value().settings));
  damaskhollow::InstallTerminationReport([&node] { return node.LoadFields(); });
  if (Result<void> result = node.Start(); !result) {
    damaskhollow::EventLine(damaskhollow::LogPart::kNode, damaskhollow::LogLevel::kError,
                            "start_failed")
        .With("detail", Describe(result.error()));
    if (!damaskhollow::StopLogging()) std::_Exit(kStartFailedExitStatus);
    return kStartFailedExitStatus;
  }
  QSocketNotifier notifier(stop_signal_fd, QSocketNotifier::Read);
  QObject::connect(&notifier, &QSocketNotifier::activated, &application, [&] {
    signalfd_siginfo info{};
    while (::read(stop_signal_fd, &info, sizeof(info)) > 0) {
    }
    node.StartDrain([&application] { application.quit(); });
  });
  const int status = QCoreApplication::exec();
  if (!damaskhollow::StopLogging()) std::_Exit(status);
  return status;
}
