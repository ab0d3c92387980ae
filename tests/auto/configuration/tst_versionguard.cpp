#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "configuration/versionguard.h"

namespace damaskhollow {

namespace {

constexpr std::string_view kValid = R"({"format": 1, "regions": [], "services": [],
 "priorities": [{"id": "clerk", "rank": 0, "target_ms": 300, "guaranteed_share": 0.4,
                 "may_cross_regions": true}],
 "backend_servers": [],
 "budgets": {"measuring_bytes_per_second": 10000, "probes_per_second": 1,
   "paid_link_bytes_per_second": 1000000, "retry_share": 0.1, "hedge_share": 0.05}})";
constexpr std::string_view kInvalid = R"({"format": 1})";

}  // namespace

class VersionGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionGuardTest);
  CPPUNIT_TEST(NeverGoesBack);
  CPPUNIT_TEST(KeepsLastGoodVersion);
  CPPUNIT_TEST(RefusesOversizedText);
  CPPUNIT_TEST(KeepsRefusalsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stale store or peer restoring an older declaration.
  void NeverGoesBack() {
    VersionGuard guard;
    CPPUNIT_ASSERT(guard.Offer(7, kValid, "store") == OfferResult::kAccepted);
    CPPUNIT_ASSERT(guard.Offer(6, kValid, "store") == OfferResult::kOlder);
    CPPUNIT_ASSERT(guard.Offer(7, kValid, "peer") == OfferResult::kUnchanged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, guard.Version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.RefusedCount());
    CPPUNIT_ASSERT(guard.Refused().back().failures.front().code == FailureCode::kOlderVersion);
  }

  // Guards against an invalid declaration replacing a valid one.
  void KeepsLastGoodVersion() {
    VersionGuard guard;
    guard.Offer(1, kValid, "store");
    const auto before = guard.Current();
    CPPUNIT_ASSERT(guard.Offer(2, kInvalid, "store") == OfferResult::kInvalid);
    CPPUNIT_ASSERT(guard.Current() == before);
    CPPUNIT_ASSERT_EQUAL(std::string(kValid), guard.Text());
    CPPUNIT_ASSERT(!guard.Refused().back().failures.empty());
    CPPUNIT_ASSERT(guard.Offer(3, kValid, "store") == OfferResult::kAccepted);
  }

  void RefusesOversizedText() {
    VersionGuard guard;
    const std::string text(kMaxConfigurationBytes + 1, ' ');
    CPPUNIT_ASSERT(guard.Offer(1, text, "store") == OfferResult::kInvalid);
    CPPUNIT_ASSERT(guard.Refused().back().failures.front().code == FailureCode::kOutOfRange);
  }

  // Guards against memory that grows with each read of a stale store.
  void KeepsRefusalsBounded() {
    VersionGuard guard;
    guard.Offer(1000, kValid, "store");
    for (int repeat = 0; repeat < 3; ++repeat) guard.Offer(999, kValid, "store");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.Refused().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, guard.Refused().back().times);
    for (std::uint64_t version = 1; version < 100; ++version) guard.Offer(version, kValid, "store");
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, guard.Refused().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{102}, guard.RefusedCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionGuardTest);

}  // namespace damaskhollow
