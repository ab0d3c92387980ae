#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "policy/pausedetector.h"

namespace damaskhollow {

class PauseDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PauseDetectorTest);
  CPPUNIT_TEST(NoticesGaps);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a process that acts on outdated decisions after a pause, and against a slow tick
  // that is mistaken for a pause.
  void NoticesGaps() {
    struct Row {
      Duration gap;
      bool is_pause;
    };
    using std::chrono::microseconds;
    for (const Row& row :
         std::array{Row{microseconds(20000), false}, Row{microseconds(1000000), false},
                    Row{microseconds(1000001), true}, Row{microseconds(60000000), true}}) {
      const TimePoint start{std::chrono::seconds(100)};
      PauseDetector detector;
      CPPUNIT_ASSERT(!detector.IsOverdue(start));
      CPPUNIT_ASSERT(!detector.RecordTick(start));  // The first tick has no predecessor.
      CPPUNIT_ASSERT_EQUAL(row.is_pause, detector.IsOverdue(start + row.gap));
      CPPUNIT_ASSERT_EQUAL(row.is_pause, detector.RecordTick(start + row.gap));
      CPPUNIT_ASSERT(!detector.IsOverdue(start + row.gap));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PauseDetectorTest);

}  // namespace damaskhollow
