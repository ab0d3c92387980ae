#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "support/callledger.h"
#include "support/fleet.h"
#include "support/loadgenerator.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct CutCase {
  std::string_view name;
  std::string_view cut;
  std::string_view heal;
};

constexpr std::array kCases{
    CutCase{"links that refuse", "cut=1", "cut=0"},
    CutCase{"links that swallow everything", "blackhole=1", "blackhole=0"},
};

constexpr std::chrono::milliseconds kCutTime{4000};
constexpr std::chrono::milliseconds kTimeAfterHeal{5000};
constexpr double kLinkBitsPerSecond = 30e6;
constexpr int kPaidBytesPerSecond = 100000;
constexpr int kMeasuringBytesPerSecond = 10000;
constexpr double kRate = 60.0;
constexpr double kTolerance = 0.05;

std::vector<FleetServer> TwoRegions() {
  std::vector<FleetServer> servers = SmallFleet(4, 8);
  for (std::size_t index = 2; index < servers.size(); ++index) {
    servers[index].region = "east";
    servers[index].data_centre = "e1";
  }
  return servers;
}

// Guards against a region that cannot serve without the other one, and against a burst of traffic
// on the paid link when it works again.
void EachRegionServesItself(const CutCase& row) {
  Fleet fleet({.servers = TwoRegions(),
               .proxy_peers = true,
               .measuring_bytes_per_second = kMeasuringBytesPerSecond,
               .paid_link_bytes_per_second = kPaidBytesPerSecond});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  fleet.SetRegionLinks("delay_ms=30");
  fleet.LimitRegionLinks(kLinkBitsPerSecond);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
  CallLedger ledger(fleet, {0, 1, 2, 3}, 20.0, 1);
  fleet.SetRegionLinks(row.cut);
  std::vector<LoadStream> streams;
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    streams.push_back(
        {.name = "node-" + std::to_string(index),
         .request = MakeRequest("GET", "/read?ms=5&bytes=5000", {{"Host", "shop.test"}}),
         .rate_per_second = kRate,
         .targets = {fleet.Caller(index)}});
  }
  LoadGenerator load(std::move(streams), 1);
  load.Start(kCutTime + kTimeAfterHeal);
  RunFor(kCutTime);
  fleet.SetRegionLinks(row.heal);
  const auto healed_at = std::chrono::steady_clock::now();
  const std::int64_t bytes_before = fleet.RegionLinkBytes();
  CPPUNIT_ASSERT(WaitUntil([&] { return load.IsDone(); }));
  const std::int64_t bytes = fleet.RegionLinkBytes() - bytes_before;
  const std::chrono::duration<double> healed_s = std::chrono::steady_clock::now() - healed_at;

  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    const LoadCounts& counts = load.Counts(index);
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                           static_cast<double>(counts.Count("answered")) >=
                               (1.0 - kTolerance) * static_cast<double>(counts.sent));
  }
  // Each region may use its full budget, and up to one second of it that was accumulated before.
  const double allowed = 2.0 * (kPaidBytesPerSecond + kMeasuringBytesPerSecond) *
                         (healed_s.count() + 1.0) * (1.0 + kTolerance);
  CPPUNIT_ASSERT_MESSAGE(
      std::to_string(bytes) + " bytes between regions, allowed: " + std::to_string(allowed),
      static_cast<double>(bytes) <= allowed);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), ledger.Finish());
  ledger.CheckAll();
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilLinked(index));
  }
}

const TableTest<CutCase> registration("RegionCut", kCases, &EachRegionServesItself);

}  // namespace

}  // namespace damaskhollow::test
