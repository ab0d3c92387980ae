#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "control/healthprobe.h"
#include "support/freeport.h"
#include "support/httpserver.h"
#include "support/nofreedescriptors.h"
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

}  // namespace

}  // namespace damaskhollow
