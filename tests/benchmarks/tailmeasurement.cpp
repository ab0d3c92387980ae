#include "benchmarks/tailmeasurement.h"

#include <array>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr double kServiceMs = 50.0;
// 30 % of the capacity of nine servers with nine slots each. At this rate a server slowed tenfold
// cannot serve one ninth of the calls.
constexpr double kCallsPerSecond = 486.0;
constexpr std::chrono::milliseconds kColdStartDuration{2000};

// A condition of the last of the nine backend servers. The queries that set and reset it go to the
// control interface of the server.
struct BackendCondition {
  std::string_view name;
  std::string_view set_query;
  std::string_view reset_query;
  bool restarts_backend = false;  // Before the measurement.
};

constexpr std::array kConditions{
    BackendCondition{"healthy", "", "", false},
    BackendCondition{"one slowed tenfold", "slow=10", "slow=1", false},
    BackendCondition{"one cold", "", "", true},
    BackendCondition{"one fails fast", "fail=1", "fail=0", false},
};

FleetOptions NineServerFleet(bool with_cold_start) {
  FleetOptions options;
  options.servers =
      DeploymentServers(BreizhDeployment(), {"--service-ms=" + FormatNumber(kServiceMs, 0)});
  if (with_cold_start) {
    options.servers.back().backend_arguments.insert(
        options.servers.back().backend_arguments.end(),
        {"--cold-factor=10", "--cold-ms=" + std::to_string(kColdStartDuration.count())});
  }
  options.proxy_peers = true;
  return options;
}

// Requests that the last backend server has rejected by failing fast since it started.
int FailedRunsOfLastServer(Fleet& fleet) { return fleet.Runs(fleet.Size() - 1)["failed"].toInt(); }

void MeasureCondition(const MeasurementContext& context, Fleet& fleet, const Subject& subject,
                      const BackendCondition& condition, double& healthy_p99, TextTable& table) {
  const std::size_t last = fleet.Size() - 1;
  if (!condition.set_query.empty()) fleet.SetBackend(last, condition.set_query);
  if (condition.restarts_backend) {
    fleet.RestartBackend(last);
    fleet.WaitUntilServing(last);
  }
  const int failed_before = FailedRunsOfLastServer(fleet);
  LoadStream stream =
      MakeStream("normal", "GET", "/page", kCallsPerSecond,
                 subject.IsDirect() ? BackendEndpoints(fleet) : CallerEndpoints(fleet));
  stream.is_direct = subject.IsDirect();
  const LoadCounts counts = RunLoad({stream}, context.PhaseDuration(), context.seed).front();
  const int failed = FailedRunsOfLastServer(fleet) - failed_before;
  if (!condition.reset_query.empty()) fleet.SetBackend(last, condition.reset_query);
  const double p99 = counts.Quantile(0.99);
  if (condition.name == "healthy") healthy_p99 = p99;
  table.AddRow({subject.name, std::string(condition.name), std::to_string(counts.sent),
                std::to_string(counts.Count("answered")), std::to_string(failed),
                FormatNumber(counts.Quantile(0.5)), FormatNumber(p99),
                FormatNumber(counts.Quantile(0.999)),
                healthy_p99 > 0.0 ? FormatNumber(p99 / healthy_p99) : "-", FormatReasons(counts)});
}

}  // namespace

bool MeasureTail(const MeasurementContext& context) {
  TextTable table("tail latency, Breizh's size, two regions, 50 ms of service, 486 calls/s (ms)",
                  {"subject", "condition", "sent", "answered", "5xx", "p50", "p99", "p99.9",
                   "p99 / healthy", "reasons"});
  for (const Subject& subject : SubjectsFor(context)) {
    const std::unique_ptr<Fleet> fleet = StartFleet(
        NineServerFleet(!context.is_quick), subject.IsDirect() ? "random" : subject.strategy);
    if (!fleet) return false;
    // After its start the last server is cold for this time.
    if (!context.is_quick) RunFor(kColdStartDuration);
    double healthy_p99 = 0.0;
    for (const BackendCondition& condition : kConditions) {
      if (context.is_quick && condition.restarts_backend) continue;
      MeasureCondition(context, *fleet, subject, condition, healthy_p99, table);
    }
  }
  context.report.Add("tail", table);
  return true;
}

}  // namespace damaskhollow::test
