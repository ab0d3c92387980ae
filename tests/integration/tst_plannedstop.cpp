#include <cppunit/TestAssert.h>
#include <signal.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kExitTimeout{20000};
constexpr std::size_t kCalls = 4;
constexpr std::string_view kRunningTarget = "/hold/x";

struct StopCase {
  std::string_view name;
  std::size_t ingress;  // The node that the calls are sent to.
  std::size_t owner;    // The node beside the instance that they wait for.
  std::size_t stopped;  // The node that is stopped.
  bool owner_is_suspended;
  std::string_view target;
  int status;  // Of the responses.
};

constexpr std::array kCases{
    StopCase{"calls wait at another node", 0, 1, 0, false, "/order/x", 503},
    StopCase{"calls wait at a node that does not reply", 0, 1, 0, true, "/order/x", 502},
    StopCase{"calls wait at the stopped node itself", 0, 0, 0, false, "/order/x", 503},
    StopCase{"calls of another node wait at the stopped node", 1, 0, 0, false, "/order/x", 503},
    StopCase{"calls run beside another node", 0, 1, 0, false, kRunningTarget, 502},
};

// Guards against a node that is stopped and closes the connections of its callers without an
// answer: calls that wait for a slot must be refused as not run, and the others answered as
// unknown.
void AnswersAllCallsBeforeItStops(const StopCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  const bool waits = row.target != kRunningTarget;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(),
                         waits ? fleet.FillSlots(row.owner) : fleet.LeaveTo(row.owner));
  const int queued_before = fleet.QueuedCalls(row.owner);
  std::vector<HttpResponse> responses;
  for (std::size_t call = 0; call < kCalls; ++call) {
    fleet.Send(row.ingress, waits ? "POST" : "GET", row.target,
               [&](const HttpResponse& response) { responses.push_back(response); });
  }
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), WaitUntil([&] {
                           const int queued = fleet.QueuedCalls(row.owner) - queued_before;
                           return waits ? queued == static_cast<int>(kCalls)
                                        : fleet.CountRuns(row.owner, row.target) == kCalls;
                         }));
  if (row.owner_is_suspended) fleet.Node(row.owner).Signal(SIGSTOP);
  fleet.Node(row.stopped).Signal(SIGTERM);
  CPPUNIT_ASSERT(fleet.Node(row.stopped).WaitForExit(kExitTimeout));
  CPPUNIT_ASSERT(WaitUntil([&] { return responses.size() == kCalls; }));
  for (const HttpResponse& response : responses) {
    const std::string text = response.Describe() + "\n" + fleet.Output();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, row.status, response.status);
    CPPUNIT_ASSERT_MESSAGE(text, response.complete);
  }
  CPPUNIT_ASSERT_EQUAL(waits ? std::size_t{0} : kCalls, fleet.CountRuns(row.owner, row.target));
}

const TableTest<StopCase> registration("PlannedStop", kCases, &AnswersAllCallsBeforeItStops);

}  // namespace

}  // namespace damaskhollow::test
