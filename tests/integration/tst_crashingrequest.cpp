#include <cppunit/TestAssert.h>

#include <QTimer>
#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/loadgenerator.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

struct CrashCase {
  std::string_view name;
  std::string_view method;
  std::string_view target;
};

constexpr std::array kCases{
    CrashCase{"not idempotent", "POST", "/job?crash=1"},
    CrashCase{"idempotent", "GET", "/bulk?crash=1"},
};

constexpr int kResends = 10;
// A request is banned after three crashes; one more attempt may be in progress while the third
// crash is reported to the other nodes.
constexpr int kMaxCrashes = 4;
constexpr double kMinAnsweredShare = 0.95;
constexpr std::chrono::milliseconds kRestartDelay{300};

// Restarts crashed backend servers, as the platform that runs them would.
class BackendRestarter : public QObject {
 public:
  explicit BackendRestarter(Fleet& fleet) : m_fleet(fleet) {
    connect(&m_timer, &QTimer::timeout, this, &BackendRestarter::RestartCrashed);
    m_timer.start(kRestartDelay);
  }

  int Crashes() const { return m_crashes; }

 private:
  void RestartCrashed() {
    for (std::size_t index = 0; index < m_fleet.Size(); ++index) {
      if (m_fleet.Backend(index).IsRunning()) continue;
      ++m_crashes;
      m_fleet.Backend(index).Start();
    }
  }

  Fleet& m_fleet;
  QTimer m_timer;
  int m_crashes = 0;
};

// Returns whether all backend servers run and a call through each node is answered.
bool AreAllServing(Fleet& fleet) {
  for (std::size_t index = 0; index < fleet.Size(); ++index) {
    if (!fleet.Backend(index).IsRunning()) return false;
  }
  return fleet.WaitUntilAllServe();
}

// Guards against a request that crashes one backend server after another because its caller keeps
// resending it.
void BansCrashingRequest(const CrashCase& row) {
  Fleet fleet({.servers = SmallFleet(4)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  BackendRestarter restarter(fleet);
  std::vector<Endpoint> callers;
  for (std::size_t index = 0; index < fleet.Size(); ++index) callers.push_back(fleet.Caller(index));
  LoadGenerator load({{.name = "other",
                       .request = MakeRequest("GET", "/read?ms=5", {{"Host", "shop.test"}}),
                       .rate_per_second = 100.0,
                       .targets = callers}},
                     1);
  load.Start(std::chrono::minutes(5));
  HttpResponse last_response;
  std::string text;
  for (int resend = 0; resend < kResends; ++resend) {
    last_response =
        fleet.Call(static_cast<std::size_t>(resend) % fleet.Size(), row.method, row.target);
    text += last_response.Outcome() + " " + last_response.ReasonName() + "; ";
    CPPUNIT_ASSERT_MESSAGE(text, last_response.Outcome() != "answered");
    CPPUNIT_ASSERT_MESSAGE(text, WaitUntil([&] { return AreAllServing(fleet); }));
  }
  load.Stop();
  CPPUNIT_ASSERT(WaitUntil([&] { return load.IsDone(); }));
  text += "crashes " + std::to_string(restarter.Crashes()) + "; of " +
          std::to_string(load.Counts(0).sent) + " other calls:";
  for (const auto& [reason, count] : load.Counts(0).by_reason) {
    text += " " + reason + " " + std::to_string(count);
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("crashing_request"), last_response.ReasonName());
  CPPUNIT_ASSERT_MESSAGE(text, restarter.Crashes() <= kMaxCrashes);
  CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(load.Counts(0).Count("answered")) >=
                                   kMinAnsweredShare * static_cast<double>(load.Counts(0).sent));
}

const TableTest<CrashCase> registration("CrashingRequest", kCases, &BansCrashingRequest);

}  // namespace

}  // namespace damaskhollow::test
