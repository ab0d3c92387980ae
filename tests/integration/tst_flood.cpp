#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/loadgenerator.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr int kServers = 2;
constexpr int kSlots = 4;
constexpr double kServiceMs = 20.0;
constexpr double kCapacityPerSecond = kServers * kSlots * 1000.0 / kServiceMs;
constexpr double kTolerance = 0.05;
// Time for the flood to fill the queues, and the measurement time that follows it.
constexpr std::chrono::milliseconds kSettleTime{3000};
constexpr std::chrono::milliseconds kMeasurementTime{6000};

struct StreamPlan {
  std::string_view name;
  std::string_view path;
  double load;          // Rate as a fraction of the fleet's capacity.
  double min_answered;  // Fraction of the calls sent that must be answered.
  double min_share;     // Fraction of the fleet's slot time that the calls must get.
};

struct FloodCase {
  std::string_view name;
  std::array<StreamPlan, 3> streams;
};

// Guaranteed shares are 0.3 for urgent, 0.3 for normal and 0.2 for bulk.
constexpr std::array kCases{
    FloodCase{
        "of the least urgent",
        {StreamPlan{"urgent", "/read", 0.2, 1.0, 0.0}, StreamPlan{"normal", "/page", 0.2, 1.0, 0.0},
         StreamPlan{"bulk", "/bulk", 10.0, 0.0, 0.2}}},
    FloodCase{
        "of the most urgent",
        {StreamPlan{"urgent", "/read", 10.0, 0.0, 0.3},
         StreamPlan{"normal", "/page", 0.2, 1.0, 0.0}, StreamPlan{"bulk", "/bulk", 0.5, 0.0, 0.2}}},
    FloodCase{"of the middle",
              {StreamPlan{"urgent", "/read", 0.2, 1.0, 0.0},
               StreamPlan{"normal", "/page", 10.0, 0.0, 0.3},
               StreamPlan{"bulk", "/bulk", 0.5, 0.0, 0.2}}},
};

// Slot time and completed calls of one class of calls.
struct ClassUsage {
  double busy_ms = 0.0;
  double completed = 0.0;
};

// The sums over all backend servers since their start.
ClassUsage ClassUsageOf(Fleet& fleet, std::string_view name) {
  ClassUsage usage;
  for (std::size_t server = 1; server < fleet.Size(); ++server) {
    const QJsonObject counts =
        fleet.Runs(server)["classes"]
            .toObject()[QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()))]
            .toObject();
    usage.busy_ms += counts["busy_ms"].toDouble();
    usage.completed += counts["completed"].toInt();
  }
  return usage;
}

// Guards against a flood of one priority that takes slot time from the guaranteed shares of the
// others or causes calls within these shares to fail.
void KeepsOtherPrioritiesServed(const FloodCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(1 + kServers, kSlots)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  std::vector<LoadStream> streams;
  for (const StreamPlan& plan : row.streams) {
    const std::string target =
        std::string(plan.path) + "?ms=" + std::to_string(static_cast<int>(kServiceMs));
    streams.push_back({.name = std::string(plan.name),
                       .request = MakeRequest("GET", target, {{"Host", "shop.test"}}),
                       .rate_per_second = plan.load * kCapacityPerSecond,
                       .targets = {fleet.Caller(0)}});
  }
  LoadGenerator load(std::move(streams), 1, 900);
  load.Start(kSettleTime + kMeasurementTime);
  RunFor(kSettleTime);
  std::array<ClassUsage, 3> before;
  for (std::size_t stream = 0; stream < before.size(); ++stream) {
    before[stream] = ClassUsageOf(fleet, row.streams[stream].name);
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return load.IsDone(); }));

  std::array<double, 3> busy_ms{};
  double all_ms = 0.0;
  for (std::size_t stream = 0; stream < before.size(); ++stream) {
    busy_ms[stream] =
        ClassUsageOf(fleet, row.streams[stream].name).busy_ms - before[stream].busy_ms;
    all_ms += busy_ms[stream];
  }
  std::string text;
  for (std::size_t stream = 0; stream < before.size(); ++stream) {
    const LoadCounts& counts = load.Counts(stream);
    text += std::string(row.streams[stream].name) + ": sent " + std::to_string(counts.sent) +
            ", skipped " + std::to_string(counts.skipped) + ", answered " +
            std::to_string(counts.Count("answered")) + ", share " +
            std::to_string(busy_ms[stream] / all_ms);
    for (const auto& [reason, count] : counts.by_reason) {
      text += ", " + reason + " " + std::to_string(count);
    }
    text += "\n";
  }
  for (std::size_t stream = 0; stream < before.size(); ++stream) {
    const StreamPlan& plan = row.streams[stream];
    const LoadCounts& counts = load.Counts(stream);
    const auto answered = static_cast<double>(counts.Count("answered"));
    CPPUNIT_ASSERT_MESSAGE(
        text, answered >= (plan.min_answered - kTolerance) * static_cast<double>(counts.sent));
    CPPUNIT_ASSERT_MESSAGE(text, busy_ms[stream] / all_ms >= plan.min_share - kTolerance);
  }
}

const TableTest<FloodCase> registration("Flood", kCases, &KeepsOtherPrioritiesServed);

}  // namespace

}  // namespace damaskhollow::test
