#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// A declaration that has this path in place of /page, so that the version in force shows.
std::string WithPath(const Fleet& fleet, std::string_view prefix) {
  std::string text = fleet.Declaration();
  constexpr std::string_view kOld = "\"/page\"";
  const std::size_t position = text.find(kOld);
  CPPUNIT_ASSERT(position != std::string::npos);
  return text.replace(position, kOld.size(), "\"" + std::string(prefix) + "\"");
}

int VersionOf(Fleet& fleet, std::size_t index) {
  return fleet.Status(index)["configuration_version"].toInt();
}

bool AllAtVersion(Fleet& fleet, int version) {
  return WaitUntil([&] {
    for (std::size_t index = 0; index < fleet.Size(); ++index) {
      if (VersionOf(fleet, index) != version) return false;
    }
    return true;
  });
}

void Accept(Fleet& fleet, std::string_view prefix, int version) {
  CPPUNIT_ASSERT(fleet.PutConfiguration(WithPath(fleet, prefix), version));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), AllAtVersion(fleet, version));
}

void AssertServes(Fleet& fleet, std::size_t index, std::string_view path) {
  const HttpResponse answer = fleet.Call(index, "GET", path);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe() + fleet.NodeOutput(), std::string("answered"),
                               answer.Outcome());
}

// Guards against a node that cannot start, or forgets its rules, while the service is down.
void SurvivesAServiceThatIsDown(Fleet& fleet) {
  Accept(fleet, "/second", 2);
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=1"));
  fleet.RestartNode(1);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilReady(1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), AllAtVersion(fleet, 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
  AssertServes(fleet, 1, "/second");
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/down?on=0"));
  Accept(fleet, "/third", 3);
}

// Guards against a restarted node that takes an older version from a stale replica.
void IgnoresAStaleReplica(Fleet& fleet) {
  Accept(fleet, "/second", 2);
  // The replica now serves version 1 again, as one that lags behind.
  CPPUNIT_ASSERT(fleet.PutConfiguration(WithPath(fleet, "/page"), 1));
  fleet.RestartNode(1);
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilReady(1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), AllAtVersion(fleet, 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilAllServe());
  AssertServes(fleet, 1, "/second");
}

// Guards against an invalid value that comes into force or ends the readers.
void RefusesAnInvalidValue(Fleet& fleet) {
  Accept(fleet, "/second", 2);
  CPPUNIT_ASSERT(fleet.PutConfiguration("{\"format\": 1, \"colour\": 2}", 3));
  // The readers have taken the value once a node has noted that it refused it.
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                           return fleet.NodeOutput().find("unknown_field") != std::string::npos ||
                                  fleet.NodeOutput().find("missing_field") != std::string::npos;
                         }));
  AssertServes(fleet, 1, "/second");
  Accept(fleet, "/fourth", 4);
  AssertServes(fleet, 0, "/fourth");
}

struct ConfigurationCase {
  std::string_view name;
  void (*run)(Fleet&);
};

constexpr std::array kCases{
    ConfigurationCase{"service down", &SurvivesAServiceThatIsDown},
    ConfigurationCase{"stale replica", &IgnoresAStaleReplica},
    ConfigurationCase{"invalid value", &RefusesAnInvalidValue},
};

void KeepsItsVersion(const ConfigurationCase& row) {
  Fleet fleet({.servers = SmallFleet(3), .with_platform = true});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), AllAtVersion(fleet, 1));
  row.run(fleet);
}

const TableTest<ConfigurationCase> registration("Configuration", kCases, &KeepsItsVersion);

}  // namespace

}  // namespace damaskhollow::test
