#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fleet/linkplan.h"

namespace damaskhollow {

namespace {

using std::chrono::seconds;

TimePoint At(seconds since_start) { return TimePoint(seconds(1000)) + since_start; }

std::vector<BackendServerId> Servers(const std::string& prefix, std::size_t count) {
  std::vector<BackendServerId> servers;
  for (std::size_t index = 0; index < count; ++index) {
    servers.emplace_back(prefix + std::to_string(index));
  }
  return servers;
}

}  // namespace

class LinkPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkPlanTest);
  CPPUNIT_TEST(SmallFleetOpensAll);
  CPPUNIT_TEST(SubsetsOpenOnUseAndCloseWhenIdle);
  CPPUNIT_TEST(LinksAreBounded);
  CPPUNIT_TEST(LinksFollowRoutingWithoutRequestIds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetOpensAll() {
    LinkNeeds needs;
    needs.inventory = Servers("server-", 19);
    CPPUNIT_ASSERT_EQUAL(std::size_t{19}, LinkPlan().Wanted(needs, At(seconds(0))).size());
  }

  void SubsetsOpenOnUseAndCloseWhenIdle() {
    LinkNeeds needs;
    needs.inventory = Servers("server-", 1199);
    needs.control = Servers("control-", 18);
    needs.own_service = Servers("own-", 25);
    needs.subsets[ServiceId("lookup")] = Servers("lookup-", 12);
    LinkPlan plan;
    CPPUNIT_ASSERT_EQUAL(std::size_t{43}, plan.Wanted(needs, At(seconds(0))).size());
    plan.RecordUse(ServiceId("lookup"), At(seconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{55}, plan.Wanted(needs, At(seconds(59))).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{43}, plan.Wanted(needs, At(seconds(60))).size());
  }

  // Guards against a node that calls all services and exceeds its 32 MB memory limit by links
  // alone.
  void LinksAreBounded() {
    LinkNeeds needs;
    needs.inventory = Servers("server-", 1199);
    needs.control = Servers("control-", 18);
    LinkPlan plan;
    for (int service = 0; service < 46; ++service) {
      const ServiceId id("service-" + std::to_string(service));
      needs.subsets[id] = Servers(id.Value() + "-", 12);
      plan.RecordUse(id, At(seconds(service)));
    }
    const std::set<BackendServerId> wanted = plan.Wanted(needs, At(seconds(50)));
    CPPUNIT_ASSERT_EQUAL(kMaxLinks, wanted.size());
    CPPUNIT_ASSERT(wanted.contains(BackendServerId("service-45-0")));
    CPPUNIT_ASSERT(!wanted.contains(BackendServerId("service-0-0")));
    CPPUNIT_ASSERT(wanted.contains(BackendServerId("control-0")));
  }

  // Guards against links to all servers of a service when no call can need them, as each link costs
  // processor time and pings across regions.
  void LinksFollowRoutingWithoutRequestIds() {
    Declaration declaration;
    for (const BackendServerId& id : Servers("server-", 60)) {
      BackendServer server;
      server.id = id;
      server.service = ServiceId("lookup");
      declaration.backend_servers.push_back(server);
    }
    const std::vector<ServiceId> used{ServiceId("lookup")};
    const auto needs_of = [&](bool has_request_ids) {
      return LinkNeedsOf(
          declaration, BackendServerId("server-0"), used,
          [](const ServiceId&) { return Servers("server-", 12); }, has_request_ids);
    };
    LinkPlan plan;
    plan.RecordUse(used.front(), At(seconds(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, plan.Wanted(needs_of(false), At(seconds(1))).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{59}, plan.Wanted(needs_of(true), At(seconds(1))).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkPlanTest);

}  // namespace damaskhollow
