#ifndef DAMASKHOLLOW_TESTS_BENCHMARKS_SCENARIO_H_
#define DAMASKHOLLOW_TESTS_BENCHMARKS_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "benchmarks/report.h"
#include "support/fleet.h"
#include "support/loadgenerator.h"

namespace damaskhollow::test {

// The parameters common to all measurements.
struct MeasurementContext {
  Report& report;
  bool is_quick = false;  // Short phases and fewer scenarios.
  std::uint64_t seed = 1;

  // The duration of one load phase.
  std::chrono::milliseconds PhaseDuration() const;
};

// A load distribution to compare: nodes with a routing strategy, or callers that choose backend
// servers themselves.
struct Subject {
  std::string name;
  std::string strategy;  // Empty if callers send directly to random backend servers.

  bool IsDirect() const { return strategy.empty(); }
};

// The adaptive strategy, the three baseline strategies and direct calls.
std::vector<Subject> AllSubjects();

// All subjects; in a quick run only adaptive, round_robin and direct calls.
std::vector<Subject> SubjectsFor(const MeasurementContext& context);

// The size of one of the two reference deployments. The two services of each reference deployment
// are modelled as one service.
struct Deployment {
  std::string name;
  std::size_t servers;
  int connections;  // Accepted by each backend server.
};
const Deployment& BreizhDeployment();
const Deployment& SlamkorselDeployment();

// Slots of each backend server.
constexpr int kStandardSlots = 9;

// The servers of a deployment, distributed over two data centres in each of two regions.
std::vector<FleetServer> DeploymentServers(const Deployment& deployment,
                                           const std::vector<std::string>& backend_arguments);

// Starts a fleet whose nodes use the routing strategy. With `proxy_peers`, links between regions
// have a delay of 30 ms each way and share 30 Mbit/s. If the fleet does not start, prints the
// output of the nodes to standard error and returns null.
std::unique_ptr<Fleet> StartFleet(FleetOptions options, std::string_view strategy);

// The addresses at which the nodes accept calls.
std::vector<Endpoint> CallerEndpoints(const Fleet& fleet);

// The addresses of the backend servers of the service "shop", for direct calls.
std::vector<Endpoint> BackendEndpoints(const Fleet& fleet);

// A stream of identical calls to the host shop.test, each sent to a random one of `targets`. The
// backend servers count the calls under `name`, which is the name of their priority.
LoadStream MakeStream(std::string_view name, std::string_view method, std::string_view target,
                      double calls_per_second, std::vector<Endpoint> targets);

// Sends the streams for `duration`, waits at most 60 s longer until all calls have ended and
// returns the counts of each stream.
std::vector<LoadCounts> RunLoad(std::vector<LoadStream> streams, std::chrono::milliseconds duration,
                                std::uint64_t seed);

// The number of unanswered calls by reason, for instance "no_server 3"; "-" if there are none.
std::string FormatReasons(const LoadCounts& counts);

// The sum over all nodes of the metric whose line in /metrics begins with `name`.
double MetricSum(Fleet& fleet, std::string_view name);

// The planned service time in milliseconds of completed requests by class, summed over all backend
// servers.
std::map<std::string, double> BusyTimeByClass(Fleet& fleet);

// The slope and intercept of a fitted line.
struct LinearFit {
  double slope = 0.0;
  double intercept = 0.0;
};

// Fits a line to the points by least squares. Slope and intercept are 0 if all x are equal.
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_SCENARIO_H_
