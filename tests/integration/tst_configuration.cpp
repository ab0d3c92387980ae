#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// Returns the fleet's declaration with the path /page replaced by `prefix`, so that a call to this
// path shows whether the version is in force.
std::string DeclarationWithPath(const Fleet& fleet, std::string_view prefix) {
  std::string text = fleet.Declaration();
  constexpr std::string_view kReplacedPath = "\"/page\"";
  const std::size_t position = text.find(kReplacedPath);
  CPPUNIT_ASSERT(position != std::string::npos);
  return text.replace(position, kReplacedPath.size(), "\"" + std::string(prefix) + "\"");
}

// The configuration version in force on a node.
int VersionOf(Fleet& fleet, std::size_t index) {
  return fleet.Status(index)["configuration_version"].toInt();
}

bool WaitForVersionOnAll(Fleet& fleet, int version) {
  return WaitUntil([&] {
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      if (VersionOf(fleet, index) != version) return false;
    }
    return true;
  });
}

void PutAndWaitForVersion(Fleet& fleet, std::string_view prefix, int version) {
  CPPUNIT_ASSERT(fleet.PutConfiguration(DeclarationWithPath(fleet, prefix), version));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, version));
}

void AssertServes(Fleet& fleet, std::size_t index, std::string_view path) {
  const HttpResponse response = fleet.Call(index, "GET", path);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe() + fleet.NodeOutput(), std::string("answered"),
                               response.Outcome());
}

// Guards against a node that cannot start, or loses its rules, while the configuration service is
// down.
void RestartsWhileServiceIsDown(Fleet& fleet) {
  PutAndWaitForVersion(fleet, "/second", 2);
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=1"));
  fleet.RestartNode(1);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilReady(1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
  AssertServes(fleet, 1, "/second");
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=0"));
  PutAndWaitForVersion(fleet, "/third", 3);
}

// Guards against a restarted node that accepts an older version from a stale replica of the
// configuration service.
void IgnoresAStaleReplica(Fleet& fleet) {
  PutAndWaitForVersion(fleet, "/second", 2);
  // The service returns version 1 again, as a replica that lags behind would.
  CPPUNIT_ASSERT(fleet.PutConfiguration(DeclarationWithPath(fleet, "/page"), 1));
  fleet.RestartNode(1);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilReady(1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
  AssertServes(fleet, 1, "/second");
}

// Guards against an invalid value that comes into force or stops the nodes that read the
// configuration service from reading later values.
void RefusesAnInvalidValue(Fleet& fleet) {
  PutAndWaitForVersion(fleet, "/second", 2);
  CPPUNIT_ASSERT(fleet.PutConfiguration("{\"format\": 1, \"colour\": 2}", 3));
  // A node that logs the refusal has read the value.
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                           return fleet.NodeOutput().find("unknown_field") != std::string::npos ||
                                  fleet.NodeOutput().find("missing_field") != std::string::npos;
                         }));
  AssertServes(fleet, 1, "/second");
  PutAndWaitForVersion(fleet, "/fourth", 4);
  AssertServes(fleet, 0, "/fourth");
}

struct ConfigurationCase {
  std::string_view name;
  void (*run)(Fleet&);
};

constexpr std::array kCases{
    ConfigurationCase{"service down", &RestartsWhileServiceIsDown},
    ConfigurationCase{"stale replica", &IgnoresAStaleReplica},
    ConfigurationCase{"invalid value", &RefusesAnInvalidValue},
};

void KeepsConfigurationVersion(const ConfigurationCase& row) {
  Fleet fleet({.servers = SmallFleet(3), .with_platform = true});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, 1));
  row.run(fleet);
}

const TableTest<ConfigurationCase> registration("Configuration", kCases,
                                                &KeepsConfigurationVersion);

}  // namespace

}  // namespace damaskhollow::test
