#include <cppunit/TestAssert.h>

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

constexpr std::size_t kCalls = 4;
constexpr std::string_view kTarget = "/order/x";

struct LeavingCase {
  std::string_view name;
  std::size_t ingress;  // The node that the calls are sent to; they wait at node 0.
  void (*leave)(PlatformFleet&);
  bool other_stays;  // Instance 1 can take the calls.
  int status;        // Of the responses.
};

void ReportDraining(PlatformFleet& fleet) { fleet.PutInstance(0, "draining"); }
void RemoveEntry(PlatformFleet& fleet) { fleet.DeleteInstance(0); }

constexpr std::array kCases{
    LeavingCase{"reports draining", 0, &ReportDraining, true, 200},
    LeavingCase{"reports draining, calls of another node", 1, &ReportDraining, true, 200},
    LeavingCase{"entry is removed", 0, &RemoveEntry, true, 200},
    LeavingCase{"reports draining as the last one of its service", 0, &ReportDraining, false, 503},
    LeavingCase{"entry of the last one of its service is removed", 1, &RemoveEntry, false, 503},
};

// Guards against calls that wait beside an instance that leaves and are handed to it later, when it
// may exit before they are answered.
void HandsOnWaitingCalls(const LeavingCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.FillSlots(0));
  const int queued_before = fleet.QueuedCalls(0);
  std::vector<HttpResponse> responses;
  for (std::size_t call = 0; call < kCalls; ++call) {
    fleet.Send(row.ingress, "POST", kTarget,
               [&](const HttpResponse& response) { responses.push_back(response); });
  }
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), WaitUntil([&] {
                           return fleet.QueuedCalls(0) == queued_before + static_cast<int>(kCalls);
                         }));
  const std::size_t running = fleet.CountRuns(0, "/hold/slot");
  if (row.other_stays) {
    fleet.PutInstance(1);
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.SeesLive(row.ingress, 1); }));
  }
  row.leave(fleet);
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), WaitUntil([&] { return responses.size() == kCalls; }));
  for (const HttpResponse& response : responses) {
    const std::string text = response.Describe() + "\n" + fleet.Output();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, row.status, response.status);
    CPPUNIT_ASSERT_MESSAGE(text, response.complete);
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.CountRuns(0, kTarget));
  CPPUNIT_ASSERT_EQUAL(row.other_stays ? kCalls : std::size_t{0}, fleet.CountRuns(1, kTarget));
  CPPUNIT_ASSERT_EQUAL(running, fleet.CountRuns(0, "/hold/slot"));
}

const TableTest<LeavingCase> registration("LeavingInstance", kCases, &HandsOnWaitingCalls);

}  // namespace

}  // namespace damaskhollow::test
