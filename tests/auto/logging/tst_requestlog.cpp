#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "logging/requestlog.h"

namespace damaskhollow {

class RequestLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLogTest);
  CPPUNIT_TEST(LogsAllRequestsOfAQuietSecond);
  CPPUNIT_TEST(SamplesTheSameRequestsAtEveryNode);
  CPPUNIT_TEST(FailureLinesAreBoundedASecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LogsAllRequestsOfAQuietSecond() {
    RequestLog log;
    for (std::uint64_t request = 0; request < kFullyLoggedRequestsPerSecond; ++request) {
      log.RecordRequest(At(0));
      CPPUNIT_ASSERT(log.IsSampled(std::to_string(request)));
    }
  }

  // Every request that a busier node samples must also be sampled by a less busy node.
  void SamplesTheSameRequestsAtEveryNode() {
    RequestLog busy;
    RequestLog busier;
    RecordRequests(busy, 10 * kFullyLoggedRequestsPerSecond);
    RecordRequests(busier, 40 * kFullyLoggedRequestsPerSecond);
    std::size_t by_busy = 0;
    std::size_t by_busier = 0;
    for (int request = 0; request < 10000; ++request) {
      const std::string id = std::to_string(request);
      by_busy += busy.IsSampled(id) ? 1 : 0;
      by_busier += busier.IsSampled(id) ? 1 : 0;
      CPPUNIT_ASSERT(!busier.IsSampled(id) || busy.IsSampled(id));
    }
    CPPUNIT_ASSERT(by_busy > 0 && by_busier > 0 && by_busier < by_busy && by_busy < 1500);
  }

  void FailureLinesAreBoundedASecond() {
    RequestLog log;
    std::uint64_t written = 0;
    for (std::uint64_t line = 0; line < 3 * kMaxFailureLinesPerSecond; ++line) {
      written += log.TryConsumeFailureLine(At(0)) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(kMaxFailureLinesPerSecond, written);
    CPPUNIT_ASSERT_EQUAL(2 * kMaxFailureLinesPerSecond, log.DroppedFailureLines());
    CPPUNIT_ASSERT(log.TryConsumeFailureLine(At(1)));
  }

 private:
  static TimePoint At(int second) { return TimePoint(std::chrono::seconds(1000 + second)); }

  static void RecordRequests(RequestLog& log, std::uint64_t requests) {
    for (std::uint64_t request = 0; request < requests; ++request) log.RecordRequest(At(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLogTest);

}  // namespace damaskhollow
