#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/tabletest.h"

namespace damaskhollow::test {

namespace {

struct AbortCase {
  std::string_view name;
  std::size_t ingress;     // Index of the node that receives the calls.
  std::size_t body_bytes;  // Size of the request body.
  int warm_up_calls;       // Sent first, so that the aborted call reuses a connection.
};

constexpr std::array kCases{
    AbortCase{"new connection", 0, 0, 0},
    AbortCase{"reused connection", 0, 0, 20},
    AbortCase{"reused connection through the server's own node", 1, 0, 20},
    AbortCase{"reused connection with a body", 0, 300000, 20},
};

// Guards against a non-idempotent request that is sent twice: HTTP clients commonly resend a
// request when the server closes a reused connection, but this backend server has already read it.
void RunsOnce(const AbortCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  for (int call = 0; call < row.warm_up_calls; ++call) {
    CPPUNIT_ASSERT_EQUAL(std::string("answered"),
                         fleet.Call(row.ingress, "POST", "/book?ms=0").Outcome());
  }
  constexpr int kCalls = 10;
  for (int call = 0; call < kCalls; ++call) {
    const std::string id = "abort-" + std::to_string(call);
    const HttpResponse response = fleet.Call(row.ingress, "POST", "/book?abort=1",
                                             {{"X-Test-Id", id}}, std::string(row.body_bytes, 'x'));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), std::string("unknown"), response.Outcome());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), 1, fleet.RunsOf(id).ran);
  }
}

const TableTest<AbortCase> registration("BackendAbort", kCases, &RunsOnce);

struct RefusalCase {
  std::string_view name;
  std::string_view backend_query;  // Control query that makes the other server refuse or fail.
};

constexpr std::array kRefusalCases{
    RefusalCase{"the other server sheds", "slots=0&queue_limit=0"},
    RefusalCase{"the other server fails", "fail=500"},
};

// Guards against reporting "not-run" to the caller when the first attempt ran and was aborted, and
// only the retry was refused.
void NeverReportsNotRunAfterRun(const RefusalCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  fleet.SetBackend(2, row.backend_query);
  constexpr int kCalls = 30;
  int ran = 0;
  for (int call = 0; call < kCalls; ++call) {
    const std::string id = "refused-" + std::to_string(call);
    const HttpResponse response = fleet.Call(0, "GET", "/read?abort=1", {{"X-Test-Id", id}});
    if (fleet.RunsOf(id).ran == 0) continue;
    ++ran;
    CPPUNIT_ASSERT_MESSAGE(response.Describe(), response.Outcome() != "not-run");
  }
  CPPUNIT_ASSERT(ran > 0);
}

const TableTest<RefusalCase> refusal_registration("BackendAbortThenRefusal", kRefusalCases,
                                                  &NeverReportsNotRunAfterRun);

}  // namespace

}  // namespace damaskhollow::test
