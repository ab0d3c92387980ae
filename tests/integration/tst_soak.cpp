#include <cppunit/TestAssert.h>
#include <signal.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/callledger.h"
#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kServers = 4;
// Callers connect to the first two nodes, which keep running during the test.
constexpr std::size_t kIngresses = 2;
constexpr int kRounds = 6;
constexpr milliseconds kMinRoundTime{200};
constexpr int kRoundSpreadMs = 900;

// A fault at one of the other nodes, with the functions that start and end it.
struct Fault {
  std::string_view name;
  void (*begin)(Fleet&, std::size_t node);
  void (*end)(Fleet&, std::size_t node);
};

const std::array faults{
    Fault{"kill", [](Fleet& fleet, std::size_t node) { fleet.Node(node).Kill(); },
          [](Fleet& fleet, std::size_t node) { fleet.RestartNode(node); }},
    Fault{"pause", [](Fleet& fleet, std::size_t node) { fleet.Node(node).Signal(SIGSTOP); },
          [](Fleet& fleet, std::size_t node) { fleet.Node(node).Signal(SIGCONT); }},
    Fault{"drain", [](Fleet& fleet, std::size_t node) { fleet.Node(node).Signal(SIGTERM); },
          [](Fleet& fleet, std::size_t node) {
            CPPUNIT_ASSERT(fleet.Node(node).WaitForExit(kWaitLimit));
            fleet.RestartNode(node);
          }},
    Fault{"silent links",
          [](Fleet& fleet, std::size_t node) {
            for (std::size_t peer = 0; peer < kServers; ++peer) {
              if (peer != node) fleet.SetPeerLinks(node, peer, "silence=1");
            }
          },
          [](Fleet&, std::size_t) {}},  // Silenced connections stay so; new ones work.
    Fault{"region cut", [](Fleet& fleet, std::size_t) { fleet.SetRegionLinks("blackhole=1"); },
          [](Fleet& fleet, std::size_t) { fleet.SetRegionLinks("blackhole=0"); }},
    Fault{"configuration service down",
          [](Fleet& fleet, std::size_t) {
            CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=1"));
          },
          [](Fleet& fleet, std::size_t) {
            CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=0"));
          }},
};

struct SoakCase {
  std::string_view name;
  std::uint64_t seed;
};

constexpr std::array kCases{SoakCase{"seed 11", 11}, SoakCase{"seed 12", 12},
                            SoakCase{"seed 13", 13}};

// Injects faults in a random order and of random duration while calls are sent. Guards against
// guarantees that hold during a single fault but not when another follows it: no non-idempotent
// request runs twice, every outcome that a caller receives is true, and the fleet serves again
// afterwards.
void KeepsGuarantees(const SoakCase& row) {
  FleetOptions options;
  options.servers = SmallFleet(kServers, 4);
  for (std::size_t index = kIngresses; index < kServers; ++index) {
    options.servers[index].region = "east";
    options.servers[index].data_centre = "e1";
  }
  options.proxy_peers = true;
  options.with_platform = true;
  options.node_arguments = {"--drain-announce-ms=300"};
  Fleet fleet(options);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  RandomSource random(row.seed);
  CallLedger ledger(fleet, {0, 1}, 80.0, row.seed);
  std::string fault_history;
  for (int round = 0; round < kRounds; ++round) {
    const Fault& fault = faults[random.Below(faults.size())];
    const std::size_t node = kIngresses + random.Below(kServers - kIngresses);
    const milliseconds time =
        kMinRoundTime + milliseconds(random.Below(static_cast<std::size_t>(kRoundSpreadMs)));
    fault_history += std::string(fault.name) + " at node " + std::to_string(node) + " for " +
                     std::to_string(time.count()) + " ms; ";
    fault.begin(fleet, node);
    RunFor(time);
    fault.end(fleet, node);
    RunFor(time / 2);
  }
  CPPUNIT_ASSERT_MESSAGE(fault_history + fleet.NodeOutput(), ledger.Finish());
  ledger.CheckAll();
  CPPUNIT_ASSERT_MESSAGE(fault_history + ledger.Summary(), ledger.Answered() > ledger.Sent() / 2);
  CPPUNIT_ASSERT_MESSAGE(fault_history + fleet.NodeOutput(), fleet.WaitUntilAllServe());
}

const TableTest<SoakCase> registration("Soak", kCases, &KeepsGuarantees);

}  // namespace

}  // namespace damaskhollow::test
