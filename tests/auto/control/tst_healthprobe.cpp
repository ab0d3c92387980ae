#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/healthprobe.h"
#include "support/freeport.h"
#include "support/httpserver.h"
#include "support/nofreedescriptors.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kInterval{10};
constexpr double kProbesPerSecond = 100.0;

struct ProbeRow {
  std::string_view name;
  bool is_listening;
  bool has_descriptors;
  ProbeResult result;
};

constexpr std::array kRows{
    ProbeRow{"healthy", true, true, ProbeResult::kHealthy},
    ProbeRow{"refused", false, true, ProbeResult::kRefused},
    ProbeRow{"no free descriptors", true, false, ProbeResult::kNoResponse},
};

// Guards against a probe that fails for want of a descriptor of this process and counts as refused:
// a server that is leaving would be taken for restarted, and get new calls.
void ReportsResult(const ProbeRow& row) {
  const Endpoint address = test::FreeEndpoint();
  test::HttpServer server([&](ConnectionId connection, const HttpRequest&) {
    server.SendResponse(connection, 200, "");
  });
  CPPUNIT_ASSERT(!row.is_listening || server.Listen(address));
  MetricsRegistry metrics;
  std::vector<ProbeResult> results;
  HealthProbe probe(metrics, [&](ProbeResult result) { results.push_back(result); });
  probe.Configure(HealthCheck{"/health", kInterval}, address, kProbesPerSecond);
  std::optional<test::NoFreeDescriptors> limit;
  if (!row.has_descriptors) limit.emplace();
  probe.Tick(MonotonicNow());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !results.empty(); }));
  CPPUNIT_ASSERT(results.front() == row.result);
}

const test::TableTest<ProbeRow> registration("HealthProbe", kRows, &ReportsResult);

struct BrokenRow {
  std::string_view name;
  std::string_view response;
};

constexpr std::array kBrokenRows{
    BrokenRow{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"},
    BrokenRow{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n"},
};

// Guards against a malformed response that counts as healthy, so that a leaving server gets new
// calls.
void IgnoresBrokenResponse(const BrokenRow& row) {
  const test::ScriptedServer server({std::string(row.response)}, test::ScriptedServer::End::kClose);
  MetricsRegistry metrics;
  std::vector<ProbeResult> results;
  HealthProbe probe(metrics, [&](ProbeResult result) { results.push_back(result); });
  probe.Configure(HealthCheck{"/health", kInterval}, server.Address(), kProbesPerSecond);
  probe.Tick(MonotonicNow());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !results.empty(); }));
  CPPUNIT_ASSERT(results.front() == ProbeResult::kNoResponse);
}

const test::TableTest<BrokenRow> broken_test("HealthProbeBroken", kBrokenRows,
                                             &IgnoresBrokenResponse);

}  // namespace

}  // namespace damaskhollow
