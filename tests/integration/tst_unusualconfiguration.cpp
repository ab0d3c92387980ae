#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// The size of the largest value of the users' store, in bytes.
constexpr std::size_t kValueBytes = 1048576;
constexpr std::string_view kLimits =
    R"("maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeout":"5s","idleTimeout":"20s")";

std::string RouteText(const std::string& name, std::string_view priority) {
  return R"({"name":")" + name + R"(","hostname":"shop.test","prefix":"/)" + name +
         R"(/","routeType":"safe","service":"portal","timeout":"3s","slo":"600ms","priority":)" +
         std::string(priority) + R"(,"attempts":2})";
}

// Returns a configuration with the routes /look/ and /NAME/ and with `more_routes` and
// `more_services`, each of which begins with a comma.
std::string ConfigurationText(int version, const std::string& name, const std::string& more_routes,
                              const std::string& more_services, std::string_view limits) {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routes":[)" +
         RouteText("look", "1") + "," + RouteText(name, "1") + more_routes +
         R"(],"services":[{"name":"portal","healthPath":"/healthz"})" + more_services +
         R"(],"limits":{)" + std::string(limits) + "}}";
}

std::string Nothing() { return {}; }
std::string RouteOfHighRank() { return "," + RouteText("low", "5000"); }
std::string RouteOfNegativeRank() { return "," + RouteText("first", "-1"); }

std::string RoutesOfManyRanks() {
  constexpr int kRanks = 40;
  std::string routes;
  for (int rank = 0; rank < kRanks; ++rank) {
    routes += "," + RouteText("rank-" + std::to_string(rank), std::to_string(rank));
  }
  return routes;
}

// Returns as many entries as fit into the store beside the others.
std::string EntriesOfWholeValue(std::string (*entry)(const std::string& name)) {
  std::string entries;
  std::size_t left = kValueBytes - ConfigurationText(2, "added", {}, {}, kLimits).size();
  for (int number = 100000;; ++number) {
    const std::string text = "," + entry(std::to_string(number));
    if (text.size() > left) return entries;
    left -= text.size();
    entries += text;
  }
}

std::string RoutesOfWholeValue() {
  return EntriesOfWholeValue([](const std::string& name) { return RouteText(name, "1"); });
}

// Services grow most in the translation.
std::string ServicesOfWholeValue() {
  return EntriesOfWholeValue([](const std::string& name) { return R"({"name":")" + name + "\"}"; });
}

std::string NamesThatAreEqualInUtf8() {
  std::string second = RouteText("second", "1");
  second.replace(second.find("second"), 6, "\\udc00");
  std::string first = RouteText("first", "1");
  first.replace(first.find("first"), 5, "\\ud800");
  return "," + first + "," + second;
}

struct ConfigurationRow {
  std::string_view name;
  std::string (*more_routes)();
  std::string (*more_services)() = Nothing;
  std::string_view limits = kLimits;
  PlatformFleetOptions options = {};
};

const std::array configuration_rows{
    ConfigurationRow{"priority above 1000", RouteOfHighRank},
    ConfigurationRow{"priority below 0", RouteOfNegativeRank},
    ConfigurationRow{"40 priorities", RoutesOfManyRanks},
    ConfigurationRow{"whole value of routes", RoutesOfWholeValue},
    ConfigurationRow{"whole value of services", Nothing, ServicesOfWholeValue},
    ConfigurationRow{"names that are equal in UTF-8", NamesThatAreEqualInUtf8},
    ConfigurationRow{
        "limits beyond those of a node", Nothing, Nothing,
        R"("maxHeaderBytes":16777216,"maxBodyBytes":2147483648,"headerTimeout":"90000s","idleTimeout":"0s")"},
    ConfigurationRow{
        "retries beyond all requests", Nothing, Nothing, kLimits, {.retry_ratio = 3.0}},
};

void AssertServedByAll(PlatformFleet& fleet, std::string_view target) {
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    CPPUNIT_ASSERT_MESSAGE(
        fleet.Output(), WaitUntil([&] { return fleet.Call(index, "GET", target).status == 200; }));
  }
}

// Guards against a configuration of the store that no node follows, and with which none starts, as
// one value in it is beyond what a declaration can say: the sound routes beside it are served, also
// after all processes were killed, and later versions are followed.
void TestUnusualConfiguration(const ConfigurationRow& row) {
  PlatformFleet fleet(row.options);
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  fleet.Store().Put("op/config", ConfigurationText(2, "added", row.more_routes(),
                                                   row.more_services(), row.limits));
  AssertServedByAll(fleet, "/added/x");
  for (std::size_t index = 0; index < fleet.Size(); ++index) fleet.Node(index).Kill();
  for (std::size_t index = 0; index < fleet.Size(); ++index) fleet.StartNode(index);
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.WaitUntilServing(index));
  }
  AssertServedByAll(fleet, "/added/x");
  fleet.Store().Put("op/config", ConfigurationText(3, "next", row.more_routes(),
                                                   row.more_services(), row.limits));
  AssertServedByAll(fleet, "/next/x");
}

const TableTest<ConfigurationRow> registration("UnusualConfiguration", configuration_rows,
                                               &TestUnusualConfiguration);

}  // namespace

}  // namespace damaskhollow::test
