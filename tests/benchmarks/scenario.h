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

// What each measurement gets.
struct MeasurementContext {
  Report& report;
  bool is_quick = false;
  std::uint64_t seed = 1;

  // The length of one load phase.
  std::chrono::milliseconds PhaseDuration() const;
};

// Who spreads the calls: the product with a routing strategy, or the callers themselves.
struct Subject {
  std::string name;
  std::string strategy;  // Empty: callers go to random backend servers directly.

  bool IsDirect() const { return strategy.empty(); }
};

// adaptive, the three baselines and direct calls.
std::vector<Subject> AllSubjects();

// All subjects, or adaptive, round_robin and direct calls in a quick run.
std::vector<Subject> SubjectsFor(const MeasurementContext& context);

// One of the two deployments of design 1.5. The two services of each are one service here.
struct Deployment {
  std::string name;
  std::size_t servers;
  int connections;
};
const Deployment& BreizhDeployment();
const Deployment& SlamkorselDeployment();

constexpr int kStandardSlots = 9;

// The servers of a deployment, spread over two data centres in each of two regions.
std::vector<FleetServer> DeploymentServers(const Deployment& deployment,
                                           const std::vector<std::string>& backend_arguments);

// Starts a fleet; links between regions get 30 ms delay each way and share 30 Mbit/s. Null and a
// message on standard error if it does not start.
std::unique_ptr<Fleet> StartFleet(FleetOptions options, std::string_view strategy);

// Addresses to which a subject's callers send.
std::vector<Endpoint> CallerEndpoints(const Fleet& fleet);
std::vector<Endpoint> BackendEndpoints(const Fleet& fleet);

// A stream of one kind of calls, named after its priority.
LoadStream MakeStream(std::string_view name, std::string_view method, std::string_view target,
                      double calls_per_second, std::vector<Endpoint> targets);

// Sends the streams for `duration`, waits until all calls ended and returns their counts.
std::vector<LoadCounts> RunLoad(std::vector<LoadStream> streams, std::chrono::milliseconds duration,
                                std::uint64_t seed);

// The reasons of the calls that were not answered, for instance "no_server 3"; "-" if there are
// none.
std::string FormatReasons(const LoadCounts& counts);

// The sum over all nodes of one line of /metrics.
double MetricSum(Fleet& fleet, std::string_view name);

// Milliseconds of completed runs by class, summed over all backend servers.
std::map<std::string, double> BusyTimeByClass(Fleet& fleet);

// The slope and intercept of a line through the points, by least squares.
struct LinearFit {
  double slope = 0.0;
  double intercept = 0.0;
};
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_BENCHMARKS_SCENARIO_H_
