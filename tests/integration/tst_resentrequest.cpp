#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>

#include "base/time.h"
#include "support/fleet.h"
#include "support/patternbody.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// A request id that is created now.
std::string NewRequestId(std::string_view token) {
  return std::to_string(WallNow().time_since_epoch().count()) + "-" + std::string(token);
}

// The state of the first send, or of its home, when the request is sent a second time. The home is
// the node that ensures that a request id runs at most once.
enum class FirstSendState { kRunning, kAnswered, kHomeRestarted, kHomeKilled };

struct ResendCase {
  std::string_view name;
  FirstSendState first;
  std::size_t bytes;         // Size of the response body.
  std::string_view outcome;  // Of the second send.
  std::string_view reason;
  // Also accepted, as another node that is queried may give it; may be empty.
  std::string_view alternative_reason;
};

constexpr std::array kCases{
    ResendCase{"while the first runs", FirstSendState::kRunning, 100, "unknown", "already_running",
               ""},
    ResendCase{"after a small answer", FirstSendState::kAnswered, 100, "answered", "", ""},
    ResendCase{"after a large answer", FirstSendState::kAnswered, 100000, "answered", "already_ran",
               ""},
    ResendCase{"after the home restarted", FirstSendState::kHomeRestarted, 100, "unknown",
               "home_restarted", "home_released"},
    ResendCase{"while the home is gone", FirstSendState::kHomeKilled, 100, "unknown",
               "home_unreachable", "home_released"},
};

HttpResponse SendBooking(Fleet& fleet, std::size_t ingress, const std::string& id,
                         std::size_t bytes) {
  return fleet.Call(ingress, "POST", "/book?ms=0&bytes=" + std::to_string(bytes),
                    {{"X-Test-Id", id}, {"Damaskhollow-Request-Id", id}});
}

// The index of the server that ran the call.
std::size_t ServedByIndex(const HttpResponse& response) {
  return std::stoul(response.Header("Damaskhollow-Served-By").substr(1)) - 1;
}

bool IsLinkedTo(Fleet& fleet, std::size_t index, const std::string& peer) {
  const QJsonArray peers = fleet.Status(index)["linked_peers"].toArray();
  return peers.contains(QString::fromStdString(peer));
}

// Guards against a request that runs twice because its caller resends it through another node.
void RunsAtMostOnce(const ResendCase& row) {
  Fleet fleet({.servers = SmallFleet(4)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  // A home refuses request ids created before it had run for some time, so this waits until the
  // node that was started last accepts them.
  for (int call = 0; call < 8; ++call) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                             return SendBooking(fleet, 0, NewRequestId("warm"), 0).Outcome() ==
                                    "answered";
                           }));
  }
  if (row.first == FirstSendState::kRunning) fleet.SetBackends("hold=1");
  const std::string id = NewRequestId("booking");
  HttpResponse first;
  bool first_ended = false;
  fleet.Send(0,
             MakeRequest("POST", "/book?ms=0&bytes=" + std::to_string(row.bytes),
                         {{"X-Test-Id", id}, {"Damaskhollow-Request-Id", id}}),
             [&](const HttpResponse& response) {
               first = response;
               first_ended = true;
             });
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf(id).ran == 1; }));
  std::size_t ingress = 1;
  if (row.first != FirstSendState::kRunning) {
    CPPUNIT_ASSERT(WaitUntil([&] { return first_ended; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.Describe(), std::string("answered"), first.Outcome());
    const std::size_t home = ServedByIndex(first);
    if (home == ingress) ingress = 2;
    if (row.first == FirstSendState::kHomeRestarted) {
      fleet.RestartNode(home);
      CPPUNIT_ASSERT(fleet.WaitUntilReady(home));
      CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilLinked(ingress));
    }
    if (row.first == FirstSendState::kHomeKilled) {
      fleet.Node(home).Kill();
      // A request that is sent before the loss is detected stays unresolved until its deadline.
      CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                               return !IsLinkedTo(fleet, ingress, "s" + std::to_string(home + 1));
                             }));
    }
  }
  // A home whose link was just lost is reported as unreachable until the link is re-established or
  // abandoned.
  HttpResponse second;
  CPPUNIT_ASSERT_MESSAGE(
      fleet.NodeOutput(), WaitUntil([&] {
        second = SendBooking(fleet, ingress, id, row.bytes);
        const std::string reason = second.ReasonName();
        return reason != "link_unavailable" &&
               (row.first != FirstSendState::kHomeRestarted || reason != "home_unreachable");
      }));
  const std::string text = second.Describe() + fleet.NodeOutput();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, fleet.RunsOf(id).ran);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(row.outcome), second.Outcome());
  const bool is_expected_reason =
      second.ReasonName() == row.reason ||
      (!row.alternative_reason.empty() && second.ReasonName() == row.alternative_reason);
  CPPUNIT_ASSERT_MESSAGE(text, is_expected_reason);
  if (row.outcome == "answered" && row.reason.empty()) {
    CPPUNIT_ASSERT_MESSAGE(text, second.body == PatternBody(id, row.bytes));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("1"), second.Header("Damaskhollow-Replayed"));
  }
  if (row.first != FirstSendState::kRunning) return;
  fleet.SetBackends("hold=0");
  CPPUNIT_ASSERT(WaitUntil([&] { return first_ended; }));
  CPPUNIT_ASSERT_MESSAGE(first.Describe(), first.body == PatternBody(id, row.bytes));
}

const TableTest<ResendCase> registration("ResentRequest", kCases, &RunsAtMostOnce);

struct InvalidIdCase {
  std::string_view name;
  std::string_view id;
};

constexpr std::array kInvalidIds{
    InvalidIdCase{"no time", "abc"},
    InvalidIdCase{"far future", "99999999999999-booking"},
};

// Guards against accepting a request id whose creation time is missing or invalid: a home cannot
// decide whether such a request may already have run.
void RefusesInvalidId(const InvalidIdCase& row) {
  Fleet fleet({.servers = SmallFleet(1)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  const HttpResponse response = SendBooking(fleet, 0, std::string(row.id), 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(response.Describe(), std::string("request_id_invalid"),
                               response.ReasonName());
  CPPUNIT_ASSERT_EQUAL(0, fleet.RunsOf(row.id).ran);
}

const TableTest<InvalidIdCase> invalid_registration("InvalidRequestId", kInvalidIds,
                                                    &RefusesInvalidId);

}  // namespace

}  // namespace damaskhollow::test
