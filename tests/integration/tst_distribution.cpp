#include <cppunit/TestAssert.h>
#include <signal.h>

#include <QJsonArray>
#include <QJsonObject>
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct DistributionCase {
  std::string_view name;
  void (*run)(Fleet& fleet);
};

std::vector<FleetServer> TwoRegions() {
  return {{.id = "s1"},
          {.id = "s2"},
          {.id = "s3", .region = "east", .data_centre = "e1"},
          {.id = "s4", .region = "east", .data_centre = "e1"},
          {.id = "s5", .region = "east", .data_centre = "e1"}};
}

bool WaitForVersion(Fleet& fleet, std::size_t node, int version) {
  return WaitUntil([&] { return fleet.Status(node)["configuration_version"].toInt() == version; });
}

bool WaitForVersionOnAll(Fleet& fleet, int version) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (!WaitForVersion(fleet, node, version)) return false;
  }
  return true;
}

int VersionInForce(Fleet& fleet) { return fleet.Status(0)["configuration_version"].toInt(); }

// The state of a server as `node` sees it; empty if the node does not list it.
QString StateOf(Fleet& fleet, std::size_t node, const QString& server) {
  for (const QJsonValue value : fleet.Status(node)["peers"].toArray()) {
    const QJsonObject peer = value.toObject();
    if (peer["server"].toString() == server) return peer["state"].toString();
  }
  return {};
}

// Guards against nodes that do not receive a change, in particular those that do not read the
// configuration service themselves.
void ChangeReachesAll(Fleet& fleet) {
  const int version = VersionInForce(fleet);
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version + 1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, version + 1));
}

// Guards against an invalid declaration that comes into force or prevents later ones from doing so.
void InvalidChangeIsRefused(Fleet& fleet) {
  const int version = VersionInForce(fleet);
  CPPUNIT_ASSERT(fleet.PutConfiguration(R"({"format": 1})", version + 1));
  CPPUNIT_ASSERT(WaitUntil([&] {
    const QJsonObject configuration = fleet.Status(0)["configuration"].toObject();
    return !configuration["refused"].toArray().isEmpty();
  }));
  const QJsonObject refused =
      fleet.Status(0)["configuration"].toObject()["refused"].toArray().first().toObject();
  CPPUNIT_ASSERT_EQUAL(version + 1, refused["version"].toInt());
  CPPUNIT_ASSERT(!refused["reasons"].toArray().isEmpty());
  CPPUNIT_ASSERT_EQUAL(version, VersionInForce(fleet));
  CPPUNIT_ASSERT(fleet.Metric(0, "damaskhollow_configuration_refused_total") >= 1.0);
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version + 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, version + 2));
}

// Guards against a restarted node that reverts to the older version that a stale configuration
// service returns.
void RestartWithStaleService(Fleet& fleet) {
  const int version = VersionInForce(fleet);
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version + 5));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, version + 5));
  // The service returns the earlier version again, as a stale replica would.
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version));
  fleet.Node(2).Kill();
  fleet.RestartNode(2);
  CPPUNIT_ASSERT(fleet.WaitUntilReady(2));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), version + 5,
                               fleet.Status(2)["configuration_version"].toInt());
}

// Guards against a fleet that cannot serve, or restart a node, while the configuration service is
// down.
void RestartWhileServiceIsDown(Fleet& fleet) {
  const int version = VersionInForce(fleet);
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=1"));
  CPPUNIT_ASSERT(WaitUntil([&] {
    const QJsonObject configuration = fleet.Status(0)["configuration"].toObject();
    return !configuration["service_failure"].toString().isEmpty();
  }));
  CPPUNIT_ASSERT(fleet.Call(0, "GET", "/read").Outcome() == "answered");
  fleet.Node(2).Kill();
  fleet.RestartNode(2);
  // The restarted node cannot read the service; its peers connect to it and send it the version.
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersion(fleet, 2, version));
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=0"));
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version + 1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, version + 1));
}

// Guards against nodes that do not receive the VM list from the node that reads it, and against an
// empty list that takes all servers out of service.
void VmListDeterminesLeaving(Fleet& fleet) {
  CPPUNIT_ASSERT(fleet.PutVms(1001, {"s2"}));
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                           WaitUntil([&] { return StateOf(fleet, node, "s2") == "leaving"; }));
  }
  CPPUNIT_ASSERT(fleet.PutVms(1002, {}, {"s1", "s2", "s3", "s4", "s5"}));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Status(0)["vm_list"].toObject()["doubted"].toBool(); }));
  CPPUNIT_ASSERT(StateOf(fleet, 0, "s3") == "live");
  CPPUNIT_ASSERT(StateOf(fleet, 0, "s2") == "leaving");
  CPPUNIT_ASSERT(fleet.PutVms(1003));
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                           WaitUntil([&] { return StateOf(fleet, node, "s2") == "live"; }));
  }
}

// Guards against a backend server that stays out of service after it was restarted while draining.
void RestartedBackendServesAgain(Fleet& fleet) {
  fleet.SetBackend(1, "drain=1");
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                           WaitUntil([&] { return StateOf(fleet, node, "s2") == "draining"; }));
  }
  fleet.Backend(1).Kill();
  const double probes = fleet.Metric(1, "damaskhollow_probes_total");
  // A probe whose connection is refused shows the node that the old process has exited. Only one
  // probe runs at a time, so the start of a second one shows that the first one has ended.
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Metric(1, "damaskhollow_probes_total") >= probes + 2.0; }));
  fleet.RestartBackend(1);
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                           WaitUntil([&] { return StateOf(fleet, node, "s2") == "live"; }));
  }
}

// Guards against a node that does not serve again after a pause of its process, or serves from the
// state before the pause. During the pause, the node misses a drain and a new configuration
// version.
void PausedNodeCatchesUp(Fleet& fleet) {
  const int version = VersionInForce(fleet);
  fleet.Node(3).Signal(SIGSTOP);
  fleet.SetBackend(1, "drain=1");
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), version + 1));
  CPPUNIT_ASSERT(WaitForVersion(fleet, 0, version + 1));
  CPPUNIT_ASSERT(WaitUntil([&] { return StateOf(fleet, 0, "s2") == "draining"; }));
  // A node detects a pause if its process did not run for more than 1 s.
  RunFor(std::chrono::milliseconds(1500));
  fleet.Node(3).Signal(SIGCONT);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersion(fleet, 3, version + 1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                         WaitUntil([&] { return StateOf(fleet, 3, "s2") == "draining"; }));
  CPPUNIT_ASSERT(WaitUntil([&] { return !fleet.Status(3)["view_refreshing"].toBool(); }));
  CPPUNIT_ASSERT(fleet.Metric(3, "damaskhollow_pauses_total") >= 1.0);
  CPPUNIT_ASSERT(fleet.Call(3, "GET", "/read").Outcome() == "answered");
}

constexpr std::array kCases{
    DistributionCase{"a change reaches all nodes", &ChangeReachesAll},
    DistributionCase{"an invalid change is refused", &InvalidChangeIsRefused},
    DistributionCase{"restart beside a stale service", &RestartWithStaleService},
    DistributionCase{"restart while the service is down", &RestartWhileServiceIsDown},
    DistributionCase{"the VM list decides on leaving", &VmListDeterminesLeaving},
    DistributionCase{"a restarted backend server is taken back", &RestartedBackendServesAgain},
    DistributionCase{"a paused node catches up", &PausedNodeCatchesUp},
};

void RunCase(const DistributionCase& row) {
  Fleet fleet({.servers = TwoRegions(), .with_platform = true});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  row.run(fleet);
}

const TableTest<DistributionCase> registration("Distribution", kCases, &RunCase);

}  // namespace

}  // namespace damaskhollow::test
