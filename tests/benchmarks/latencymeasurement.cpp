#include "benchmarks/latencymeasurement.h"

#include <array>

namespace damaskhollow::test {

namespace {

// The size of the Breizh deployment: 5 servers of the called service and 4 nodes of another service
// that are the ingress, so that each call passes through two nodes.
constexpr std::size_t kServerCount = 5;
constexpr std::size_t kIngressNodeCount = 4;
constexpr std::array kRates{50.0, 150.0, 250.0, 350.0};
constexpr std::array kQuantiles{0.5, 0.99, 0.999};
constexpr double kMaxAddedMs = 1.0;

FleetOptions IngressAndOwnerFleet() {
  FleetOptions options;
  for (std::size_t index = 0; index < kServerCount + kIngressNodeCount; ++index) {
    FleetServer server;
    server.id = "s" + std::to_string(index + 1);
    server.slots = kStandardSlots;
    server.connections = BreizhDeployment().connections;
    server.service = index < kServerCount ? "shop" : "front";
    server.backend_arguments = {"--service-ms=5"};
    options.servers.push_back(std::move(server));
  }
  return options;
}

// The addresses at which the ingress nodes accept calls.
std::vector<Endpoint> IngressEndpoints(const Fleet& fleet) {
  std::vector<Endpoint> endpoints;
  for (std::size_t index = kServerCount; index < fleet.Size(); ++index) {
    endpoints.push_back(fleet.Caller(index));
  }
  return endpoints;
}

// Sends `rate` calls per second for each ingress node, spread over the targets.
LoadCounts RunAtRate(const MeasurementContext& context, double rate, std::vector<Endpoint> targets,
                     bool is_direct) {
  LoadStream stream =
      MakeStream("normal", "GET", "/page", rate * kIngressNodeCount, std::move(targets));
  stream.is_direct = is_direct;
  return RunLoad({stream}, context.PhaseDuration(), context.seed).front();
}

// The difference to direct calls in milliseconds.
std::string AddedLatency(const LoadCounts& counts, const LoadCounts& direct, double quantile) {
  return FormatNumber(counts.Quantile(quantile) - direct.Quantile(quantile));
}

bool MeasureStrategy(const MeasurementContext& context, const Subject& subject, TextTable& table,
                     Plot& plot) {
  const std::unique_ptr<Fleet> fleet = StartFleet(IngressAndOwnerFleet(), subject.strategy);
  if (!fleet) return false;
  PlotSeries series{subject.name + " p99", {}};
  PlotSeries direct_series{"direct p99", {}};
  RunAtRate(context, kRates.front(), IngressEndpoints(*fleet), false);  // Opens connections.
  for (const double rate : kRates) {
    // Baseline strategies and quick runs use only the lowest and the highest rate, to keep the run
    // short.
    const bool is_extreme_rate = rate == kRates.front() || rate == kRates.back();
    if (!is_extreme_rate && (context.is_quick || subject.strategy != "adaptive")) continue;
    const LoadCounts direct = RunAtRate(context, rate, BackendEndpoints(*fleet), true);
    const LoadCounts counts = RunAtRate(context, rate, IngressEndpoints(*fleet), false);
    std::vector<std::string> row{subject.name, FormatNumber(rate, 0), std::to_string(counts.sent),
                                 std::to_string(counts.Count("answered"))};
    for (const double quantile : kQuantiles) row.push_back(FormatNumber(counts.Quantile(quantile)));
    for (const double quantile : kQuantiles) row.push_back(FormatNumber(direct.Quantile(quantile)));
    for (const double quantile : kQuantiles) row.push_back(AddedLatency(counts, direct, quantile));
    const bool is_met = counts.Count("answered") == counts.sent &&
                        counts.Quantile(0.99) - direct.Quantile(0.99) <= kMaxAddedMs;
    row.emplace_back(is_met ? "yes" : "no");
    row.push_back(FormatReasons(counts));
    table.AddRow(row);
    series.points.emplace_back(rate, counts.Quantile(0.99));
    direct_series.points.emplace_back(rate, direct.Quantile(0.99));
  }
  if (plot.series.empty()) plot.series.push_back(direct_series);
  plot.series.push_back(series);
  return true;
}

}  // namespace

bool MeasureLatency(const MeasurementContext& context) {
  TextTable table("latency through two nodes, 5 ms of service, 4 ingress nodes (ms)",
                  {"subject", "calls/s a node", "sent", "answered", "p50", "p99", "p99.9",
                   "direct p50", "direct p99", "direct p99.9", "added p50", "added p99",
                   "added p99.9", "p99 target 1 ms met", "reasons"});
  Plot plot{"Latency by load", "calls/s at each ingress node", "ms", {}};
  for (const Subject& subject : SubjectsFor(context)) {
    if (subject.IsDirect()) continue;
    if (!MeasureStrategy(context, subject, table, plot)) return false;
  }
  context.report.Add("latency", table);
  context.report.Add("latency", plot);
  return true;
}

}  // namespace damaskhollow::test
