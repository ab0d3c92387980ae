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
  std::size_t ingress;     // Node that takes the calls.
  std::size_t body_bytes;  // Of the request.
  int warm_up_calls;       // Answered before, so that the aborted call reuses a connection.
};

constexpr std::array kCases{
    AbortCase{"new connection", 0, 0, 0},
    AbortCase{"reused connection", 0, 0, 20},
    AbortCase{"reused connection through the server's own node", 1, 0, 20},
    AbortCase{"reused connection with a body", 0, 300000, 20},
};

// Guards against a non-idempotent request that is sent again because the backend server closed the
// connection after reading it, as HTTP clients do on reused connections.
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
    const HttpResponse answer = fleet.Call(row.ingress, "POST", "/book?abort=1",
                                           {{"X-Test-Id", id}}, std::string(row.body_bytes, 'x'));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), std::string("unknown"), answer.Outcome());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), 1, fleet.RunsOf(id).ran);
  }
}

const TableTest<AbortCase> registration("BackendAbort", kCases, &RunsOnce);

struct RefusalCase {
  std::string_view name;
  std::string_view refusing;  // How the other backend server is set.
};

constexpr std::array kRefusalCases{
    RefusalCase{"the other server sheds", "slots=0&queue_limit=0"},
    RefusalCase{"the other server fails", "fail=500"},
};

// Guards against a retry's refusal that tells the caller of an aborted first run "not-run".
void NeverCallsARunNotRun(const RefusalCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  fleet.SetBackend(2, row.refusing);
  constexpr int kCalls = 30;
  int ran = 0;
  for (int call = 0; call < kCalls; ++call) {
    const std::string id = "refused-" + std::to_string(call);
    const HttpResponse answer = fleet.Call(0, "GET", "/read?abort=1", {{"X-Test-Id", id}});
    if (fleet.RunsOf(id).ran == 0) continue;
    ++ran;
    CPPUNIT_ASSERT_MESSAGE(answer.Describe(), answer.Outcome() != "not-run");
  }
  CPPUNIT_ASSERT(ran > 0);
}

const TableTest<RefusalCase> refusal_registration("BackendAbortThenRefusal", kRefusalCases,
                                                  &NeverCallsARunNotRun);

}  // namespace

}  // namespace damaskhollow::test
