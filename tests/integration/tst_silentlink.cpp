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

// When the open connections between ingress and owners begin to discard all bytes.
enum class SilenceStart { kBeforeRequest, kWhileRunning, kAfterResponse };

struct SilentCase {
  std::string_view name;
  SilenceStart silence_start;
  std::string_view method;
  std::string_view path;
  std::size_t bytes;  // Size of the response body.
  bool must_be_answered;
};

constexpr std::array kCases{
    SilentCase{"idempotent, before the request", SilenceStart::kBeforeRequest, "GET", "/read", 1000,
               true},
    SilentCase{"idempotent, while it runs", SilenceStart::kWhileRunning, "GET", "/read", 1000,
               true},
    SilentCase{"idempotent, after the answer", SilenceStart::kAfterResponse, "GET", "/read", 1000,
               true},
    SilentCase{"not idempotent, before the request", SilenceStart::kBeforeRequest, "POST", "/book",
               1000, false},
    SilentCase{"not idempotent, while it runs", SilenceStart::kWhileRunning, "POST", "/book", 1000,
               false},
    SilentCase{"not idempotent, after the answer", SilenceStart::kAfterResponse, "POST", "/book",
               1000, false},
    SilentCase{"not idempotent, after an empty answer", SilenceStart::kAfterResponse, "POST",
               "/book", 0, false},
    SilentCase{"not idempotent, in a long answer", SilenceStart::kAfterResponse, "POST", "/book",
               150000, false},
};

constexpr std::size_t kCalls = 4;

class SilentLinkRun {
 public:
  explicit SilentLinkRun(const SilentCase& row)
      : m_row(row), m_fleet({.servers = FleetWithIngressOnlyNode(3, 8), .proxy_peers = true}) {}

  void Run() {
    CPPUNIT_ASSERT_MESSAGE(m_fleet.NodeOutput(), m_fleet.Start());
    // An answered call shows that a link carries data both ways.
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), m_fleet.Call(0, "GET", "/read").Outcome());
    m_fleet.SetBackends("hold=1");
    if (m_row.silence_start == SilenceStart::kBeforeRequest) SilenceLinks();
    SendCalls();
    if (m_row.silence_start == SilenceStart::kWhileRunning) {
      CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == kCalls; }));
      SilenceLinks();
    }
    if (m_row.silence_start == SilenceStart::kAfterResponse) DiscardResponses();
    m_fleet.SetBackends("hold=0");
    CPPUNIT_ASSERT_MESSAGE(m_fleet.NodeOutput(), WaitUntil([&] { return m_ended == kCalls; }));
    for (std::size_t call = 0; call < kCalls; ++call) CheckCall(call);
  }

 private:
  static std::string IdOf(std::size_t call) { return "silent-" + std::to_string(call); }

  void SendCalls() {
    const std::string target =
        std::string(m_row.path) + "?ms=0&bytes=" + std::to_string(m_row.bytes);
    for (std::size_t call = 0; call < kCalls; ++call) {
      m_fleet.Send(0, MakeRequest(m_row.method, target, {{"X-Test-Id", IdOf(call)}}),
                   [this, call](const HttpResponse& response) {
                     m_responses[call] = response;
                     ++m_ended;
                   });
    }
  }

  void SetOwnerLinks(std::string_view query) {
    m_fleet.SetPeerLinks(0, 1, query);
    m_fleet.SetPeerLinks(0, 2, query);
  }

  void SilenceLinks() { SetOwnerLinks("silence=1"); }

  // Holds the responses on the links until all calls have completed, and then discards them.
  void DiscardResponses() {
    CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == kCalls; }));
    SetOwnerLinks("hold=down");
    m_fleet.SetBackends("hold=0");
    CPPUNIT_ASSERT(WaitUntil([&] { return CountRunning() == 0; }));
    SilenceLinks();
    SetOwnerLinks("hold=none");
  }

  std::size_t CountRunning() {
    std::size_t running = 0;
    for (std::size_t server = 1; server < m_fleet.Size(); ++server) {
      running += static_cast<std::size_t>(m_fleet.Runs(server)["in_flight"].toInt());
    }
    return running;
  }

  void CheckCall(std::size_t call) {
    const HttpResponse& response = m_responses[call];
    const RunCounts runs = m_fleet.RunsOf(IdOf(call));
    const std::string text = response.Describe() + "; ran " + std::to_string(runs.ran);
    const std::string outcome = response.Outcome();
    if (m_row.must_be_answered) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("answered"), outcome);
    } else {
      CPPUNIT_ASSERT_MESSAGE(text, runs.ran <= 1);
    }
    if (outcome == "answered") {
      CPPUNIT_ASSERT_MESSAGE(text, response.body == PatternBody(IdOf(call), m_row.bytes));
      CPPUNIT_ASSERT_MESSAGE(text, runs.completed >= 1);
    }
    if (outcome == "not-run") CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, runs.ran);
    CPPUNIT_ASSERT_MESSAGE(text,
                           outcome == "answered" || outcome == "not-run" || outcome == "unknown");
  }

  const SilentCase& m_row;
  Fleet m_fleet;
  std::array<HttpResponse, kCalls> m_responses;
  std::size_t m_ended = 0;
};

// Guards against calls that are lost, run twice or get a wrong response when open connections stop
// carrying data while new ones work.
void SurvivesSilentLink(const SilentCase& row) { SilentLinkRun(row).Run(); }

const TableTest<SilentCase> registration("SilentLink", kCases, &SurvivesSilentLink);

}  // namespace

}  // namespace damaskhollow::test
