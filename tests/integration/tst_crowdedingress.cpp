#include <cppunit/TestAssert.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/rawclient.h"
#include "support/tabletest.h"

namespace damaskhollow::test {

namespace {

// What fills the caller connections of a node.
struct CrowdCase {
  std::string_view name;
  std::string_view request;  // Sent on each connection of the crowd; empty for none.
};

constexpr std::array kCases{
    CrowdCase{
        "bulk calls that take long",
        "GET /bulk?ms=3000 HTTP/1.1\r\nHost: shop.test\r\nDamaskhollow-Service: shop\r\n\r\n"},
    CrowdCase{"idle connections", ""},
};

// Guards against a node whose caller connections are all taken by less urgent work, so that an
// urgent caller cannot even connect.
void UrgentCallGetsIn(const CrowdCase& row) {
  constexpr std::size_t kLimit = 40;
  Fleet fleet({.servers = SmallFleet(1),
               .node_arguments = {"--caller-connections=" + std::to_string(kLimit)}});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  constexpr std::string_view kAccepted = "damaskhollow_calls_accepted_total";
  constexpr std::string_view kOverloaded =
      "damaskhollow_refusals_total{reason=\"ingress_overloaded\"}";
  const bool has_calls = !row.request.empty();
  const double before = fleet.Metric(0, kAccepted);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t count = 1; count <= kLimit + 2; ++count) {
    crowd.push_back(std::make_unique<RawClient>(fleet.Caller(0)));
    crowd.back()->Send(row.request);
    // Connections without a request that was read would give way to the next ones.
    const auto is_read = [&] {
      return fleet.Metric(0, kAccepted) >= before + static_cast<double>(count);
    };
    CPPUNIT_ASSERT(!has_calls || WaitUntil(is_read));
  }
  CPPUNIT_ASSERT(!has_calls || WaitUntil([&] { return fleet.Metric(0, kOverloaded) > 0; }));
  const HttpResponse answer = fleet.Call(0, "GET", "/read");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), std::string("answered"), answer.Outcome());
}

const TableTest<CrowdCase> registration("CrowdedIngress", kCases, &UrgentCallGetsIn);

}  // namespace

}  // namespace damaskhollow::test
