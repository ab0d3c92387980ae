#include "benchmarks/slopemeasurement.h"

#include <malloc.h>

#include <array>
#include <sstream>

#include "declaration/declarationparser.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using Points = std::vector<std::pair<double, double>>;

constexpr double kKilobyte = 1024.0;

// Adds a row with the points and the slope and intercept of the line fitted to them.
void AddSlopeRow(TextTable& table, std::string_view name, const Points& points) {
  std::string text;
  for (const auto& [x, y] : points) {
    text += (text.empty() ? "" : "; ") + FormatNumber(x, 0) + ": " + FormatNumber(y);
  }
  const LinearFit fit = FitLine(points);
  table.AddRow(
      {std::string(name), text, FormatNumber(fit.intercept, 3), FormatNumber(fit.slope, 4)});
}

std::vector<FleetServer> SingleDataCentreServers(std::size_t count, int slots) {
  std::vector<FleetServer> servers = SmallFleet(static_cast<int>(count), slots);
  for (FleetServer& server : servers) server.connections = 1000;
  return servers;
}

double MeanMemoryKilobytes(Fleet& fleet) {
  return MetricSum(fleet, "damaskhollow_process_resident_memory_bytes") /
         static_cast<double>(fleet.Size()) / kKilobyte;
}

double CpuSeconds(Fleet& fleet) {
  return MetricSum(fleet, "damaskhollow_process_cpu_seconds_total");
}

// The CPU time that a node uses on average while `run` executes, in percent of a core.
template <class Run>
double CpuPercent(Fleet& fleet, Run run) {
  const double before = CpuSeconds(fleet);
  const auto start = std::chrono::steady_clock::now();
  run();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  return 100.0 * (CpuSeconds(fleet) - before) / elapsed.count() / static_cast<double>(fleet.Size());
}

bool MeasurePeers(const MeasurementContext& context, TextTable& table) {
  constexpr std::array kFleetSizes{std::size_t{2}, std::size_t{7}, std::size_t{12}};
  Points memory;
  Points cpu;
  for (const std::size_t size : kFleetSizes) {
    FleetOptions options;
    options.servers = SingleDataCentreServers(size, kStandardSlots);
    const std::unique_ptr<Fleet> fleet = StartFleet(std::move(options), "adaptive");
    if (!fleet) return false;
    RunFor(context.PhaseDuration() / 2);
    const double peers = static_cast<double>(size) - 1.0;
    cpu.emplace_back(peers, CpuPercent(*fleet, [&] { RunFor(context.PhaseDuration()); }));
    memory.emplace_back(peers, MeanMemoryKilobytes(*fleet));
  }
  AddSlopeRow(table, "KB of memory by linked peers, idle", memory);
  AddSlopeRow(table, "% of a core by linked peers, idle", cpu);
  return true;
}

// The backend servers hold all calls, so that each call uses memory at its ingress node, at its
// owner or at both.
bool MeasureInFlight(const MeasurementContext& context, TextTable& table) {
  constexpr std::array kCallCounts{200.0, 400.0, 600.0, 800.0};
  constexpr int kSlots = 900;
  FleetOptions options;
  options.servers = SingleDataCentreServers(2, kSlots);
  options.deadline_ms = 60000;
  const std::unique_ptr<Fleet> fleet = StartFleet(std::move(options), "round_robin");
  if (!fleet) return false;
  Points points;
  for (const double calls : kCallCounts) {
    fleet->SetBackends("hold=1");
    LoadGenerator load({MakeStream("normal", "GET", "/page", calls * 2.0, CallerEndpoints(*fleet))},
                       context.seed);
    load.Start(std::chrono::milliseconds(1000));
    RunFor(std::chrono::milliseconds(1500));
    points.emplace_back(static_cast<double>(load.Counts(0).sent) / 2.0,
                        MeanMemoryKilobytes(*fleet));
    fleet->SetBackends("hold=0");
    WaitUntil([&] { return load.IsDone(); });
  }
  AddSlopeRow(table, "KB of memory by calls in flight at each node", points);
  return true;
}

bool MeasureCalls(const MeasurementContext& context, TextTable& table) {
  constexpr std::array kRates{0.0, 100.0, 200.0, 350.0};
  FleetOptions options;
  options.servers = SingleDataCentreServers(4, kStandardSlots);
  for (FleetServer& server : options.servers) server.backend_arguments = {"--service-ms=5"};
  const std::unique_ptr<Fleet> fleet = StartFleet(std::move(options), "random");
  if (!fleet) return false;
  Points points;
  for (const double rate : kRates) {
    const double calls_per_second = rate * static_cast<double>(fleet->Size());
    points.emplace_back(
        rate, CpuPercent(*fleet, [&] {
          RunLoad({MakeStream("normal", "GET", "/page", calls_per_second, CallerEndpoints(*fleet))},
                  context.PhaseDuration(), context.seed);
        }));
  }
  AddSlopeRow(table, "% of a core by calls/s, as ingress and as owner", points);
  return true;
}

// Counts the reads of the configuration service from the start of a fleet until all nodes have
// applied a configuration change.
bool MeasureStoreReads(TextTable& table) {
  constexpr std::array kFleetSizes{std::size_t{3}, std::size_t{6}, std::size_t{9}};
  Points points;
  for (const std::size_t size : kFleetSizes) {
    FleetOptions options;
    options.servers = SingleDataCentreServers(size, kStandardSlots);
    options.with_platform = true;
    const std::unique_ptr<Fleet> fleet = StartFleet(std::move(options), "adaptive");
    if (!fleet || !fleet->PutConfiguration(fleet->Declaration(), 2)) return false;
    const bool is_in_force = WaitUntil([&] {
      return MetricSum(*fleet, "damaskhollow_configuration_version") ==
             2.0 * static_cast<double>(size);
    });
    if (!is_in_force) return false;
    points.emplace_back(static_cast<double>(size), fleet->PlatformReads()["reads"].toDouble());
  }
  AddSlopeRow(table, "store reads by nodes: start of a fleet in one data centre and one change",
              points);
  return true;
}

// A declaration with this many backend servers, as JSON.
std::string MakeLargeDeclaration(std::size_t servers) {
  std::ostringstream text;
  text << R"({"format": 1, "regions": [{"id": "r", "data_centres": ["d"]}],
    "priorities": [{"id": "p", "rank": 0, "target_ms": 100, "guaranteed_share": 0.5,
      "may_cross_regions": true}],
    "services": [{"id": "s", "hosts": ["h"], "default_deadline_ms": 1000, "max_body_bytes": 0,
      "rules": []}],
    "budgets": {"measuring_bytes_per_second": 1, "probes_per_second": 1,
      "paid_link_bytes_per_second": 1, "retry_share": 0.1, "hedge_share": 0.1},
    "backend_servers": [)";
  constexpr std::size_t kAddressesPerSubnet = 250;
  for (std::size_t index = 0; index < servers; ++index) {
    const std::string address = "10.0." + std::to_string(index / kAddressesPerSubnet) + "." +
                                std::to_string(index % kAddressesPerSubnet + 1);
    text << (index == 0 ? "" : ",") << R"({"id": "s-)" << index
         << R"(", "service": "s", "address": ")" << address << R"(:8000", "peer_address": ")"
         << address
         << R"(:7080", "region": "r", "data_centre": "d", "slots": 9, "connections": 220,)"
         << R"("peer_public_key": ")" << std::string(40, 'x') << "\"}";
  }
  text << "]}";
  return text.str();
}

// Measures the memory of a parsed declaration and the size of its text by the number of backend
// servers in it.
void MeasureInventory(TextTable& table) {
  constexpr std::array kSizes{std::size_t{300}, std::size_t{600}, std::size_t{1200}};
  Points memory;
  Points text_size;
  for (const std::size_t size : kSizes) {
    const std::string text = MakeLargeDeclaration(size);
    const std::size_t before = ::mallinfo2().uordblks;
    const ParsedDeclaration parsed = ParseDeclaration("measured", text);
    const double allocated_bytes = static_cast<double>(::mallinfo2().uordblks - before);
    if (!parsed.failures.empty()) continue;
    memory.emplace_back(static_cast<double>(size), allocated_bytes / kKilobyte);
    text_size.emplace_back(static_cast<double>(size), static_cast<double>(text.size()) / kKilobyte);
  }
  AddSlopeRow(table, "KB of memory of a parsed declaration by inventory entries", memory);
  AddSlopeRow(table, "KB of declaration text by inventory entries", text_size);
}

}  // namespace

bool MeasureSlope(const MeasurementContext& context) {
  TextTable table("slopes (least squares)", {"what", "points", "at 0", "slope"});
  const bool is_complete = MeasurePeers(context, table) && MeasureInFlight(context, table) &&
                           MeasureCalls(context, table) && MeasureStoreReads(table);
  MeasureInventory(table);
  context.report.Add("slopes", table);
  return is_complete;
}

}  // namespace damaskhollow::test
