#include "benchmarks/scenario.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <array>
#include <iostream>
#include <utility>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kFullPhaseDuration{3000};
constexpr std::chrono::milliseconds kQuickPhaseDuration{500};
constexpr std::chrono::milliseconds kCompletionTimeout{60000};
constexpr double kPaidLinkBitsPerSecond = 30e6;
// Each node holds at most 1,024 caller connections. The limit is below the sum over all nodes of a
// deployment.
constexpr std::size_t kMaxPendingCalls = 8000;

}  // namespace

std::chrono::milliseconds MeasurementContext::PhaseDuration() const {
  return is_quick ? kQuickPhaseDuration : kFullPhaseDuration;
}

std::vector<Subject> AllSubjects() {
  return {{"product (adaptive)", "adaptive"},
          {"round_robin", "round_robin"},
          {"random", "random"},
          {"least_reported", "least_reported"},
          {"direct", ""}};
}

std::vector<Subject> SubjectsFor(const MeasurementContext& context) {
  std::vector<Subject> subjects = AllSubjects();
  if (context.is_quick) {
    std::erase_if(subjects, [](const Subject& subject) {
      return subject.strategy == "random" || subject.strategy == "least_reported";
    });
  }
  return subjects;
}

const Deployment& BreizhDeployment() {
  static const Deployment deployment{"Breizh", 9, 220};
  return deployment;
}

const Deployment& SlamkorselDeployment() {
  static const Deployment deployment{"Slamkorsel", 11, 260};
  return deployment;
}

std::vector<FleetServer> DeploymentServers(const Deployment& deployment,
                                           const std::vector<std::string>& backend_arguments) {
  constexpr std::array kLocations{std::pair{"west", "w1"}, std::pair{"east", "e1"},
                                  std::pair{"west", "w2"}, std::pair{"east", "e2"}};
  std::vector<FleetServer> servers;
  for (std::size_t index = 0; index < deployment.servers; ++index) {
    FleetServer server;
    server.id = "s" + std::to_string(index + 1);
    server.region = kLocations[index % kLocations.size()].first;
    server.data_centre = kLocations[index % kLocations.size()].second;
    server.slots = kStandardSlots;
    server.connections = deployment.connections;
    server.backend_arguments = backend_arguments;
    servers.push_back(std::move(server));
  }
  return servers;
}

std::unique_ptr<Fleet> StartFleet(FleetOptions options, std::string_view strategy) {
  const bool has_proxy = options.proxy_peers;
  options.node_arguments.push_back("--routing-strategy=" + std::string(strategy));
  options.node_arguments.emplace_back("--log-level=error");
  auto fleet = std::make_unique<Fleet>(std::move(options));
  if (!fleet->Start()) {
    std::cerr << "could not start the fleet; output of the nodes:\n" << fleet->NodeOutput() << '\n';
    return nullptr;
  }
  if (has_proxy) {
    fleet->SetRegionLinks("delay_ms=30");
    fleet->LimitRegionLinks(kPaidLinkBitsPerSecond);
  }
  return fleet;
}

std::vector<Endpoint> CallerEndpoints(const Fleet& fleet) {
  std::vector<Endpoint> nodes;
  nodes.reserve(fleet.Size());
  for (std::size_t index = 0; index < fleet.Size(); ++index) nodes.push_back(fleet.Caller(index));
  return nodes;
}

std::vector<Endpoint> BackendEndpoints(const Fleet& fleet) {
  std::vector<Endpoint> backends;
  const QJsonDocument declaration =
      QJsonDocument::fromJson(QByteArray::fromStdString(fleet.Declaration()));
  const QJsonArray servers = declaration["backend_servers"].toArray();
  for (const QJsonValue server : servers) {
    if (server["service"] != "shop") continue;
    const auto endpoint = ParseEndpoint(server["address"].toString().toStdString());
    if (endpoint) backends.push_back(endpoint.value());
  }
  return backends;
}

LoadStream MakeStream(std::string_view name, std::string_view method, std::string_view target,
                      double calls_per_second, std::vector<Endpoint> targets) {
  LoadStream stream;
  stream.name = name;
  stream.request = MakeRequest(method, target, {{"Host", "shop.test"}});
  stream.rate_per_second = calls_per_second;
  stream.targets = std::move(targets);
  return stream;
}

std::vector<LoadCounts> RunLoad(std::vector<LoadStream> streams, std::chrono::milliseconds duration,
                                std::uint64_t seed) {
  const std::size_t count = streams.size();
  LoadGenerator load(std::move(streams), seed, kMaxPendingCalls);
  load.Start(duration);
  WaitUntil([&] { return load.IsDone(); }, duration + kCompletionTimeout);
  std::vector<LoadCounts> counts;
  counts.reserve(count);
  for (std::size_t stream = 0; stream < count; ++stream) counts.push_back(load.Counts(stream));
  return counts;
}

std::string FormatReasons(const LoadCounts& counts) {
  std::string text;
  for (const auto& [reason, count] : counts.by_reason) {
    if (reason == "none") continue;
    text += (text.empty() ? "" : ", ") + reason + " " + std::to_string(count);
  }
  return text.empty() ? "-" : text;
}

double MetricSum(Fleet& fleet, std::string_view name) {
  double sum = 0.0;
  for (std::size_t index = 0; index < fleet.Size(); ++index) sum += fleet.Metric(index, name);
  return sum;
}

std::map<std::string, double> BusyTimeByClass(Fleet& fleet) {
  std::map<std::string, double> busy_ms;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    const QJsonObject classes = fleet.Runs(index)["classes"].toObject();
    for (const QString& name : classes.keys()) {
      busy_ms[name.toStdString()] += classes[name].toObject()["busy_ms"].toDouble();
    }
  }
  return busy_ms;
}

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  double sum_x = 0.0;
  double sum_y = 0.0;
  double sum_xx = 0.0;
  double sum_xy = 0.0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const auto count = static_cast<double>(points.size());
  const double denominator = count * sum_xx - sum_x * sum_x;
  if (denominator == 0.0) return {};
  const double slope = (count * sum_xy - sum_x * sum_y) / denominator;
  return LinearFit{slope, (sum_y - slope * sum_x) / count};
}

}  // namespace damaskhollow::test
