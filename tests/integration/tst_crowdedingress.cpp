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

// The connections that use up a node's limit of caller connections.
struct CrowdCase {
  std::string_view name;
  std::string_view request;  // Sent on each of these connections; empty: nothing is sent.
};

constexpr std::array kCases{
    CrowdCase{
        "bulk calls that take long",
        "GET /bulk?ms=3000 HTTP/1.1\r\nHost: shop.test\r\nDamaskhollow-Service: shop\r\n\r\n"},
    CrowdCase{"idle connections", ""},
};

// Guards against a node that cannot accept an urgent caller's connection because less urgent calls
// or idle connections use up the limit of caller connections.
void UrgentCallIsAccepted(const CrowdCase& row) {
  constexpr std::size_t kLimit = 40;
  Fleet fleet({.servers = SmallFleet(1),
               .node_arguments = {"--caller-connections=" + std::to_string(kLimit)}});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  constexpr std::string_view kAccepted = "damaskhollow_calls_accepted_total";
  constexpr std::string_view kOverloaded =
      "damaskhollow_refusals_total{reason=\"ingress_overloaded\"}";
  const bool has_calls = !row.request.empty();
  const double accepted_before = fleet.Metric(0, kAccepted);
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t count = 1; count <= kLimit + 2; ++count) {
    crowd.push_back(std::make_unique<RawClient>(fleet.Caller(0)));
    crowd.back()->Send(row.request);
    // A connection whose request has not been read yet may be closed in favour of the next one.
    const auto is_read = [&] {
      return fleet.Metric(0, kAccepted) >= accepted_before + static_cast<double>(count);
    };
    CPPUNIT_ASSERT(!has_calls || WaitUntil(is_read));
  }
  CPPUNIT_ASSERT(!has_calls || WaitUntil([&] { return fleet.Metric(0, kOverloaded) > 0; }));
  const HttpResponse response = fleet.Call(0, "GET", "/read");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), std::string("answered"), response.Outcome());
}

const TableTest<CrowdCase> registration("CrowdedIngress", kCases, &UrgentCallIsAccepted);

}  // namespace

}  // namespace damaskhollow::test
