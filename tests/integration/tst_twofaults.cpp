#include <cppunit/TestAssert.h>
#include <signal.h>

#include <array>
#include <chrono>
#include <memory>
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

constexpr std::chrono::milliseconds kFaultTime{2000};
constexpr std::size_t kServers = 4;

// Two simultaneous faults, with the functions that start and end them.
struct TwoFaultsCase {
  std::string_view name;
  std::uint64_t seed;
  bool with_platform;
  void (*begin)(Fleet&);
  void (*end)(Fleet&);
  double flood_per_second;                  // Rate of calls of the lowest priority.
  std::vector<std::size_t> (*ingresses)();  // Nodes that keep running during the faults.
};

std::vector<std::size_t> AllNodes() { return {0, 1, 2, 3}; }
std::vector<std::size_t> FirstTwoNodes() { return {0, 1}; }

void Partition(Fleet& fleet) { fleet.SetRegionLinks("blackhole=1"); }
void HealPartition(Fleet& fleet) { fleet.SetRegionLinks("blackhole=0"); }

void PauseAndDrain(Fleet& fleet) {
  fleet.Node(2).Signal(SIGSTOP);
  fleet.Node(3).Signal(SIGTERM);
}
void ResumeAndReplace(Fleet& fleet) {
  fleet.Node(2).Signal(SIGCONT);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(3).WaitForExit(kWaitLimit));
  fleet.RestartNode(3);
}

void ServiceDownAndRestart(Fleet& fleet) {
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=1"));
  fleet.RestartNode(2);
}
void ServiceUp(Fleet& fleet) {
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=0"));
}

void SilenceAndCrash(Fleet& fleet) {
  fleet.SetPeerLinks(0, 2, "silence=1");
  fleet.SetPeerLinks(0, 3, "silence=1");
  fleet.Send(1, MakeRequest("POST", "/job?crash=1"), [](const HttpResponse&) {});
}
void RestartCrashed(Fleet& fleet) {
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    if (!fleet.Backend(index).IsRunning()) fleet.Backend(index).Start();
  }
}

void SilenceAndKill(Fleet& fleet) {
  fleet.SetPeerLinks(0, 1, "silence=1");
  fleet.Node(3).Kill();
}
void ReplaceKilled(Fleet& fleet) { fleet.RestartNode(3); }

constexpr std::array kCases{
    TwoFaultsCase{"flood and partition", 1, false, &Partition, &HealPartition, 1500.0, &AllNodes},
    TwoFaultsCase{"pause and drain", 2, false, &PauseAndDrain, &ResumeAndReplace, 0.0,
                  &FirstTwoNodes},
    TwoFaultsCase{"configuration service down and node restart", 3, true, &ServiceDownAndRestart,
                  &ServiceUp, 0.0, &FirstTwoNodes},
    TwoFaultsCase{"silent links and crashing request", 4, false, &SilenceAndCrash, &RestartCrashed,
                  0.0, &AllNodes},
    TwoFaultsCase{"silent link and killed node", 5, false, &SilenceAndKill, &ReplaceKilled, 0.0,
                  &FirstTwoNodes},
};

FleetOptions OptionsOf(const TwoFaultsCase& row) {
  FleetOptions options;
  options.servers = SmallFleet(kServers, 4);
  for (std::size_t index = 2; index < kServers; ++index) {
    options.servers[index].region = "east";
    options.servers[index].data_centre = "e1";
  }
  options.proxy_peers = true;
  options.with_platform = row.with_platform;
  options.node_arguments = {"--drain-announce-ms=1000"};
  return options;
}

// Guards against guarantees that hold during each fault but not during two at once: no
// non-idempotent request runs twice, every outcome that a caller receives is true, and the fleet
// serves again afterwards.
void KeepsGuarantees(const TwoFaultsCase& row) {
  Fleet fleet(OptionsOf(row));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  std::vector<Endpoint> callers;
  for (const std::size_t index : row.ingresses()) callers.push_back(fleet.Caller(index));
  LoadGenerator flood({{.name = "flood",
                        .request = MakeRequest("GET", "/bulk?ms=20", {{"Host", "shop.test"}}),
                        .rate_per_second = row.flood_per_second,
                        .targets = callers}},
                      row.seed);
  flood.Start(2 * kFaultTime);
  CallLedger ledger(fleet, row.ingresses(), 100.0, row.seed);
  RunFor(kFaultTime / 4);
  row.begin(fleet);
  RunFor(kFaultTime);
  row.end(fleet);
  RunFor(kFaultTime / 2);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), ledger.Finish());
  CPPUNIT_ASSERT(WaitUntil([&] { return flood.IsDone(); }));
  ledger.CheckAll();
  CPPUNIT_ASSERT_MESSAGE(ledger.Summary(), ledger.Answered() > ledger.Sent() / 2);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
}

const TableTest<TwoFaultsCase> registration("TwoFaults", kCases, &KeepsGuarantees);

}  // namespace

}  // namespace damaskhollow::test
