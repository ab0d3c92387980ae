#include "benchmarks/floodmeasurement.h"

#include <array>
#include <iostream>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr double kServiceSeconds = 0.3;
constexpr std::string_view kPriorities = R"([
  {"id": "urgent", "rank": 0, "target_ms": 1000, "guaranteed_share": 0.4, "may_cross_regions": true},
  {"id": "normal", "rank": 1, "target_ms": 2000, "guaranteed_share": 0.35, "may_cross_regions": true},
  {"id": "bulk", "rank": 2, "target_ms": 2000, "guaranteed_share": 0.1, "may_cross_regions": false}])";
constexpr double kFloodFactor = 10.0;
constexpr std::chrono::milliseconds kSampleInterval{500};

// The calls of one priority. Loads and shares are fractions of the fleet's capacity.
struct PriorityClass {
  std::string_view name;
  std::string_view target;
  double guaranteed_share;
  double baseline_load;
};

// The baseline loads of normal and bulk exceed their guaranteed shares: with a lower load the
// completed share could not show whether the guarantee holds during a flood.
constexpr std::array kClasses{
    PriorityClass{"urgent", "/read", 0.40, 0.15},
    PriorityClass{"normal", "/page", 0.35, 0.40},
    PriorityClass{"bulk", "/bulk", 0.10, 0.15},
};
constexpr std::size_t kUrgentIndex = 0;
constexpr std::size_t kBulkIndex = 2;

// A flood of calls of one priority on a deployment, with one subject distributing the calls.
struct Flood {
  Deployment deployment;
  Subject subject;
  std::size_t flooding;  // Index into kClasses.

  // Calls per second that all slots together can complete.
  double Capacity() const {
    return static_cast<double>(deployment.servers) * kStandardSlots / kServiceSeconds;
  }
  std::string Name() const {
    return deployment.name + ", " + std::string(kClasses[flooding].name) + " flood, " +
           subject.name;
  }
};

// The streams of a flood, one for each priority. If `urgent_only_load` is above 0, only urgent
// calls are sent, at that fraction of capacity.
std::vector<LoadStream> MakeStreams(const Flood& flood, const Fleet& fleet,
                                    double urgent_only_load) {
  const std::vector<Endpoint> targets =
      flood.subject.IsDirect() ? BackendEndpoints(fleet) : CallerEndpoints(fleet);
  std::vector<LoadStream> streams;
  streams.reserve(kClasses.size());
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    double load_factor = index == flood.flooding ? kFloodFactor : kClasses[index].baseline_load;
    if (urgent_only_load > 0.0) load_factor = index == kUrgentIndex ? urgent_only_load : 0.0;
    streams.push_back(MakeStream(kClasses[index].name, "GET", kClasses[index].target,
                                 load_factor * flood.Capacity(), targets));
    streams.back().is_direct = flood.subject.IsDirect();
  }
  return streams;
}

// The results of a flood. The vectors are indexed like kClasses. The counts, and so the latency
// quantiles, cover the whole run. The completed shares and the goodput cover its second half and
// are fractions of capacity.
struct FloodResult {
  std::vector<LoadCounts> counts;
  std::vector<double> completed_share;  // From the planned service time of completed calls.
  std::vector<PlotSeries> over_time;    // Completed share in percent by seconds.
  double goodput = 0.0;                 // The sum of the completed shares.
};

// The planned service time in milliseconds of completed requests, indexed like kClasses.
std::vector<double> BusyTimeByIndex(Fleet& fleet) {
  const std::map<std::string, double> busy_ms = BusyTimeByClass(fleet);
  std::vector<double> busy(kClasses.size());
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    const auto found = busy_ms.find(std::string(kClasses[index].name));
    busy[index] = found == busy_ms.end() ? 0.0 : found->second;
  }
  return busy;
}

double ElapsedMs(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since)
      .count();
}

FloodResult RunFlood(const MeasurementContext& context, const Flood& flood, Fleet& fleet) {
  FloodResult result;
  for (const PriorityClass& row : kClasses) result.over_time.push_back({std::string(row.name), {}});
  const double slots = static_cast<double>(flood.deployment.servers) * kStandardSlots;
  LoadGenerator load(MakeStreams(flood, fleet, 0.0), context.seed, 8000);
  load.Start(context.PhaseDuration() * 2);
  // The shares are measured in the second half, when queues and shares are in a steady state.
  RunFor(context.PhaseDuration());
  const auto start = std::chrono::steady_clock::now();
  const std::vector<double> before = BusyTimeByIndex(fleet);
  std::vector<double> last = before;
  double last_ms = 0.0;
  while (ElapsedMs(start) < static_cast<double>(context.PhaseDuration().count())) {
    RunFor(kSampleInterval);
    const std::vector<double> busy = BusyTimeByIndex(fleet);
    const double now_ms = ElapsedMs(start);
    for (std::size_t index = 0; index < kClasses.size(); ++index) {
      const double share = (busy[index] - last[index]) / (slots * (now_ms - last_ms));
      result.over_time[index].points.emplace_back(now_ms / 1000.0, 100.0 * share);
    }
    last = busy;
    last_ms = now_ms;
  }
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    result.completed_share.push_back((last[index] - before[index]) / (slots * last_ms));
    result.goodput += result.completed_share.back();
  }
  load.Stop();
  WaitUntil([&] { return load.IsDone(); });
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    result.counts.push_back(load.Counts(index));
  }
  return result;
}

void AddRows(const Flood& flood, const FloodResult& result, double unloaded_p99, TextTable& table) {
  for (std::size_t index = 0; index < kClasses.size(); ++index) {
    const LoadCounts& counts = result.counts[index];
    const double p99 = counts.Quantile(0.99);
    const bool has_p99_ratio =
        index == kUrgentIndex && flood.flooding != kUrgentIndex && unloaded_p99 > 0.0;
    const std::size_t with_outcome =
        counts.Count("answered") + counts.Count("not-run") + counts.Count("unknown");
    table.AddRow({flood.Name(), std::string(kClasses[index].name), std::to_string(counts.sent),
                  std::to_string(counts.skipped), std::to_string(counts.Count("answered")),
                  std::to_string(counts.Count("not-run")), std::to_string(counts.Count("unknown")),
                  std::to_string(counts.sent - with_outcome), FormatNumber(counts.Quantile(0.5), 1),
                  FormatNumber(p99, 1), has_p99_ratio ? FormatNumber(p99 / unloaded_p99) : "-",
                  FormatNumber(100.0 * kClasses[index].guaranteed_share, 0),
                  FormatNumber(100.0 * result.completed_share[index], 1),
                  FormatNumber(100.0 * result.goodput, 1), FormatReasons(counts)});
  }
}

bool MeasureSingleFlood(const MeasurementContext& context, const Flood& flood, TextTable& table) {
  FleetOptions options;
  options.servers = DeploymentServers(
      flood.deployment, {"--service-ms=" + FormatNumber(1000.0 * kServiceSeconds, 0)});
  options.proxy_peers = true;
  options.priorities = kPriorities;
  const std::unique_ptr<Fleet> fleet =
      StartFleet(std::move(options), flood.subject.IsDirect() ? "random" : flood.subject.strategy);
  if (!fleet) return false;
  const double unloaded_p99 =
      RunLoad(MakeStreams(flood, *fleet, kClasses[kUrgentIndex].baseline_load),
              context.PhaseDuration(), context.seed)
          .front()
          .Quantile(0.99);
  const FloodResult result = RunFlood(context, flood, *fleet);
  AddRows(flood, result, unloaded_p99, table);
  context.report.Add("flood-" + flood.deployment.name + "-" +
                         std::string(kClasses[flood.flooding].name) + "-" +
                         (flood.subject.IsDirect() ? "direct" : flood.subject.strategy),
                     Plot{flood.Name(), "seconds", "% of capacity", result.over_time});
  return true;
}

}  // namespace

bool MeasureFlood(const MeasurementContext& context) {
  TextTable table(
      "floods at ten times capacity, two regions, 300 ms of service (ms, % of capacity)",
      {"flood", "priority", "sent", "skipped", "answered", "not-run", "unknown", "lost", "p50",
       "p99", "p99 / unloaded", "guaranteed", "kept", "goodput", "reasons"});
  std::vector<Flood> floods;
  for (const Deployment* deployment : {&BreizhDeployment(), &SlamkorselDeployment()}) {
    floods.push_back({*deployment, AllSubjects().front(), kBulkIndex});
    floods.push_back({*deployment, AllSubjects().front(), kUrgentIndex});
  }
  // Of the baselines, only round_robin and direct are measured, each with one flood of the least
  // urgent calls on Breizh, because admission at the owner is the same for all routing strategies.
  for (const Subject& subject : AllSubjects()) {
    const bool is_baseline = subject.strategy == "round_robin" || subject.IsDirect();
    if (is_baseline) floods.push_back({BreizhDeployment(), subject, kBulkIndex});
  }
  if (context.is_quick) floods.erase(floods.begin() + 2, floods.end());
  for (const Flood& flood : floods) {
    if (!MeasureSingleFlood(context, flood, table)) return false;
  }
  context.report.Add("flood", table);
  return true;
}

}  // namespace damaskhollow::test
