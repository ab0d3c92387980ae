#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "metrics/metricsregistry.h"

namespace damaskhollow {

class MetricsRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsRegistryTest);
  CPPUNIT_TEST(CountsDataCentreBytesByPurpose);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CountsDataCentreBytesByPurpose() {
    MetricsRegistry metrics;
    metrics.CountDataCentreBytes(BytePurpose::kCalls, 5000000);
    metrics.CountDataCentreBytes(BytePurpose::kDocuments, 7);
    metrics.CountDataCentreBytes(BytePurpose::kDocuments, 8);
    const std::string text = metrics.PrometheusText();
    for (const char* line : {"damaskhollow_data_centre_bytes_total{purpose=\"calls\"} 5000000\n",
                             "damaskhollow_data_centre_bytes_total{purpose=\"documents\"} 15\n",
                             "damaskhollow_data_centre_bytes_total{purpose=\"links\"} 0\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsRegistryTest);

}  // namespace damaskhollow
