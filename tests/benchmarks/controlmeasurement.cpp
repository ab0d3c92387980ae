#include "benchmarks/controlmeasurement.h"

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr double kCallsPerSecondPerNode = 100.0;
constexpr double kMegabyte = 1024.0 * 1024.0;

// The resources that all nodes have used since they started.
struct Usage {
  double control_bytes = 0.0;
  double paid_link_control_bytes = 0.0;
  double paid_link_bytes = 0.0;  // All traffic between regions, as counted by the proxy.
  double cpu_seconds = 0.0;
  std::chrono::steady_clock::time_point read_at;
};

Usage ReadUsage(Fleet& fleet) {
  Usage usage;
  usage.read_at = std::chrono::steady_clock::now();
  usage.control_bytes = MetricSum(fleet, "damaskhollow_control_bytes_sent_total") +
                        MetricSum(fleet, "damaskhollow_control_bytes_received_total");
  usage.paid_link_control_bytes = MetricSum(fleet, "damaskhollow_control_paid_link_bytes_total");
  usage.paid_link_bytes = static_cast<double>(fleet.RegionLinkBytes());
  usage.cpu_seconds = MetricSum(fleet, "damaskhollow_process_cpu_seconds_total");
  return usage;
}

// The resident memory of the node that uses most.
double LargestNodeMegabytes(Fleet& fleet) {
  double largest = 0.0;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    largest = std::max(largest, fleet.Metric(index, "damaskhollow_process_resident_memory_bytes"));
  }
  return largest / kMegabyte;
}

// Adds the usage since `before`.
void AddRow(Fleet& fleet, const std::string& deployment, const std::string& phase,
            const Usage& before, TextTable& table) {
  const Usage after = ReadUsage(fleet);
  const double seconds = std::chrono::duration<double>(after.read_at - before.read_at).count();
  const double nodes = static_cast<double>(fleet.Size());
  const auto rate = [&](double Usage::*field) { return (after.*field - before.*field) / seconds; };
  table.AddRow({deployment, phase, FormatNumber(rate(&Usage::control_bytes) / nodes, 0),
                FormatNumber(rate(&Usage::paid_link_control_bytes) / nodes, 0),
                FormatNumber(rate(&Usage::paid_link_bytes), 0),
                FormatNumber(100.0 * rate(&Usage::cpu_seconds) / nodes),
                FormatNumber(LargestNodeMegabytes(fleet), 1)});
}

bool MeasureDeployment(const MeasurementContext& context, const Deployment& deployment,
                       TextTable& table) {
  FleetOptions options;
  options.servers = DeploymentServers(deployment, {"--service-ms=20"});
  options.proxy_peers = true;
  const std::unique_ptr<Fleet> fleet = StartFleet(std::move(options), "adaptive");
  if (!fleet) return false;
  RunFor(context.PhaseDuration());  // Excludes start-up traffic.
  Usage before = ReadUsage(*fleet);
  RunFor(context.PhaseDuration() * 2);
  AddRow(*fleet, deployment.name, "idle", before, table);
  before = ReadUsage(*fleet);
  RunLoad({MakeStream("normal", "GET", "/page",
                      kCallsPerSecondPerNode * static_cast<double>(fleet->Size()),
                      CallerEndpoints(*fleet))},
          context.PhaseDuration() * 2, context.seed);
  AddRow(*fleet, deployment.name, "100 calls/s a node", before, table);
  return true;
}

}  // namespace

bool MeasureControl(const MeasurementContext& context) {
  TextTable table("control cost (targets: 10,000 bytes/s, 1.7 % of a core idle, 32 MB a node)",
                  {"deployment", "phase", "control bytes/s a node", "of it paid link",
                   "all bytes/s on the paid link", "% of a core a node", "largest node MB"});
  for (const Deployment* deployment : {&BreizhDeployment(), &SlamkorselDeployment()}) {
    if (!MeasureDeployment(context, *deployment, table)) return false;
  }
  context.report.Add("control", table);
  return true;
}

}  // namespace damaskhollow::test
