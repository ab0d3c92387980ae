#include <cppunit/TestAssert.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kExitLimit{20000};
constexpr std::chrono::milliseconds kLogLimit{5000};  // Lines are written by a thread of their own.

std::size_t RunsOf(PlatformFleet& fleet, std::string_view target) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    for (const StandInInstance::Run& run : fleet.Instance(index).Runs()) {
      count += run.target == target ? 1 : 0;
    }
  }
  return count;
}

// Guards against a request that is changed on its way, or an answer that is.
void PassesRequestAndAnswerOn(PlatformFleet& fleet) {
  const HttpResponse answer = fleet.Call(0, "POST", "/look/a?b=c", "body");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), 200, answer.status);
  CPPUNIT_ASSERT(answer.body.ends_with(" /look/a?b=c body"));
  CPPUNIT_ASSERT_EQUAL("seal-" + answer.Header("Request-Id"), answer.Header("Response-Seal"));
  const bool is_first = answer.body.starts_with("i-0");
  const StandInInstance::Run& run = fleet.Instance(is_first ? 0 : 1).Runs().back();
  CPPUNIT_ASSERT_EQUAL(std::string("portal"), run.caller_service);
  CPPUNIT_ASSERT_EQUAL(std::string("body"), run.body);
}

void RefusesUnknownRoute(PlatformFleet& fleet) {
  CPPUNIT_ASSERT_EQUAL(404, fleet.Call(0, "GET", "/other/").status);
}

// Guards against a change of the configuration that does not take effect on all nodes.
void FollowsConfiguration(PlatformFleet& fleet) {
  fleet.PutConfiguration(
      2, R"(,{"name":"new","hostname":"shop.test","prefix":"/new/","routeType":"safe",)"
         R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})");
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Call(index, "GET", "/new/").status == 200; }));
  }
}

// Guards against new work for an instance that leaves.
void LeavesDrainingInstance(PlatformFleet& fleet) {
  fleet.PutInstance(0, "draining");
  const auto goes_to_other = [&] {
    return fleet.Call(0, "GET", "/look/drain").body.starts_with("i-1");
  };
  CPPUNIT_ASSERT(WaitUntil([&] {
    bool all = true;
    for (int call = 0; call < 10; ++call) all = goes_to_other() && all;
    return all;
  }));
  for (int call = 0; call < 20; ++call) CPPUNIT_ASSERT(goes_to_other());
}

// Guards against a store that takes the nodes with it when it goes down.
void ServesWithoutStore(PlatformFleet& fleet) {
  fleet.Store().SetMode(StandInStore::Mode::kAborting);
  for (int call = 0; call < 20; ++call) {
    CPPUNIT_ASSERT_EQUAL(200, fleet.Call(call % 2 == 0 ? 0 : 1, "GET", "/look/down").status);
  }
}

// Guards against a second run of a request that must not run twice, and a refusal that says that it
// did not run.
void RunsUnsafeRequestOnce(PlatformFleet& fleet) {
  const HttpResponse answer = fleet.Call(0, "POST", "/lost/x");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), 502, answer.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsOf(fleet, "/lost/x"));
}

// Guards against a node that cuts requests when it is stopped, or takes new callers until the end.
void StopsWithoutCutting(PlatformFleet& fleet) {
  int answered = 0;
  for (int call = 0; call < 4; ++call) {
    fleet.Send(0, "GET", "/slow/x", [&](const HttpResponse& answer) {
      answered += answer.status == 200 && answer.complete ? 1 : 0;
    });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return RunsOf(fleet, "/slow/x") > 0; }));
  fleet.Node(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.ReadyStatus(0) != 200; }));
  CPPUNIT_ASSERT(WaitUntil([&] { return answered == 4; }));
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitLimit));
  CPPUNIT_ASSERT_EQUAL(0, fleet.Node(0).ExitStatus());
}

// Guards against a node that does not find its place again after its loss.
void ServesAgainAfterKill(PlatformFleet& fleet) {
  fleet.Node(0).Kill();
  CPPUNIT_ASSERT_EQUAL(200, fleet.Call(1, "GET", "/look/beside").status);
  fleet.StartNode(0);
  CPPUNIT_ASSERT(fleet.WaitUntilServing(0));
}

// Guards against a start without a configuration that refuses what the configuration allows.
void RefusesUntilConfigured(PlatformFleet& fleet) {
  fleet.Node(0).Kill();
  fleet.Node(1).Kill();
  fleet.Store().SetMode(StandInStore::Mode::kBusy);
  fleet.StartNode(0);
  HttpResponse answer;
  CPPUNIT_ASSERT(WaitUntil([&] {
    answer = fleet.Call(0, "GET", "/look/early");
    return answer.status != 0;
  }));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), 503, answer.status);
  fleet.Store().SetMode(StandInStore::Mode::kServing);
  CPPUNIT_ASSERT(fleet.WaitUntilServing(0));
}

// The lines of one request in all nodes' output that have the event.
std::vector<std::string> LinesOf(const PlatformFleet& fleet, std::string_view request_id,
                                 std::string_view event) {
  std::vector<std::string> lines;
  std::istringstream output(fleet.Output());
  const std::string request = " request=" + std::string(request_id) + " ";
  for (std::string line; std::getline(output, line);) {
    const bool is_event = line.find("event=" + std::string(event) + " ") != std::string::npos;
    if (is_event && line.find(request) != std::string::npos) lines.push_back(line);
  }
  return lines;
}

// Waits until the log names the cause of a failed request: each of `facts` in one line of `event`.
void AssertLogged(const PlatformFleet& fleet, std::string_view request_id, std::string_view event,
                  const std::vector<std::string>& facts) {
  const auto is_logged = [&] {
    const std::vector<std::string> lines = LinesOf(fleet, request_id, event);
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
      return std::all_of(facts.begin(), facts.end(), [&](const std::string& fact) {
        return line.find(fact) != std::string::npos;
      });
    });
  };
  CPPUNIT_ASSERT_MESSAGE(
      std::string(event) + " of " + std::string(request_id) + "\n" + fleet.Output(),
      WaitUntil(is_logged, kLogLimit));
}

// From the id of a request that lost its answer to the cause, as docs/OPERATIONS.md shows it.
void LogTellsLostAnswer(PlatformFleet& fleet) {
  const HttpResponse answer = fleet.Call(0, "POST", "/lost/x");
  CPPUNIT_ASSERT_EQUAL(502, answer.status);
  const std::string id = fleet.LastRequestId();
  AssertLogged(fleet, id, "dispatched", {"instance=i-", "in_flight="});
  AssertLogged(fleet, id, "attempt_failed", {"reason=backend_closed", "server=127.0.0."});
  AssertLogged(fleet, id, "call_failed", {"outcome=unknown", "status=502"});
}

// From the id of a request that was refused under load to the cause. In a flood the lines on
// failures are bounded, so some of the refused requests have none.
void LogTellsOverload(PlatformFleet& fleet) {
  constexpr int kFlood = 600;  // Ten seconds of work for both instances; callers wait three.
  std::vector<std::string> refused;
  int ended = 0;
  for (int call = 0; call < kFlood; ++call) {
    std::string id = fleet.NextRequestId();
    fleet.Send(0, "GET", "/slow/x", [&refused, &ended, id](const HttpResponse& answer) {
      ++ended;
      if (answer.status == 503) refused.push_back(id);
    });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return ended == kFlood; }));
  const auto told = std::find_if(refused.begin(), refused.end(), [&](const std::string& id) {
    return !LinesOf(fleet, id, "owner_refused").empty() &&
           !LinesOf(fleet, id, "call_failed").empty();
  });
  CPPUNIT_ASSERT(told != refused.end());
  AssertLogged(fleet, *told, "owner_refused", {"reason=queue_full_time", "queued=", "limit="});
  AssertLogged(fleet, *told, "call_failed", {"outcome=not-run", "status=503"});
}

// From the id of a request that an old configuration refused to the version in force.
void LogTellsVersion(PlatformFleet& fleet) {
  CPPUNIT_ASSERT_EQUAL(404, fleet.Call(0, "GET", "/new/").status);
  AssertLogged(fleet, fleet.LastRequestId(), "call_failed", {"reason=no_rule", "version=1"});
}

struct PlatformCase {
  std::string_view name;
  void (*run)(PlatformFleet& fleet);
};

constexpr std::array kCases{
    PlatformCase{"passes request and answer on", PassesRequestAndAnswerOn},
    PlatformCase{"refuses an unknown route", RefusesUnknownRoute},
    PlatformCase{"follows the configuration", FollowsConfiguration},
    PlatformCase{"leaves a draining instance", LeavesDrainingInstance},
    PlatformCase{"serves without the store", ServesWithoutStore},
    PlatformCase{"runs an unsafe request once", RunsUnsafeRequestOnce},
    PlatformCase{"stops without cutting requests", StopsWithoutCutting},
    PlatformCase{"serves again after a kill", ServesAgainAfterKill},
    PlatformCase{"refuses until it has a configuration", RefusesUntilConfigured},
    PlatformCase{"log tells a lost answer", LogTellsLostAnswer},
    PlatformCase{"log tells an overload", LogTellsOverload},
    PlatformCase{"log tells the version in force", LogTellsVersion},
};

// The whole program for the users' platform against stand-ins of the store and of instances.
void TestPlatformProgram(const PlatformCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  row.run(fleet);
}

const TableTest<PlatformCase> registration("PlatformProgram", kCases, &TestPlatformProgram);

}  // namespace

}  // namespace damaskhollow::test
