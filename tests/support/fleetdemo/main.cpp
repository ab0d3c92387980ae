#include <QCommandLineParser>
#include <QCoreApplication>
#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "support/fleet.h"
#include "support/loadgenerator.h"
#include "support/texttable.h"
#include "support/wait.h"

namespace {

using damaskhollow::Endpoint;
using damaskhollow::test::Fleet;
using damaskhollow::test::FleetOptions;
using damaskhollow::test::FleetServer;
using damaskhollow::test::FormatNumber;
using damaskhollow::test::LoadCounts;
using damaskhollow::test::LoadGenerator;
using damaskhollow::test::LoadStream;
using damaskhollow::test::TextTable;

constexpr int kServiceMs = 40;
constexpr int kSlots = 4;
constexpr std::chrono::seconds kCompletionTimeout{60};
constexpr int kMaxLoadSeconds = 600;
constexpr int kMaxStaySeconds = 3600;

// A stream of calls. The rates are set for a capacity of 6 x 4 slots / 40 ms = 600 calls/s.
struct DemoStream {
  const char* name;
  const char* method;
  const char* target;
  double calls_per_second;
};

constexpr std::array kStreams{
    DemoStream{"urgent", "GET", "/read", 60.0},
    DemoStream{"urgent, at most once", "POST", "/book", 40.0},
    DemoStream{"normal", "GET", "/page", 100.0},
    DemoStream{"bulk", "GET", "/bulk", 50.0},
};
constexpr std::size_t kBulkStream = 3;
// Twice the capacity of the six backend servers is enough to fill all slots and queues. Ten times
// the capacity would load the generator more than the nodes.
constexpr double kFloodCallsPerSecond = 1200.0;

std::vector<FleetServer> DemoServers() {
  constexpr std::array kLocations{std::pair{"west", "w1"}, std::pair{"east", "e1"},
                                  std::pair{"west", "w2"}, std::pair{"east", "e2"}};
  constexpr std::size_t kServers = 6;
  std::vector<FleetServer> servers;
  for (std::size_t index = 0; index < kServers; ++index) {
    FleetServer server;
    server.id = "s" + std::to_string(index + 1);
    server.region = kLocations[index % kLocations.size()].first;
    server.data_centre = kLocations[index % kLocations.size()].second;
    server.slots = kSlots;
    server.backend_arguments = {"--service-ms=" + std::to_string(kServiceMs)};
    servers.push_back(server);
  }
  return servers;
}

std::vector<LoadStream> DemoStreams(const Fleet& fleet) {
  std::vector<Endpoint> callers;
  for (std::size_t index = 0; index < fleet.Size(); ++index) callers.push_back(fleet.Caller(index));
  std::vector<LoadStream> streams;
  streams.reserve(kStreams.size());
  for (const DemoStream& stream : kStreams) {
    LoadStream& added = streams.emplace_back();
    added.name = stream.name;
    added.request =
        damaskhollow::test::MakeRequest(stream.method, stream.target, {{"Host", "shop.test"}});
    added.rate_per_second = stream.calls_per_second;
    added.targets = callers;
  }
  return streams;
}

// Returns the reasons of the calls that were not answered, with counts; "-" if there are none.
std::string ReasonsText(const LoadCounts& counts) {
  std::string text;
  for (const auto& [reason, count] : counts.by_reason) {
    if (reason == "none") continue;
    text += (text.empty() ? "" : ", ") + reason + " " + std::to_string(count);
  }
  const std::size_t refused = counts.Count("refused");
  if (refused > 0) text += " no connection " + std::to_string(refused);
  return text.empty() ? "-" : text;
}

// Prints the results and returns whether each call ended with the outcome "answered" or "not-run".
bool PrintReport(const LoadGenerator& load) {
  TextTable table("calls by priority", {"stream", "sent", "answered", "not-run", "unknown",
                                        "p50 ms", "p99 ms", "reasons"});
  bool all_accounted_for = true;
  for (std::size_t index = 0; index < kStreams.size(); ++index) {
    const LoadCounts& counts = load.Counts(index);
    const std::size_t answered = counts.Count("answered");
    const std::size_t not_run = counts.Count("not-run");
    const std::size_t unknown = counts.Count("unknown");
    table.AddRow({kStreams[index].name, std::to_string(counts.sent), std::to_string(answered),
                  std::to_string(not_run), std::to_string(unknown),
                  FormatNumber(counts.Quantile(0.5), 1), FormatNumber(counts.Quantile(0.99), 1),
                  ReasonsText(counts)});
    // The demo injects no faults, so no outcome may be unknown.
    all_accounted_for = all_accounted_for && answered + not_run == counts.sent && unknown == 0;
  }
  table.Print(std::cout);
  return all_accounted_for;
}

int RunDemo(std::chrono::seconds duration, std::uint64_t seed) {
  Fleet fleet(FleetOptions{.servers = DemoServers(), .proxy_peers = true});
  std::cout << "starting 6 backend servers, 6 nodes in 2 regions; seed " << seed << std::endl;
  if (!fleet.Start()) {
    std::cerr << "the fleet did not start:\n" << fleet.NodeOutput() << '\n';
    return 1;
  }
  fleet.SetRegionLinks("delay_ms=30");
  LoadGenerator load(DemoStreams(fleet), seed);
  load.Start(duration);
  std::cout << "load for " << duration.count() << " s; the middle third is a flood of bulk calls, "
            << kFloodCallsPerSecond << " a second" << std::endl;
  damaskhollow::test::RunFor(duration / 3);
  load.SetRate(kBulkStream, kFloodCallsPerSecond);
  damaskhollow::test::RunFor(duration / 3);
  load.SetRate(kBulkStream, kStreams[kBulkStream].calls_per_second);
  if (!damaskhollow::test::WaitUntil([&] { return load.IsDone(); },
                                     duration + kCompletionTimeout)) {
    std::cerr << "calls are still open after the end of the load\n";
    return 1;
  }
  const bool all_accounted_for = PrintReport(load);
  if (!all_accounted_for) std::cerr << "what the nodes printed:\n" << fleet.NodeOutput() << '\n';
  std::cout << (all_accounted_for ? "every call is accounted for: answered + not-run = sent"
                                  : "NOT every call is accounted for")
            << std::endl;
  return all_accounted_for ? 0 : 1;
}

// Starts the fleet with the platform stand-in and keeps it running for `duration`, so that
// operators can try commands on it.
int KeepFleetRunning(std::chrono::seconds duration) {
  Fleet fleet(FleetOptions{.servers = DemoServers(), .with_platform = true});
  if (!fleet.Start()) {
    std::cerr << "the fleet did not start:\n" << fleet.NodeOutput() << '\n';
    return 1;
  }
  std::cout << "platform=" << ToString(fleet.PlatformAddress())
            << "\ndeclaration=" << fleet.Folder() << "/declaration.json\n";
  std::string admins;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    std::cout << "s" << index + 1 << ": caller=" << ToString(fleet.Caller(index))
              << " admin=" << ToString(fleet.Admin(index))
              << " backend=" << ToString(fleet.BackendAddress(index)) << '\n';
    admins += (admins.empty() ? "" : " ") + ToString(fleet.Admin(index));
  }
  std::cout << "admins=\"" << admins << "\"\nthe fleet stays up for " << duration.count() << " s"
            << std::endl;
  damaskhollow::test::RunFor(duration);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  parser.setApplicationDescription(
      "Starts six nodes in two regions with stand-in backend servers and floods them.");
  parser.addHelpOption();
  parser.addOptions({{"seconds", "Length of the load, 3 to 600.", "N", "9"},
                     {"seed", "Seed of the load.", "N", "1"},
                     {"stay", "No load: keep the fleet running for N seconds, 1 to 3600.", "N"}});
  parser.process(application);
  if (parser.isSet("stay")) {
    const int stay_seconds = std::clamp(parser.value("stay").toInt(), 1, kMaxStaySeconds);
    return KeepFleetRunning(std::chrono::seconds(stay_seconds));
  }
  const int seconds = std::clamp(parser.value("seconds").toInt(), 3, kMaxLoadSeconds);
  const std::uint64_t seed = parser.value("seed").toULongLong();
  return RunDemo(std::chrono::seconds(seconds), seed);
}
