#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "policy/router.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kSlots = 6;
constexpr std::size_t kMaxQueried = 3;
constexpr int kCalls = 200;

// How an ingress comes to a choice.
enum class Way { kFromReports, kFromEstimates, kAllRefuse };

struct AllowedRegionsRow {
  std::string_view name;
  std::vector<RegionId> allowed;
  Way way = Way::kFromReports;
  bool may_cross_regions = true;
  std::string_view unreachable;  // A region whose servers cannot be reached.
  // The region that must get every call; empty if all must be refused.
  std::string_view region;
};

const RegionId north("north");
const RegionId south("south");
const RegionId east("east");

// Three servers in each of three regions; the ingress stands in the first.
Declaration ThreeRegions() {
  Declaration declaration;
  Service service;
  service.id = ServiceId("orders");
  declaration.services.push_back(service);
  declaration.budgets.paid_link_bytes_per_second = 1000000000;
  for (const RegionId& region : {north, south, east}) {
    for (int number = 0; number < 3; ++number) {
      BackendServer server;
      server.id = BackendServerId(region.Value() + std::to_string(number));
      server.service = service.id;
      server.region = region;
      server.data_centre = DataCentreId(region.Value() + "-a");
      server.slots = kSlots;
      declaration.backend_servers.push_back(server);
    }
  }
  return declaration;
}

RoutingChoice ChooseBy(Way way, Router& router, const RoutingRequest& request, TimePoint now) {
  if (way == Way::kFromReports) return router.Choose(request, now);
  std::vector<LoadEstimate> estimates;
  for (const QueryScope scope :
       {QueryScope::kOwnDataCentre, QueryScope::kOtherDataCentresOfRegion}) {
    for (const BackendServerId& id : router.ServersToQuery(request, scope, kMaxQueried, now)) {
      estimates.push_back({id, std::chrono::milliseconds(900), way == Way::kAllRefuse});
    }
  }
  return router.ChooseAmong(request, estimates, now);
}

const std::array allowed_regions_rows{
    AllowedRegionsRow{"only the own region", {north}, Way::kFromReports, true, "", "north"},
    AllowedRegionsRow{
        "own region, estimates miss the target", {north}, Way::kFromEstimates, true, "", "north"},
    AllowedRegionsRow{"own region, all owners refuse", {north}, Way::kAllRefuse, true, "", ""},
    AllowedRegionsRow{"own region cut off", {north}, Way::kFromReports, true, "north", ""},
    AllowedRegionsRow{"only another region", {south}, Way::kFromReports, true, "", "south"},
    AllowedRegionsRow{"another region, priority stays in its own",
                      {south},
                      Way::kFromReports,
                      false,
                      "",
                      "south"},
    AllowedRegionsRow{
        "another region, asked first", {south}, Way::kFromEstimates, true, "", "south"},
    AllowedRegionsRow{"the other region cut off", {south}, Way::kFromReports, true, "south", ""},
    AllowedRegionsRow{
        "two regions, one cut off", {south, east}, Way::kFromReports, true, "south", "east"},
};

// Guards against a call that leaves the regions to which its route restricts it: on the first
// choice, after load queries, when the allowed region is overloaded and when it is cut off.
void TestAllowedRegions(const AllowedRegionsRow& row) {
  const TimePoint now = TimePoint() + std::chrono::seconds(100);
  Router router("adaptive", {BackendServerId("north0"), north, DataCentreId("north-a")}, 7);
  const auto declaration = std::make_shared<const Declaration>(ThreeRegions());
  router.SetDeclaration(declaration, now);
  for (const BackendServer& server : declaration->backend_servers) {
    router.SetReachable(server.id, server.region.Value() != row.unreachable, now);
  }
  RoutingRequest request;
  request.service = ServiceId("orders");
  request.may_cross_regions = row.may_cross_regions;
  request.allowed_regions = row.allowed;
  request.target_left = std::chrono::milliseconds(600);
  for (int call = 0; call < kCalls; ++call) {
    const RoutingChoice choice = ChooseBy(row.way, router, request, now);
    CPPUNIT_ASSERT_EQUAL(row.region.empty(), choice.refusal != Reason::kNone);
    if (row.region.empty()) continue;
    CPPUNIT_ASSERT(choice.server.Value().starts_with(row.region));
    CPPUNIT_ASSERT_EQUAL(row.region != "north", choice.crosses_regions);
  }
}

const test::TableTest<AllowedRegionsRow> allowed_regions_test("AllowedRegions",
                                                              allowed_regions_rows,
                                                              TestAllowedRegions);

}  // namespace

}  // namespace damaskhollow
