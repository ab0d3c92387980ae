#include <cppunit/extensions/HelperMacros.h>

#include "metrics/metricsregistry.h"
#include "metrics/processusage.h"

namespace damaskhollow {

class ProcessUsageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessUsageTest);
  CPPUNIT_TEST(ReadsThisProcess);
  CPPUNIT_TEST(RegistryReportsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against failed reads, whose values of 0 would look like a node that uses no resources.
  void ReadsThisProcess() {
    constexpr std::size_t kSmallestProcessBytes = 1UL << 20;
    const ProcessUsage usage = ReadProcessUsage();
    CPPUNIT_ASSERT(usage.cpu_seconds > 0.0);
    CPPUNIT_ASSERT(usage.resident_memory_bytes > kSmallestProcessBytes);
  }

  void RegistryReportsIt() {
    const std::string text = MetricsRegistry().PrometheusText();
    CPPUNIT_ASSERT(text.find("\ndamaskhollow_process_cpu_seconds_total ") != std::string::npos);
    CPPUNIT_ASSERT(text.find("\ndamaskhollow_process_resident_memory_bytes ") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessUsageTest);

}  // namespace damaskhollow
