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
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct DrainCase {
  std::string_view name;
  bool with_platform;
  void (*leave)(Fleet&);
  bool node_ends;  // The node must end by itself after its last call.
};

void LeaveBySignal(Fleet& fleet) { fleet.Node(1).Signal(SIGTERM); }
void LeaveByHealthStatus(Fleet& fleet) { fleet.SetBackend(1, "drain=1"); }
void LeaveByAnswerHeader(Fleet& fleet) { fleet.SetBackend(1, "drain_header=1"); }
void LeaveByVmList(Fleet& fleet) { CPPUNIT_ASSERT(fleet.PutVms(2, {"s2"})); }

constexpr std::array kCases{
    DrainCase{"SIGTERM of the node", false, &LeaveBySignal, true},
    DrainCase{"drain status of the health path", false, &LeaveByHealthStatus, false},
    DrainCase{"drain header of an answer", false, &LeaveByAnswerHeader, false},
    DrainCase{"VM list", true, &LeaveByVmList, false},
};

// The promise is 3 s; the rest covers a busy machine.
constexpr std::chrono::milliseconds kLeaveTime{4000};
constexpr std::chrono::milliseconds kLoadTime{9000};
constexpr std::chrono::milliseconds kLongCallTime{7000};
constexpr std::size_t kMostLongCalls = 8;
constexpr double kRate = 80.0;

std::string IdOf(std::size_t call) { return "long-" + std::to_string(call); }

int RunsOfClass(Fleet& fleet, std::size_t server) {
  return fleet.Runs(server)["classes"].toObject()["short"].toObject()["ran"].toInt();
}

// Guards against work that still goes to a leaving backend server, and against calls that its
// leaving cuts.
void LeavesWithoutLoss(const DrainCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(3, 8),
               .with_platform = row.with_platform,
               .node_arguments = {"--drain-announce-ms=1000"},
               .deadline_ms = 60000,
               .hedge_share = 0.0});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  // The long calls: sent until each of the two servers has one.
  std::vector<HttpResponse> answers(kMostLongCalls);
  std::size_t sent = 0;
  std::size_t ended = 0;
  const std::string target = "/book?bytes=100000&ms=" + std::to_string(kLongCallTime.count());
  const auto in_flight = [&](std::size_t server) {
    return fleet.Runs(server)["in_flight"].toInt();
  };
  while (sent < kMostLongCalls && (in_flight(1) == 0 || in_flight(2) == 0)) {
    const std::size_t call = sent++;
    fleet.Send(0, MakeRequest("POST", target, {{"X-Test-Id", IdOf(call)}}),
               [&, call](const HttpResponse& answer) {
                 answers[call] = answer;
                 ++ended;
               });
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf(IdOf(call)).ran == 1; }));
  }
  CPPUNIT_ASSERT_MESSAGE("a long call runs on the leaving server", in_flight(1) > 0);

  LoadGenerator load({{.name = "short",
                       .request = MakeRequest("GET", "/read?ms=5", {{"Host", "shop.test"}}),
                       .rate_per_second = kRate,
                       .targets = {fleet.Caller(0)}}},
                     1);
  load.Start(kLoadTime);
  CPPUNIT_ASSERT(WaitUntil([&] { return RunsOfClass(fleet, 1) > 0; }));
  row.leave(fleet);
  WaitUntil([&] { return load.IsDone(); }, kLeaveTime);
  const int ran_by_then = RunsOfClass(fleet, 1);
  CPPUNIT_ASSERT(WaitUntil([&] { return load.IsDone() && ended == sent; }));

  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), ran_by_then, RunsOfClass(fleet, 1));
  for (std::size_t call = 0; call < sent; ++call) {
    const std::string text = answers[call].Describe();
    CPPUNIT_ASSERT_MESSAGE(text, answers[call].body == PatternBody(IdOf(call), 100000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, fleet.RunsOf(IdOf(call)).ran);
  }
  CPPUNIT_ASSERT_EQUAL(0, fleet.Runs(1)["total"].toObject()["cut"].toInt());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), load.Counts(0).sent,
                               load.Counts(0).Count("answered"));
  if (row.node_ends) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(1).WaitForExit(kWaitLimit));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Node(1).ExitStatus());
  }
}

const TableTest<DrainCase> registration("Drain", kCases, &LeavesWithoutLoss);

}  // namespace

}  // namespace damaskhollow::test
