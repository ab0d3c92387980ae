#include <cppunit/extensions/HelperMacros.h>

#include "policy/sendguard.h"

namespace damaskhollow {

namespace {

constexpr Incarnation kOwner{7};
constexpr std::uint64_t kNowUs = 1000000;
constexpr std::uint64_t kExpiryUs = 2000000;
// 1 us past the retention time of 10 s that follows the expiry.
constexpr std::uint64_t kAfterRetentionUs = kExpiryUs + 10000001;

CallKey KeyOf(std::uint64_t call) {
  return {BackendServerId("ingress"), Incarnation{1}, CallId{call}};
}

}  // namespace

class SendGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SendGuardTest);
  CPPUNIT_TEST(RefusesLateCallsAndOtherIncarnations);
  CPPUNIT_TEST(SettledCallNeverRuns);
  CPPUNIT_TEST(SecondDeliveryNeverRuns);
  CPPUNIT_TEST(QueryAfterExpiryProvesNothing);
  CPPUNIT_TEST(QueryJustAfterExpiryProvesNeverSeen);
  CPPUNIT_TEST(ForgetsOnlyExpiredCalls);
  CPPUNIT_TEST(BoundsRefusedCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesLateCallsAndOtherIncarnations() {
    const SendGuard guard(kOwner);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kNone);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kNowUs, kNowUs).refusal ==
                   Reason::kExpired);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), Incarnation{8}, kExpiryUs, kNowUs).refusal ==
                   Reason::kWrongIncarnation);
  }

  // Guards against running a call that arrives after it was reported to its ingress as not run.
  void SettledCallNeverRuns() {
    SendGuard guard(kOwner);
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(1), kExpiryUs, kNowUs) ==
                   InactiveCallState::kNeverSeen);
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(1), kExpiryUs, kNowUs) == InactiveCallState::kNotRun);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kCancelled);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(2), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kNone);
  }

  void SecondDeliveryNeverRuns() {
    SendGuard guard(kOwner);
    guard.RecordEnded(KeyOf(1), kExpiryUs, kNowUs);
    // Must not replace the record that the call ended.
    guard.RecordCancelled(KeyOf(1), kExpiryUs, kNowUs);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kNowUs).ignore);
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(1), kExpiryUs, kNowUs) ==
                   InactiveCallState::kMayHaveRun);
    guard.RecordRefused(KeyOf(2), kExpiryUs, kNowUs);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(2), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kCancelled);
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(2), kExpiryUs, kNowUs) == InactiveCallState::kNotRun);
  }

  // Guards against reporting "not run" for a call that ran and whose tombstone was removed.
  void QueryAfterExpiryProvesNothing() {
    SendGuard guard(kOwner);
    guard.RecordEnded(KeyOf(1), kExpiryUs, kNowUs);
    for (const std::uint64_t now_us : {kExpiryUs + 1, kExpiryUs + kTombstoneRetentionUs + 1}) {
      guard.Sweep(now_us);
      CPPUNIT_ASSERT(guard.ResolveState(KeyOf(1), kExpiryUs, now_us) ==
                     InactiveCallState::kMayHaveRun);
    }
  }

  // Guards against reporting "unknown" for a call of which the owner, queried at the deadline, can
  // still prove that it has not run.
  void QueryJustAfterExpiryProvesNeverSeen() {
    SendGuard guard(kOwner);
    const std::uint64_t last_proof_us = kExpiryUs + kTombstoneRetentionUs - 1;
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(1), kExpiryUs, last_proof_us) ==
                   InactiveCallState::kNeverSeen);
    CPPUNIT_ASSERT(guard.ResolveState(KeyOf(2), kExpiryUs, last_proof_us + 1) ==
                   InactiveCallState::kMayHaveRun);
  }

  void ForgetsOnlyExpiredCalls() {
    SendGuard guard(kOwner);
    guard.RecordEnded(KeyOf(1), kExpiryUs, kNowUs);
    // A second delivery after the expiry must not be reported as "not run".
    guard.Sweep(kAfterRetentionUs - 1);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kAfterRetentionUs - 1).ignore);
    guard.Sweep(kAfterRetentionUs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.Count());
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kAfterRetentionUs).refusal ==
                   Reason::kExpired);
  }

  // Guards against memory use that grows with a flood of refused calls. Records of calls that may
  // have run are not evicted to make room.
  void BoundsRefusedCalls() {
    SendGuard guard(kOwner);
    guard.RecordEnded(KeyOf(1), kExpiryUs, kNowUs);
    for (std::uint64_t call = 2; call < 40000; ++call) {
      guard.RecordRefused(KeyOf(call), kExpiryUs, kNowUs);
    }
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(39999), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kCancelled);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(2), kOwner, kExpiryUs, kNowUs).refusal ==
                   Reason::kNone);
    CPPUNIT_ASSERT(guard.CheckArrival(KeyOf(1), kOwner, kExpiryUs, kNowUs).ignore);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendGuardTest);

}  // namespace damaskhollow
