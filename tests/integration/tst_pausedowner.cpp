#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/suspendedclock.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct PauseCase {
  std::string_view name;
  bool queue_before_pause;  // Otherwise the requests are sent while the owner is paused.
  std::string_view method;
  std::string_view path;
  bool is_suspended = false;  // The steady clock does not count the pause.
};

constexpr std::array kCases{
    PauseCase{"queued before the pause", true, "POST", "/book"},
    PauseCase{"idempotent, queued before the pause", true, "GET", "/read"},
    PauseCase{"sent during the pause", false, "POST", "/book"},
    PauseCase{"idempotent, sent during the pause", false, "GET", "/read"},
    PauseCase{"queued before the suspension", true, "POST", "/book", true},
    PauseCase{"idempotent, queued before the suspension", true, "GET", "/read", true},
    PauseCase{"sent during the suspension", false, "POST", "/book", true},
    PauseCase{"idempotent, sent during the suspension", false, "GET", "/read", true},
};

constexpr std::size_t kCalls = 5;
constexpr std::chrono::milliseconds kShortDeadline{1500};

std::string IdOf(std::size_t call) { return "paused-" + std::to_string(call); }

// Restarts the owner so that its steady clock does not count pauses.
void RestartWith(SuspendedClock& clock, Fleet& fleet) {
  clock.BeginStarts();
  fleet.RestartNode(1);
  clock.EndStarts();
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilReady(1) && fleet.WaitUntilLinked(0) &&
                                                 fleet.WaitUntilLinked(1) &&
                                                 fleet.WaitUntilAllServe());
}

// Guards against an owner that, after a pause of its process or a suspension of its machine, runs
// requests whose deadline has passed and whose callers have already received a failure.
void RunsNoExpiredWork(const PauseCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(2, 1), .deadline_ms = 60000});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  SuspendedClock clock;
  if (row.is_suspended) RestartWith(clock, fleet);
  fleet.SetBackend(1, "hold=1");
  // Occupies the only slot until the backend server stops holding calls.
  bool blocker_ended = false;
  fleet.Send(0, MakeRequest("GET", "/page?ms=0", {{"X-Test-Id", "blocker"}}),
             [&](const HttpResponse&) { blocker_ended = true; });
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("blocker").ran == 1; }));

  if (!row.queue_before_pause) clock.Suspend(fleet.Node(1));
  std::array<HttpResponse, kCalls> responses;
  std::size_t ended = 0;
  for (std::size_t call = 0; call < kCalls; ++call) {
    const HttpRequest request =
        MakeRequest(row.method, std::string(row.path) + "?ms=0",
                    {{"X-Test-Id", IdOf(call)},
                     {"Damaskhollow-Deadline-Ms", std::to_string(kShortDeadline.count())}});
    fleet.Send(0, request, [&, call](const HttpResponse& response) {
      responses[call] = response;
      ++ended;
    });
  }
  if (row.queue_before_pause) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                             return fleet.Status(1)["queued"].toInt() == static_cast<int>(kCalls);
                           }));
    clock.Suspend(fleet.Node(1));
  }
  const auto all_sent = std::chrono::steady_clock::now();
  const bool all_ended = WaitUntil([&] {
    return ended == kCalls && std::chrono::steady_clock::now() > all_sent + kShortDeadline;
  });
  clock.Resume(fleet.Node(1));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), all_ended);
  fleet.SetBackend(1, "hold=0");

  CPPUNIT_ASSERT(WaitUntil([&] { return blocker_ended; }));
  // Once the owner serves again and its queue is empty, no expired request can run any more.
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                           return fleet.Call(0, "GET", "/read").Outcome() == "answered" &&
                                  fleet.Status(1)["queued"].toInt() == 0;
                         }));
  for (std::size_t call = 0; call < kCalls; ++call) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(responses[call].Describe(), 0, fleet.RunsOf(IdOf(call)).ran);
    CPPUNIT_ASSERT_MESSAGE(responses[call].Describe(), responses[call].Outcome() != "answered");
  }
  CPPUNIT_ASSERT_EQUAL(1, fleet.RunsOf("blocker").ran);
}

const TableTest<PauseCase> registration("PausedOwner", kCases, &RunsNoExpiredWork);

}  // namespace

}  // namespace damaskhollow::test
