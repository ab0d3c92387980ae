#include <cppunit/TestAssert.h>

#include <QJsonObject>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct SilentFleetCase {
  std::string_view name;
  void (*run)();
};

// Makes the open connections between all nodes silent; new ones work.
void MakeLinksUnresponsive(Fleet& fleet) {
  for (std::size_t from = 0; from < fleet.Size(); ++from) {
    for (std::size_t to = 0; to < fleet.Size(); ++to) {
      fleet.SetPeerLink(from, to, "unresponsive=1");
    }
  }
}

bool WaitForVersionOnAll(Fleet& fleet, int version) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    const auto has_version = [&] {
      return fleet.Status(node)["configuration_version"].toInt() == version;
    };
    if (!WaitUntil(has_version)) return false;
  }
  return true;
}

// Guards against an idle link whose connection has gone silent and that loses the gossip of the
// next seconds. No pings are due here, so that only the loss of the connection replaces the link.
void IdleLinkIsReplaced() {
  Fleet fleet({.servers = SmallFleet(2),
               .proxy_peers = true,
               .node_arguments = {"--silent-link-detection=off"}});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  MakeLinksUnresponsive(fleet);
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                             return fleet.Metric(node, "damaskhollow_links_replaced_total") >= 1.0;
                           }));
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilLinked(node));
  }
}

// Guards against a change that nodes learn of only when a watch has timed out, because all open
// connections, to the configuration service and between nodes, have gone silent while new ones
// work.
void ChangeReachesAllAfterSilence() {
  Fleet fleet({.servers = SmallFleet(5), .with_platform = true, .proxy_peers = true});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  // A change starts all watches anew.
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), 2));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, 2));
  CPPUNIT_ASSERT(fleet.ControlPlatform("POST", "/control/unresponsive"));
  MakeLinksUnresponsive(fleet);
  // A watch ends before the service's own limit of 30 s.
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                           return fleet.NodeOutput().find(
                                      "event=store_lost "
                                      "document=configuration") != std::string::npos;
                         }));
  CPPUNIT_ASSERT(fleet.PutConfiguration(fleet.Declaration(), 3));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitForVersionOnAll(fleet, 3));
}

constexpr std::array kCases{
    SilentFleetCase{"idle link", &IdleLinkIsReplaced},
    SilentFleetCase{"change after all connections went silent", &ChangeReachesAllAfterSilence},
};

void SurvivesSilence(const SilentFleetCase& row) { row.run(); }

const TableTest<SilentFleetCase> registration("SilentFleet", kCases, &SurvivesSilence);

}  // namespace

}  // namespace damaskhollow::test
