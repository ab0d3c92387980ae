#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/fleet.h"
#include "support/patternbody.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct MixedCase {
  std::string_view name;
  std::uint64_t seed;
  std::string_view peer_faults;
  std::string_view backend_faults;
  bool hold_links;  // Messages on links are repeatedly held back and released late.
};

constexpr std::array kCases{
    MixedCase{"delayed links", 1, "delay_ms=20", "delay_ms=2", false},
    MixedCase{"links that deliver late in bursts", 2, "delay_ms=5", "delay_ms=0", true},
};

constexpr std::size_t kCalls = 150;
constexpr std::array<std::size_t, 8> kSizes{0, 1, 100, 5000, 65536, 65537, 300000, 2000000};
constexpr int kMaxServiceMs = 60;
// Shorter than the time after which a link is treated as silent.
constexpr std::chrono::milliseconds kHoldTime{100};

std::string IdOf(std::size_t call) { return "mixed-" + std::to_string(call); }

// Guards against callers that receive the response of another call, or a truncated one, when many
// responses are in transit at once and arrive late.
void EachCallerGetsItsOwnResponse(const MixedCase& row) {
  Fleet fleet({.servers = SmallFleet(3, 8),
               .proxy_peers = true,
               .proxy_backends = true,
               .priorities = R"([{"id": "urgent", "rank": 0, "target_ms": 60000,
                 "guaranteed_share": 0.3, "may_cross_regions": true},
                 {"id": "normal", "rank": 1, "target_ms": 60000, "guaranteed_share": 0.3,
                 "may_cross_regions": true},
                 {"id": "bulk", "rank": 2, "target_ms": 60000, "guaranteed_share": 0.2,
                 "may_cross_regions": false}])",
               .deadline_ms = 60000});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  for (std::size_t from = 0; from < fleet.Size(); ++from) {
    fleet.SetBackendLink(from, row.backend_faults);
    for (std::size_t to = 0; to < fleet.Size(); ++to) fleet.SetPeerLink(from, to, row.peer_faults);
  }
  RandomSource random(row.seed);
  std::vector<std::size_t> sizes;
  std::vector<HttpResponse> responses(kCalls);
  std::size_t ended = 0;
  for (std::size_t call = 0; call < kCalls; ++call) {
    sizes.push_back(kSizes[random.Below(kSizes.size())]);
    const bool is_chunked = random.Below(2) == 0;
    const std::string target = (random.Below(2) == 0 ? "/read" : "/page") +
                               ("?ms=" + std::to_string(random.Below(kMaxServiceMs))) +
                               "&bytes=" + std::to_string(sizes.back()) +
                               (is_chunked ? "&chunked=1" : "");
    fleet.Send(random.Below(fleet.Size()), MakeRequest("GET", target, {{"X-Test-Id", IdOf(call)}}),
               [&, call](const HttpResponse& response) {
                 responses[call] = response;
                 ++ended;
               });
  }
  while (row.hold_links && ended < kCalls) {
    const std::size_t first = random.Below(fleet.Size());
    const std::size_t second = (first + 1) % fleet.Size();
    fleet.SetPeerLinks(first, second, "hold=both");
    WaitUntil([&] { return ended == kCalls; }, kHoldTime);
    fleet.SetPeerLinks(first, second, "hold=none");
  }
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] { return ended == kCalls; }));
  for (std::size_t call = 0; call < kCalls; ++call) {
    const std::string text = IdOf(call) + ": " + responses[call].Describe();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("answered"), responses[call].Outcome());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, IdOf(call), responses[call].Header("X-Test-Id"));
    CPPUNIT_ASSERT_MESSAGE(text, responses[call].body == PatternBody(IdOf(call), sizes[call]));
  }
}

const TableTest<MixedCase> registration("MixedAnswers", kCases, &EachCallerGetsItsOwnResponse);

}  // namespace

}  // namespace damaskhollow::test
