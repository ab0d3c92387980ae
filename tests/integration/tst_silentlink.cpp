#include <cppunit/TestAssert.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/patternbody.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// When the open connections between ingress and owners begin to swallow all bytes.
enum class SilentFrom { kBeforeRequest, kWhileRunning, kAfterAnswer };

struct SilentCase {
  std::string_view name;
  SilentFrom from;
  std::string_view method;
  std::string_view path;
  std::size_t bytes;  // Of the answer.
  bool must_be_answered;
};

constexpr std::array kCases{
    SilentCase{"idempotent, before the request", SilentFrom::kBeforeRequest, "GET", "/read", 1000,
               true},
    SilentCase{"idempotent, while it runs", SilentFrom::kWhileRunning, "GET", "/read", 1000, true},
    SilentCase{"idempotent, after the answer", SilentFrom::kAfterAnswer, "GET", "/read", 1000,
               true},
    SilentCase{"not idempotent, before the request", SilentFrom::kBeforeRequest, "POST", "/book",
               1000, false},
    SilentCase{"not idempotent, while it runs", SilentFrom::kWhileRunning, "POST", "/book", 1000,
               false},
    SilentCase{"not idempotent, after the answer", SilentFrom::kAfterAnswer, "POST", "/book", 1000,
               false},
    SilentCase{"not idempotent, after an empty answer", SilentFrom::kAfterAnswer, "POST", "/book",
               0, false},
    SilentCase{"not idempotent, in a long answer", SilentFrom::kAfterAnswer, "POST", "/book",
               150000, false},
};

constexpr std::size_t kCalls = 4;

class SilentLinkRun {
 public:
  explicit SilentLinkRun(const SilentCase& row)
      : m_row(row), m_fleet({.servers = FleetWithIngressOnlyNode(3, 8), .proxy_peers = true}) {}

  void Run() {
    CPPUNIT_ASSERT_MESSAGE(m_fleet.NodeOutput(), m_fleet.Start());
    // A call each way proves that the links carry calls.
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), m_fleet.Call(0, "GET", "/read").Outcome());
    m_fleet.SetBackends("hold=1");
    if (m_row.from == SilentFrom::kBeforeRequest) Silence();
    SendCalls();
    if (m_row.from == SilentFrom::kWhileRunning) {
      CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == kCalls; }));
      Silence();
    }
    if (m_row.from == SilentFrom::kAfterAnswer) AnswerIntoSilence();
    m_fleet.SetBackends("hold=0");
    CPPUNIT_ASSERT_MESSAGE(m_fleet.NodeOutput(), WaitUntil([&] { return m_ended == kCalls; }));
    for (std::size_t call = 0; call < kCalls; ++call) Check(call);
  }

 private:
  static std::string IdOf(std::size_t call) { return "silent-" + std::to_string(call); }

  void SendCalls() {
    const std::string target =
        std::string(m_row.path) + "?ms=0&bytes=" + std::to_string(m_row.bytes);
    for (std::size_t call = 0; call < kCalls; ++call) {
      m_fleet.Send(0, MakeRequest(m_row.method, target, {{"X-Test-Id", IdOf(call)}}),
                   [this, call](const HttpResponse& answer) {
                     m_answers[call] = answer;
                     ++m_ended;
                   });
    }
  }

  void ForEachLink(std::string_view query) {
    m_fleet.SetPeerLinks(0, 1, query);
    m_fleet.SetPeerLinks(0, 2, query);
  }

  void Silence() { ForEachLink("silence=1"); }

  // Keeps the answers on the link until all have been given, and then discards them.
  void AnswerIntoSilence() {
    CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == kCalls; }));
    ForEachLink("hold=down");
    m_fleet.SetBackends("hold=0");
    CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == 0; }));
    Silence();
    ForEachLink("hold=none");
  }

  std::size_t CountRunning() {
    std::size_t running = 0;
    for (std::size_t server = 1; server < m_fleet.Size(); ++server) {
      running += static_cast<std::size_t>(m_fleet.Runs(server)["in_flight"].toInt());
    }
    return running;
  }

  void Check(std::size_t call) {
    const HttpResponse& answer = m_answers[call];
    const RunCounts runs = m_fleet.RunsOf(IdOf(call));
    const std::string text = answer.Describe() + "; ran " + std::to_string(runs.ran);
    const std::string outcome = answer.Outcome();
    if (m_row.must_be_answered) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("answered"), outcome);
    } else {
      CPPUNIT_ASSERT_MESSAGE(text, runs.ran <= 1);
    }
    if (outcome == "answered") {
      CPPUNIT_ASSERT_MESSAGE(text, answer.body == PatternBody(IdOf(call), m_row.bytes));
      CPPUNIT_ASSERT_MESSAGE(text, runs.completed >= 1);
    }
    if (outcome == "not-run") CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, runs.ran);
    CPPUNIT_ASSERT_MESSAGE(text,
                           outcome == "answered" || outcome == "not-run" || outcome == "unknown");
  }

  const SilentCase& m_row;
  Fleet m_fleet;
  std::array<HttpResponse, kCalls> m_answers;
  std::size_t m_ended = 0;
};

// Guards against calls that are lost, run twice or answered wrongly when open connections go silent
// while new ones work.
void SurvivesSilentLink(const SilentCase& row) { SilentLinkRun(row).Run(); }

const TableTest<SilentCase> registration("SilentLink", kCases, &SurvivesSilentLink);

}  // namespace

}  // namespace damaskhollow::test
