#include <cppunit/TestAssert.h>
#include <signal.h>

#include <QTimer>
#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// Calls begin shortly before the node closes its listener, 1 s after SIGTERM.
constexpr std::chrono::milliseconds kBeforeClosing{850};
constexpr std::chrono::milliseconds kCallInterval{1};
constexpr std::size_t kStops = 4;
constexpr int kCallsPerInterval = 3;
constexpr std::chrono::milliseconds kExitTimeout{20000};

struct ClosingCase {
  std::string_view name;
  std::string_view target;
  bool has_descriptors = true;  // While the port is closed.
};

constexpr std::array kCases{ClosingCase{"safe calls", "/look/x"},
                            ClosingCase{"unsafe calls", "/order/x"},
                            ClosingCase{"no free descriptors", "/order/x", false}};

// Guards against a node that stops and resets connections that it or its kernel has accepted: their
// callers cannot know whether the request ran. Each call on a fresh connection must be refused a
// connection or be answered.
void AnswersFreshConnections(const ClosingCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  fleet.PutConfiguration(
      2, R"(,{"name":"order","hostname":"shop.test","prefix":"/order/","routeType":"unsafe",)"
         R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})");
  std::size_t sent = 0;
  std::size_t ended = 0;
  std::size_t lost = 0;
  std::size_t answered = 0;
  for (std::size_t stop = 0; stop < kStops; ++stop) {
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Call(0, "POST", "/order/x").status == 200; }));
    fleet.Node(0).Signal(SIGTERM);
    RunFor(kBeforeClosing);
    if (!row.has_descriptors) fleet.Node(0).TakeFreeDescriptors();
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
      for (int call = 0; call < kCallsPerInterval; ++call) {
        ++sent;
        fleet.Send(0, "POST", row.target, [&](const HttpResponse& response) {
          ++ended;
          answered += response.complete ? 1 : 0;
          lost += !response.complete && response.failure != Reason::kBackendUnreachable ? 1 : 0;
        });
      }
    });
    timer.start(kCallInterval);
    CPPUNIT_ASSERT(fleet.Node(0).WaitForExit(kExitTimeout));
    timer.stop();
    CPPUNIT_ASSERT(WaitUntil([&] { return ended == sent; }));
    fleet.StartNode(0);
  }
  const std::string text = std::to_string(lost) + " of " + std::to_string(sent) +
                           " calls without an answer, " + std::to_string(answered) + " answered";
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, lost);
  CPPUNIT_ASSERT_MESSAGE(text, answered > 0);
}

const TableTest<ClosingCase> registration("ClosingListener", kCases, &AnswersFreshConnections);

}  // namespace

}  // namespace damaskhollow::test
