#include <cppunit/TestAssert.h>
#include <signal.h>

#include <QTcpSocket>
#include <algorithm>
#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kExitTimeout{20000};
// Log lines are written by a separate thread.
constexpr std::chrono::milliseconds kLogTimeout{5000};
// The users' bound for recovery after a disturbance.
constexpr std::chrono::milliseconds kStability{4000};
constexpr std::size_t kManyDescriptors = 512;

// How often requests with this target ran on all instances.
std::size_t CountRuns(PlatformFleet& fleet, std::string_view target) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    for (const StandInInstance::Run& run : fleet.Instance(index).Runs()) {
      count += run.target == target ? 1 : 0;
    }
  }
  return count;
}

// Guards against changing a request or its response in transit.
void ForwardsRequestAndResponse(PlatformFleet& fleet) {
  const HttpResponse response = fleet.Call(0, "POST", "/look/a?b=c", "body");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), 200, response.status);
  CPPUNIT_ASSERT(response.body.ends_with(" /look/a?b=c body"));
  CPPUNIT_ASSERT_EQUAL("seal-" + response.Header("Request-Id"), response.Header("Response-Seal"));
  const bool is_first = response.body.starts_with("i-0");
  const StandInInstance::Run& run = fleet.Instance(is_first ? 0 : 1).Runs().back();
  CPPUNIT_ASSERT_EQUAL(std::string("portal"), run.caller_service);
  CPPUNIT_ASSERT_EQUAL(std::string("body"), run.body);
}

void RefusesUnknownRoute(PlatformFleet& fleet) {
  CPPUNIT_ASSERT_EQUAL(404, fleet.Call(0, "GET", "/other/").status);
}

// Guards against a configuration change that does not take effect on all nodes.
void AppliesConfigurationChange(PlatformFleet& fleet) {
  fleet.PutConfiguration(
      2, R"(,{"name":"new","hostname":"shop.test","prefix":"/new/","routeType":"safe",)"
         R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})");
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Call(index, "GET", "/new/").status == 200; }));
  }
}

// Guards against sending new requests to a draining instance.
void AvoidsDrainingInstance(PlatformFleet& fleet) {
  fleet.PutInstance(0, "draining");
  const auto is_served_by_other = [&] {
    return fleet.Call(0, "GET", "/look/drain").body.starts_with("i-1");
  };
  CPPUNIT_ASSERT(WaitUntil([&] {
    bool all = true;
    for (int call = 0; call < 10; ++call) all = is_served_by_other() && all;
    return all;
  }));
  for (int call = 0; call < 20; ++call) CPPUNIT_ASSERT(is_served_by_other());
}

// Guards against nodes that stop serving when the store is down.
void ServesWithoutStore(PlatformFleet& fleet) {
  fleet.Store().SetMode(StandInStore::Mode::kAborting);
  for (int call = 0; call < 20; ++call) {
    CPPUNIT_ASSERT_EQUAL(200, fleet.Call(call % 2 == 0 ? 0 : 1, "GET", "/look/down").status);
  }
}

// Guards against running an unsafe request twice when its response is lost, and against a response
// that claims that it did not run.
void RunsUnsafeRequestOnce(PlatformFleet& fleet) {
  const HttpResponse response = fleet.Call(0, "POST", "/lost/x");
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), 502, response.status);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountRuns(fleet, "/lost/x"));
}

// Guards against a node that aborts requests when it is stopped, or reports ready until it exits.
void StopsWithoutAbortingRequests(PlatformFleet& fleet) {
  int answered = 0;
  for (int call = 0; call < 4; ++call) {
    fleet.Send(0, "GET", "/slow/x", [&](const HttpResponse& response) {
      answered += response.status == 200 && response.complete ? 1 : 0;
    });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return CountRuns(fleet, "/slow/x") > 0; }));
  fleet.Node(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.ReadyStatus(0) != 200; }));
  CPPUNIT_ASSERT(WaitUntil([&] { return answered == 4; }));
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitTimeout));
  CPPUNIT_ASSERT_EQUAL(0, fleet.Node(0).ExitStatus());
}

// Guards against a node that does not rejoin the fleet after it was killed and restarted.
void ServesAgainAfterKill(PlatformFleet& fleet) {
  fleet.Node(0).Kill();
  CPPUNIT_ASSERT_EQUAL(200, fleet.Call(1, "GET", "/look/beside").status);
  fleet.StartNode(0);
  CPPUNIT_ASSERT(fleet.WaitUntilServing(0));
}

// Guards against a node that starts without a configuration and answers as if no rule matched: it
// must answer 503 until it has read the configuration, and then serve.
void RefusesUntilConfigured(PlatformFleet& fleet) {
  fleet.Node(0).Kill();
  fleet.Node(1).Kill();
  fleet.Store().SetMode(StandInStore::Mode::kBusy);
  fleet.StartNode(0);
  HttpResponse response;
  CPPUNIT_ASSERT(WaitUntil([&] {
    response = fleet.Call(0, "GET", "/look/early");
    return response.status != 0;
  }));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), 503, response.status);
  fleet.Store().SetMode(StandInStore::Mode::kServing);
  CPPUNIT_ASSERT(fleet.WaitUntilServing(0));
}

// Returns the log lines of all nodes with this request id and event.
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

// Asserts that within kLogTimeout a log line with this request id and event contains all `fields`.
void AssertLogged(const PlatformFleet& fleet, std::string_view request_id, std::string_view event,
                  const std::vector<std::string>& fields) {
  const auto is_logged = [&] {
    const std::vector<std::string> lines = LinesOf(fleet, request_id, event);
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
      return std::all_of(fields.begin(), fields.end(), [&](const std::string& field) {
        return line.find(field) != std::string::npos;
      });
    });
  };
  CPPUNIT_ASSERT_MESSAGE(std::string(event) + " line expected for request " +
                             std::string(request_id) + "\n" + fleet.Output(),
                         WaitUntil(is_logged, kLogTimeout));
}

// Checks that the log leads from the id of a request whose response was lost to the cause, by the
// steps in docs/OPERATIONS.md.
void LogExplainsLostResponse(PlatformFleet& fleet) {
  const HttpResponse response = fleet.Call(0, "POST", "/lost/x");
  CPPUNIT_ASSERT_EQUAL(502, response.status);
  const std::string id = fleet.LastRequestId();
  AssertLogged(fleet, id, "dispatched", {"instance=i-", "in_flight="});
  AssertLogged(fleet, id, "attempt_failed", {"reason=backend_closed", "server=127.0.0."});
  AssertLogged(fleet, id, "call_failed", {"outcome=unknown", "status=502"});
}

// Checks that the log leads from the id of a request that was refused under overload to the cause.
// The number of failure lines per second is limited, so some refused requests have none.
void LogExplainsOverload(PlatformFleet& fleet) {
  constexpr int kFloodCalls = 600;  // 10 s of work for both instances; callers wait 3 s.
  std::vector<std::string> refused;
  int ended = 0;
  for (int call = 0; call < kFloodCalls; ++call) {
    std::string id = fleet.NextRequestId();
    fleet.Send(0, "GET", "/slow/x", [&refused, &ended, id](const HttpResponse& response) {
      ++ended;
      if (response.status == 503) refused.push_back(id);
    });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return ended == kFloodCalls; }));
  const auto logged_id = std::find_if(refused.begin(), refused.end(), [&](const std::string& id) {
    return !LinesOf(fleet, id, "owner_refused").empty() &&
           !LinesOf(fleet, id, "call_failed").empty();
  });
  CPPUNIT_ASSERT(logged_id != refused.end());
  AssertLogged(fleet, *logged_id, "owner_refused", {"reason=queue_full_time", "queued=", "limit="});
  AssertLogged(fleet, *logged_id, "call_failed", {"outcome=not-run", "status=503"});
}

// Checks that the log shows the configuration version in force for a request that it refused
// because the version has no rule for it.
void LogShowsConfigurationVersion(PlatformFleet& fleet) {
  CPPUNIT_ASSERT_EQUAL(404, fleet.Call(0, "GET", "/new/").status);
  AssertLogged(fleet, fleet.LastRequestId(), "call_failed", {"reason=no_rule", "version=1"});
}

// Guards against a node that crashes or hangs when it is stopped while it has no free descriptors.
void StopsWithoutDescriptors(PlatformFleet& fleet) {
  int answered = 0;
  fleet.Send(0, "GET", "/slow/x", [&](const HttpResponse& response) {
    answered += response.status == 200 && response.complete ? 1 : 0;
  });
  CPPUNIT_ASSERT(WaitUntil([&] { return CountRuns(fleet, "/slow/x") > 0; }));
  fleet.Node(0).TakeFreeDescriptors();
  CPPUNIT_ASSERT_EQUAL(503, fleet.Call(0, "GET", "/look/x").status);
  fleet.Node(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitTimeout));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.Output(), 0, fleet.Node(0).ExitStatus());
  CPPUNIT_ASSERT_EQUAL(1, answered);
}

// Opens connections to a node on which no request is sent.
std::vector<std::unique_ptr<QTcpSocket>> ConnectSilently(PlatformFleet& fleet, std::size_t count) {
  std::vector<std::unique_ptr<QTcpSocket>> callers;
  const Endpoint& address = fleet.OutboundAddress(0);
  for (std::size_t index = 0; index < count; ++index) {
    callers.push_back(std::make_unique<QTcpSocket>());
    callers.back()->connectToHost(QString::fromStdString(address.address), address.port);
  }
  return callers;
}

// Guards against callers that wait for their refusal behind many others, or behind some that send
// nothing, while a node has no free descriptors.
void RefusesManyCallersWithoutDescriptors(PlatformFleet& fleet) {
  constexpr std::size_t kCalls = 400;
  constexpr std::size_t kSilentCallers = 200;
  fleet.Node(0).TakeFreeDescriptors();
  const auto silent = ConnectSilently(fleet, kSilentCallers);
  const auto began = std::chrono::steady_clock::now();
  std::size_t refused = 0;
  std::size_t ended = 0;
  for (std::size_t call = 0; call < kCalls; ++call) {
    fleet.Send(0, "GET", "/look/x", [&](const HttpResponse& response) {
      ++ended;
      refused += response.status == 503 && response.complete ? 1 : 0;
    });
  }
  CPPUNIT_ASSERT(WaitUntil([&] { return ended == kCalls; }));
  CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began <= kStability);
  CPPUNIT_ASSERT_EQUAL(kCalls, refused);
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Node(0).IsRunning());
}

// Guards against idle connections that a node closes for want of descriptors when it has enough
// again: a request that its caller sends at that moment gets no answer.
void KeepsConnectionsWhenDescriptorsAreFree(PlatformFleet& fleet) {
  constexpr std::size_t kIdleCallers = 20;
  constexpr std::size_t kCalls = 10;
  // More than the interval in which a node reads its limit of descriptors.
  constexpr std::chrono::milliseconds kShortage{1500};
  const auto idle = ConnectSilently(fleet, kIdleCallers);
  const auto open = [&] {
    return std::ranges::count_if(idle, [](const std::unique_ptr<QTcpSocket>& caller) {
      return caller->state() == QAbstractSocket::ConnectedState;
    });
  };
  CPPUNIT_ASSERT(WaitUntil([&] { return open() == kIdleCallers; }));
  fleet.Node(0).TakeFreeDescriptors();
  RunFor(kShortage);
  const auto before = open();
  CPPUNIT_ASSERT(before > 0);
  fleet.Node(0).LimitDescriptors(kManyDescriptors);
  for (std::size_t call = 0; call < kCalls; ++call) {
    CPPUNIT_ASSERT_EQUAL(200, fleet.Call(0, "GET", "/look/x").status);
  }
  RunFor(kShortage);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.Output(), before, open());
}

// Guards against a node that does not end after SIGTERM because nobody reads its log.
void StopsBesideStalledLog(PlatformFleet& fleet) {
  fleet.Node(0).Kill();
  fleet.Node(0).StallOutput();
  fleet.StartNode(0);
  CPPUNIT_ASSERT(fleet.WaitUntilServing(0));
  fleet.Node(0).Signal(SIGTERM);
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitTimeout));
  CPPUNIT_ASSERT(!fleet.Node(0).EndedBySignal());
  CPPUNIT_ASSERT_EQUAL(0, fleet.Node(0).ExitStatus());
}

// Guards against an entry of another writer whose address ends every process that dials it.
void SurvivesEntryThatCannotBeDialled(PlatformFleet& fleet) {
  fleet.Store().Put("servers/i-odd",
                    R"({"service":"portal","address":"[fe80::1%a b]:80","zone":"west-1",)"
                    R"("configVersion":"v1","slots":9,"state":"ready","cold":"0ms","seq":1,)"
                    R"("born":1700000000000})");
  fleet.PutConfiguration(
      2, R"(,{"name":"new","hostname":"shop.test","prefix":"/new/","routeType":"safe",)"
         R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})");
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Call(index, "GET", "/new/").status == 200; }));
  }
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Output().find("event=entry_refused") != std::string::npos; },
                kLogTimeout));
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    CPPUNIT_ASSERT(fleet.Node(index).IsRunning());
  }
}

// Guards against a node without free descriptors that ends, leaves callers unanswered in its listen
// queue, or does not recover when it has descriptors again: QTcpServer takes the failure of
// accept() for a temporary one, and replacing a link needs a socket.
void RefusesCallersWithoutDescriptors(PlatformFleet& fleet) {
  fleet.Node(0).TakeFreeDescriptors();
  for (int call = 0; call < 20; ++call) {
    const HttpResponse response = fleet.Call(0, "GET", "/look/x");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe() + fleet.Output(), 503, response.status);
    CPPUNIT_ASSERT(!response.Header("Retry-After").empty());
  }
  fleet.Node(1).Kill();
  fleet.StartNode(1);
  RunFor(kStability);  // The link to the other node breaks, and cannot be replaced.
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Node(0).IsRunning());
  // The broken link has freed descriptors, which may suffice to serve a call.
  const HttpResponse response = fleet.Call(0, "GET", "/look/x");
  CPPUNIT_ASSERT_MESSAGE(response.Describe(),
                         response.complete && (response.status == 200 || response.status == 503));
  fleet.Node(0).LimitDescriptors(kManyDescriptors);
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.ReadyStatus(0) == 200; }, kStability));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Call(0, "GET", "/look/x").status == 200; }, kStability));
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(),
                         WaitUntil([&] { return fleet.SeesLive(0, 1); }, kStability));
}

// Guards against a node that a library aborts at its start, for want of a descriptor, without a
// line that tells why.
void RefusesToStartWithFewDescriptors(PlatformFleet& fleet) {
  constexpr std::size_t kTooFewDescriptors = 39;
  constexpr std::size_t kEnoughDescriptors = 64;
  fleet.Node(0).Kill();
  fleet.Node(0).SetDescriptorLimit(kTooFewDescriptors);
  fleet.StartNode(0);
  CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitTimeout));
  const std::string output = fleet.Node(0).Output();
  CPPUNIT_ASSERT_MESSAGE(output, !fleet.Node(0).EndedBySignal());
  CPPUNIT_ASSERT_EQUAL_MESSAGE(output, 1, fleet.Node(0).ExitStatus());
  CPPUNIT_ASSERT_MESSAGE(output, output.find("event=start_failed") != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(output, output.find("39 are allowed, at least 40") != std::string::npos);
  fleet.Node(0).SetDescriptorLimit(kEnoughDescriptors);
  fleet.StartNode(0);
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.WaitUntilServing(0));
}

struct PlatformCase {
  std::string_view name;
  void (*run)(PlatformFleet& fleet);
};

constexpr std::array kCases{
    PlatformCase{"passes request and answer on", ForwardsRequestAndResponse},
    PlatformCase{"refuses an unknown route", RefusesUnknownRoute},
    PlatformCase{"follows the configuration", AppliesConfigurationChange},
    PlatformCase{"leaves a draining instance", AvoidsDrainingInstance},
    PlatformCase{"serves without the store", ServesWithoutStore},
    PlatformCase{"runs an unsafe request once", RunsUnsafeRequestOnce},
    PlatformCase{"stops without cutting requests", StopsWithoutAbortingRequests},
    PlatformCase{"serves again after a kill", ServesAgainAfterKill},
    PlatformCase{"refuses until it has a configuration", RefusesUntilConfigured},
    PlatformCase{"refuses callers without descriptors", RefusesCallersWithoutDescriptors},
    PlatformCase{"stops without descriptors", StopsWithoutDescriptors},
    PlatformCase{"refuses many callers without descriptors", RefusesManyCallersWithoutDescriptors},
    PlatformCase{"keeps connections when descriptors are free",
                 KeepsConnectionsWhenDescriptorsAreFree},
    PlatformCase{"stops beside a stalled log", StopsBesideStalledLog},
    PlatformCase{"refuses to start with few descriptors", RefusesToStartWithFewDescriptors},
    PlatformCase{"entry that can't be dialled", SurvivesEntryThatCannotBeDialled},
    PlatformCase{"log tells a lost answer", LogExplainsLostResponse},
    PlatformCase{"log tells an overload", LogExplainsOverload},
    PlatformCase{"log tells the version in force", LogShowsConfigurationVersion},
};

// Runs processes of the platform's program against stand-ins for the metadata store and for service
// instances.
void TestPlatformProgram(const PlatformCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  row.run(fleet);
}

const TableTest<PlatformCase> registration("PlatformProgram", kCases, &TestPlatformProgram);

}  // namespace

}  // namespace damaskhollow::test
