#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/router.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr int kCalls = 200;
constexpr std::size_t kMaxQueried = 3;
const TimePoint test_time = TimePoint() + std::chrono::seconds(100);

struct EvacuatedRow {
  std::string_view name;
  std::vector<std::string_view> evacuated;
  std::string_view ingress;  // Data centre of the ingress.
  std::string_view allowed;  // Region that the route allows; empty: all.
  Reason refusal = Reason::kNone;
};

Declaration TwoRegions(const std::vector<std::string_view>& evacuated) {
  Declaration declaration;
  Service service;
  service.id = ServiceId("s");
  declaration.services.push_back(service);
  declaration.budgets.paid_link_bytes_per_second = 1000000000;
  for (const char* data_centre : {"north-a", "north-b", "south-a"}) {
    for (int number = 0; number < 2; ++number) {
      BackendServer server;
      server.id = BackendServerId(std::string(data_centre) + std::to_string(number));
      server.service = service.id;
      server.region = RegionId(std::string(data_centre).substr(0, 5));
      server.data_centre = DataCentreId(data_centre);
      server.slots = 6;
      declaration.backend_servers.push_back(server);
    }
  }
  for (const std::string_view name : evacuated) {
    declaration.evacuated_data_centres.emplace_back(std::string(name));
  }
  return declaration;
}

void Apply(Router& router, const Declaration& declaration) {
  router.SetDeclaration(std::make_shared<const Declaration>(declaration), test_time);
  for (const BackendServer& server : declaration.backend_servers) {
    router.SetReachable(server.id, true, test_time);
  }
}

bool IsIn(const BackendServerId& server, const std::vector<std::string_view>& data_centres) {
  for (const std::string_view data_centre : data_centres) {
    if (server.Value().starts_with(data_centre)) return true;
  }
  return false;
}

const std::array evacuated_rows{
    EvacuatedRow{"own data centre", {"north-a"}, "north-a", ""},
    EvacuatedRow{"neighbour", {"north-b"}, "north-a", ""},
    EvacuatedRow{"whole region", {"north-a", "north-b"}, "north-a", ""},
    EvacuatedRow{"all", {"north-a", "north-b", "south-a"}, "north-a", "", Reason::kEvacuated},
    EvacuatedRow{"only allowed region", {"south-a"}, "north-a", "south", Reason::kNoServer},
};

// Guards against calls to servers of an evacuated data centre, on the first choice and after load
// queries, and against servers that stay without calls when the evacuation has ended.
void TestEvacuatedRouting(const EvacuatedRow& row) {
  Router router("adaptive",
                {BackendServerId("ingress"), RegionId(std::string(row.ingress).substr(0, 5)),
                 DataCentreId(std::string(row.ingress))},
                5);
  Apply(router, TwoRegions({}));
  Apply(router, TwoRegions(row.evacuated));
  const std::vector<RegionId> allowed(row.allowed.empty() ? 0 : 1,
                                      RegionId(std::string(row.allowed)));
  RoutingRequest request;
  request.service = ServiceId("s");
  request.may_cross_regions = true;
  request.target_left = std::chrono::milliseconds(400);
  request.allowed_regions = allowed;
  for (int call = 0; call < kCalls; ++call) {
    const RoutingChoice choice = router.Choose(request, test_time);
    CPPUNIT_ASSERT(row.refusal == choice.refusal);
    CPPUNIT_ASSERT(row.refusal != Reason::kNone || !IsIn(choice.server, row.evacuated));
    for (const QueryScope scope :
         {QueryScope::kOwnDataCentre, QueryScope::kOtherDataCentresOfRegion}) {
      for (const BackendServerId& id :
           router.ServersToQuery(request, scope, kMaxQueried, test_time)) {
        CPPUNIT_ASSERT(!IsIn(id, row.evacuated));
      }
    }
  }
  Apply(router, TwoRegions({}));
  CPPUNIT_ASSERT_EQUAL(std::size_t{6}, router.SubsetOf(request.service).size());
}

const test::TableTest<EvacuatedRow> evacuated_test("EvacuatedRouting", evacuated_rows,
                                                   TestEvacuatedRouting);

}  // namespace

}  // namespace damaskhollow
