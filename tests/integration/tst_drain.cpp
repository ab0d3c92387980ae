#include <cppunit/TestAssert.h>
#include <signal.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/loadgenerator.h"
#include "support/patternbody.h"
#include "support/rawclient.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct DrainCase {
  std::string_view name;
  bool with_platform;
  void (*leave)(Fleet&);
  bool node_exits;  // The node must exit by itself after its last call.
};

void LeaveBySignal(Fleet& fleet) { fleet.Node(1).Signal(SIGTERM); }
void LeaveByHealthStatus(Fleet& fleet) { fleet.SetBackend(1, "drain=1"); }
void LeaveByResponseHeader(Fleet& fleet) { fleet.SetBackend(1, "drain_header=1"); }
void LeaveByVmList(Fleet& fleet) { CPPUNIT_ASSERT(fleet.PutVms(2, {"s2"})); }

constexpr std::array kCases{
    DrainCase{"SIGTERM of the node", false, &LeaveBySignal, true},
    DrainCase{"drain status of the health path", false, &LeaveByHealthStatus, false},
    DrainCase{"drain header of an answer", false, &LeaveByResponseHeader, false},
    DrainCase{"VM list", true, &LeaveByVmList, false},
};

// Time after which a leaving server gets no calls any more: 3 s, plus 1 s for a busy machine.
constexpr std::chrono::milliseconds kMaxLeaveTime{4000};
constexpr std::chrono::milliseconds kLoadTime{9000};
constexpr std::chrono::milliseconds kLongCallTime{7000};
constexpr std::size_t kMaxLongCalls = 8;
constexpr double kRate = 80.0;

std::string IdOf(std::size_t call) { return "long-" + std::to_string(call); }

// How many of the short calls ran on a backend server.
int ShortCallRuns(Fleet& fleet, std::size_t server) {
  return fleet.Runs(server)["classes"].toObject()["short"].toObject()["ran"].toInt();
}

// Guards against calls that are still sent to a leaving backend server, and against calls that are
// aborted because it leaves.
void LeavesWithoutLosingCalls(const DrainCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3, 8),
               .with_platform = row.with_platform,
               .node_arguments = {"--drain-announce-ms=1000"},
               .deadline_ms = 60000,
               .hedge_share = 0.0});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  // Sends long calls until each of the two servers runs one.
  std::vector<HttpResponse> responses(kMaxLongCalls);
  std::size_t sent = 0;
  std::size_t ended = 0;
  const std::string target = "/book?bytes=100000&ms=" + std::to_string(kLongCallTime.count());
  const auto in_flight = [&](std::size_t server) {
    return fleet.Runs(server)["in_flight"].toInt();
  };
  while (sent < kMaxLongCalls && (in_flight(1) == 0 || in_flight(2) == 0)) {
    const std::size_t call = sent++;
    fleet.Send(0, MakeRequest("POST", target, {{"X-Test-Id", IdOf(call)}}),
               [&, call](const HttpResponse& response) {
                 responses[call] = response;
                 ++ended;
               });
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf(IdOf(call)).ran == 1; }));
  }
  CPPUNIT_ASSERT_MESSAGE("no long call is in flight on the leaving server", in_flight(1) > 0);

  LoadGenerator load({{.name = "short",
                       .request = MakeRequest("GET", "/read?ms=5", {{"Host", "shop.test"}}),
                       .rate_per_second = kRate,
                       .targets = {fleet.Caller(0)}}},
                     1);
  load.Start(kLoadTime);
  CPPUNIT_ASSERT(WaitUntil([&] { return ShortCallRuns(fleet, 1) > 0; }));
  row.leave(fleet);
  WaitUntil([&] { return load.IsDone(); }, kMaxLeaveTime);
  const int runs_after_leaving = ShortCallRuns(fleet, 1);
  CPPUNIT_ASSERT(WaitUntil([&] { return load.IsDone() && ended == sent; }));

  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), runs_after_leaving, ShortCallRuns(fleet, 1));
  for (std::size_t call = 0; call < sent; ++call) {
    const std::string text = responses[call].Describe();
    CPPUNIT_ASSERT_MESSAGE(text, responses[call].body == PatternBody(IdOf(call), 100000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, fleet.RunsOf(IdOf(call)).ran);
  }
  CPPUNIT_ASSERT_EQUAL(0, fleet.Runs(1)["total"].toObject()["cut"].toInt());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), load.Counts(0).sent,
                               load.Counts(0).Count("answered"));
  if (row.node_exits) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(1).WaitForExit(kWaitLimit));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Node(1).ExitStatus());
  }
}

const TableTest<DrainCase> registration("Drain", kCases, &LeavesWithoutLosingCalls);

struct LateRequestCase {
  std::string_view name;
  bool is_late;  // The second half of its body is sent after the caller port was closed.
  std::string_view deadline_ms;
  std::string_view run_ms;
  std::string_view status_line;
  int runs;
};

// The node stops 4 s after the signal at the latest.
constexpr std::array kLateRequestCases{
    LateRequestCase{"in time", false, "60000", "100", "HTTP/1.1 200", 1},
    LateRequestCase{"late, ends before the stop", true, "1000", "100", "HTTP/1.1 200", 1},
    LateRequestCase{"late, may outlast the stop", true, "60000", "30000", "HTTP/1.1 503", 0},
};

// Guards against a request of which half the body had arrived at the SIGTERM of the node, and that
// is forwarded so late that the node cuts it when it stops.
void TestLateRequest(const LateRequestCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3, 8),
               .node_arguments = {"--drain-announce-ms=1000", "--drain-timeout-ms=3000"},
               .deadline_ms = 60000,
               .hedge_share = 0.0});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  RawClient client(fleet.Caller(0));
  client.Send("POST /book?ms=" + std::string(row.run_ms) +
              " HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: late\r\nDamaskhollow-Deadline-Ms: " +
              std::string(row.deadline_ms) + "\r\nContent-Length: 8\r\n\r\nhalf");
  client.Flush();
  CPPUNIT_ASSERT(fleet.Call(0, "GET", "/read?ms=1").status == 200);
  fleet.Node(0).Signal(SIGTERM);
  if (row.is_late) {
    CPPUNIT_ASSERT(WaitUntil([&] { return !RawClient(fleet.Caller(0)).IsOpen(); }));
  }
  client.Send("rest");
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), client.WaitFor("\r\n\r\n"));
  const std::string& received = client.Received();
  CPPUNIT_ASSERT_MESSAGE(received, received.starts_with(row.status_line));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(received, row.is_late,
                               received.find("Connection: close") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(received, row.runs == 0,
                               received.find("Retry-After") != std::string::npos);
  CPPUNIT_ASSERT(client.WaitForClose());
  CPPUNIT_ASSERT_EQUAL(row.runs, fleet.RunsOf("late").ran);
  CPPUNIT_ASSERT_EQUAL(0, fleet.RunsOf("late").cut);
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kWaitLimit));
  CPPUNIT_ASSERT_EQUAL(0, fleet.Node(0).ExitStatus());
}

const TableTest<LateRequestCase> late_registration("DrainLateRequest", kLateRequestCases,
                                                   &TestLateRequest);

}  // namespace

}  // namespace damaskhollow::test
