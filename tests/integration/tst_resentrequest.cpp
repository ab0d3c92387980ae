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

std::string NewRequestId(std::string_view token) {
  return std::to_string(WallNow().time_since_epoch().count()) + "-" + std::string(token);
}

// What happened to the first send when the second one comes.
enum class FirstSend { kRunning, kRan, kHomeRestarted, kHomeGone };

struct ResendCase {
  std::string_view name;
  FirstSend first;
  std::size_t bytes;         // Of the answer.
  std::string_view outcome;  // Of the second send.
  std::string_view reason;
  std::string_view other_reason;  // Allowed as well, by another node that is asked; may be empty.
};

constexpr std::array kCases{
    ResendCase{"while the first runs", FirstSend::kRunning, 100, "unknown", "already_running", ""},
    ResendCase{"after a small answer", FirstSend::kRan, 100, "answered", "", ""},
    ResendCase{"after a large answer", FirstSend::kRan, 100000, "answered", "already_ran", ""},
    ResendCase{"after the home restarted", FirstSend::kHomeRestarted, 100, "unknown",
               "home_restarted", "home_released"},
    ResendCase{"while the home is gone", FirstSend::kHomeGone, 100, "unknown", "home_unreachable",
               "home_released"},
};

HttpResponse Book(Fleet& fleet, std::size_t ingress, const std::string& id, std::size_t bytes) {
  return fleet.Call(ingress, "POST", "/book?ms=0&bytes=" + std::to_string(bytes),
                    {{"X-Test-Id", id}, {"Damaskhollow-Request-Id", id}});
}

std::size_t IndexOf(const HttpResponse& answer) {
  return std::stoul(answer.Header("Damaskhollow-Served-By").substr(1)) - 1;
}

bool IsLinkedTo(Fleet& fleet, std::size_t index, const std::string& peer) {
  const QJsonArray peers = fleet.Status(index)["linked_peers"].toArray();
  return peers.contains(QString::fromStdString(peer));
}

// Guards against a request that runs twice because its caller sent it again through another node.
void RunsAtMostOnce(const ResendCase& row) {
  Fleet fleet({.servers = SmallFleet(4)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  // Homes refuse ids created before they had run for a while, so this waits for the youngest node.
  for (int call = 0; call < 8; ++call) {
    CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                             return Book(fleet, 0, NewRequestId("warm"), 0).Outcome() == "answered";
                           }));
  }
  if (row.first == FirstSend::kRunning) fleet.SetBackends("hold=1");
  const std::string id = NewRequestId("booking");
  HttpResponse first;
  bool first_ended = false;
  fleet.Send(0,
             MakeRequest("POST", "/book?ms=0&bytes=" + std::to_string(row.bytes),
                         {{"X-Test-Id", id}, {"Damaskhollow-Request-Id", id}}),
             [&](const HttpResponse& answer) {
               first = answer;
               first_ended = true;
             });
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf(id).ran == 1; }));
  std::size_t ingress = 1;
  if (row.first != FirstSend::kRunning) {
    CPPUNIT_ASSERT(WaitUntil([&] { return first_ended; }));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first.Describe(), std::string("answered"), first.Outcome());
    const std::size_t home = IndexOf(first);
    if (home == ingress) ingress = 2;
    if (row.first == FirstSend::kHomeRestarted) {
      fleet.RestartNode(home);
      CPPUNIT_ASSERT(fleet.WaitUntilReady(home));
      CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.WaitUntilLinked(ingress));
    }
    if (row.first == FirstSend::kHomeGone) {
      fleet.Node(home).Kill();
      // A request that is sent just before the loss is noticed is in doubt until its deadline.
      CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), WaitUntil([&] {
                               return !IsLinkedTo(fleet, ingress, "s" + std::to_string(home + 1));
                             }));
    }
  }
  // A home whose link was just lost counts as unreachable until the link is renewed or given up.
  HttpResponse second;
  CPPUNIT_ASSERT_MESSAGE(
      fleet.NodeOutput(), WaitUntil([&] {
        second = Book(fleet, ingress, id, row.bytes);
        const std::string reason = second.ReasonName();
        return reason != "link_unavailable" &&
               (row.first != FirstSend::kHomeRestarted || reason != "home_unreachable");
      }));
  const std::string text = second.Describe() + fleet.NodeOutput();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, fleet.RunsOf(id).ran);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(row.outcome), second.Outcome());
  const bool is_named = second.ReasonName() == row.reason ||
                        (!row.other_reason.empty() && second.ReasonName() == row.other_reason);
  CPPUNIT_ASSERT_MESSAGE(text, is_named);
  if (row.outcome == "answered" && row.reason.empty()) {
    CPPUNIT_ASSERT_MESSAGE(text, second.body == PatternBody(id, row.bytes));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("1"), second.Header("Damaskhollow-Replayed"));
  }
  if (row.first != FirstSend::kRunning) return;
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

// Guards against ids that no home could judge.
void RefusesInvalidId(const InvalidIdCase& row) {
  Fleet fleet({.servers = SmallFleet(1)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  const HttpResponse answer = Book(fleet, 0, std::string(row.id), 0);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.Describe(), std::string("request_id_invalid"),
                               answer.ReasonName());
  CPPUNIT_ASSERT_EQUAL(0, fleet.RunsOf(row.id).ran);
}

const TableTest<InvalidIdCase> invalid_registration("InvalidRequestId", kInvalidIds,
                                                    &RefusesInvalidId);

}  // namespace

}  // namespace damaskhollow::test
