#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "configuration/configurationbootstrap.h"
#include "configuration/fetchplan.h"
#include "configuration/parttransfer.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FleetNode self_node{BackendServerId("self"), RegionId("far"), DataCentreId("far-1")};
const FleetNode same_data_centre{BackendServerId("a"), RegionId("far"), DataCentreId("far-1")};
const FleetNode same_region{BackendServerId("b"), RegionId("far"), DataCentreId("far-2")};
const FleetNode other_region{BackendServerId("c"), RegionId("near"), DataCentreId("near-1")};

TimePoint At(milliseconds since_start) { return TimePoint(seconds(1000)) + since_start; }

ReaderAssignment AssignmentWith(ReaderRole role, std::vector<BackendServerId> readers) {
  return ReaderAssignment{role, std::move(readers)};
}

}  // namespace

class FetchPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FetchPlanTest);
  CPPUNIT_TEST(PrefersNearPeers);
  CPPUNIT_TEST(OnlyReadersCrossThePaidLinkInTurn);
  CPPUNIT_TEST(NodeWithoutInventoryAsksAnyPeer);
  CPPUNIT_TEST(FailedPeerIsPassedOver);
  CPPUNIT_TEST(RefusedStoreVersionLeavesPeersInUse);
  CPPUNIT_TEST(RolesDecideStoreReads);
  CPPUNIT_TEST(UnchangedReadsAreSpacedOut);
  CPPUNIT_TEST(ImmediateReadDoesNotDelayTheWatch);
  CPPUNIT_TEST(BacksOffFromFailingStore);
  CPPUNIT_TEST(TransferCollectsParts);
  CPPUNIT_TEST(TransferRefusesInconsistentParts);
  CPPUNIT_TEST(FreshNodeAsksPeersFirst);
  CPPUNIT_TEST(FreshNodePrefersPeersToStaleStore);
  CPPUNIT_TEST(FleetRestartTakesStoreVersion);
  CPPUNIT_TEST(CurrentStoreIsTakenAtOnce);
  CPPUNIT_TEST(NewerConfigurationOfAPeerComesFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefersNearPeers() {
    FetchPlan plan(self_node);
    RandomSource random(1);
    plan.RecordPeerVersion(other_region, 5, At(milliseconds(0)));
    plan.RecordPeerVersion(same_region, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(0))) == same_region.id);
    plan.RecordPeerVersion(same_data_centre, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(0))) == same_data_centre.id);
    plan.RecordPeerVersion(same_region, 6, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(0))) == same_region.id);
    plan.RecordHeld(6);
    CPPUNIT_ASSERT(!plan.PeerToQuery(random, At(milliseconds(0))));
  }

  // Guards against every node of a remote region fetching its own copy over the paid link.
  void OnlyReadersCrossThePaidLinkInTurn() {
    RandomSource random(1);
    FetchPlan follower(self_node);
    follower.SetAssignment(AssignmentWith(ReaderRole::kFollower, {same_region.id}),
                           At(milliseconds(0)));
    follower.RecordPeerVersion(other_region, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(!follower.PeerToQuery(random, At(seconds(60))));

    FetchPlan second(self_node);
    second.SetAssignment(AssignmentWith(ReaderRole::kStandby, {same_region.id, self_node.id}),
                         At(milliseconds(0)));
    second.RecordPeerVersion(other_region, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(!second.PeerToQuery(random, At(milliseconds(599))));
    CPPUNIT_ASSERT(second.PeerToQuery(random, At(milliseconds(600))) == other_region.id);
  }

  // Guards against a fleet that rejects calls for 1.5 s after a restart because each node waits for
  // peers that are starting as well.
  void CurrentStoreIsTakenAtOnce() {
    RandomSource random(1);
    ConfigurationBootstrap fresh(false, false, random, At(milliseconds(0)), true);
    fresh.OnCandidateReceived(At(milliseconds(5)));
    const PeerResponses nobody_answered{8, 0, false};
    CPPUNIT_ASSERT(fresh.Next(nobody_answered, At(milliseconds(5))) ==
                   ConfigurationBootstrap::Step::kApplyCandidate);
  }

  // Guards against an older configuration of a restored store in force although a peer has a newer
  // one. A peer that cannot deliver it delays the start only for a time.
  void NewerConfigurationOfAPeerComesFirst() {
    RandomSource random(1);
    ConfigurationBootstrap fresh(false, false, random, At(milliseconds(0)), true);
    fresh.OnCandidateReceived(At(milliseconds(5)));
    const PeerResponses newer{8, 1, true};
    CPPUNIT_ASSERT(fresh.Next(newer, At(milliseconds(5))) ==
                   ConfigurationBootstrap::Step::kFetchFromPeer);
    CPPUNIT_ASSERT(fresh.Next(newer, At(milliseconds(2000))) ==
                   ConfigurationBootstrap::Step::kApplyCandidate);
  }

  // Guards against a watcher that starts no long poll for 30 s after a read without a wait, which
  // returns immediately.
  void ImmediateReadDoesNotDelayTheWatch() {
    FetchPlan plan(self_node);
    plan.SetAssignment(AssignmentWith(ReaderRole::kWatcher, {self_node.id}), At(milliseconds(0)));
    plan.RequestStoreRead(At(milliseconds(0)));
    const std::optional<StoreRead> immediate = plan.StoreReadDue(At(milliseconds(0)));
    CPPUNIT_ASSERT(immediate && immediate->wait.count() == 0);
    plan.OnStoreReadStarted(At(milliseconds(0)), immediate->wait);
    plan.OnStoreReadUnchanged(At(milliseconds(10)));
    const std::optional<StoreRead> watch = plan.StoreReadDue(At(milliseconds(10)));
    CPPUNIT_ASSERT(watch && watch->wait == kStoreReadInterval);
  }

  // Guards against a node without an inventory that queries no peer because it does not know the
  // readers yet.
  void NodeWithoutInventoryAsksAnyPeer() {
    FetchPlan plan(self_node);
    RandomSource random(1);
    plan.RecordPeerVersion(FleetNode{BackendServerId("seed"), {}, {}}, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(0))) == BackendServerId("seed"));
  }

  void FailedPeerIsPassedOver() {
    FetchPlan plan(self_node);
    RandomSource random(1);
    plan.RecordPeerVersion(same_data_centre, 5, At(milliseconds(0)));
    plan.RecordPeerVersion(same_region, 5, At(milliseconds(0)));
    plan.OnPeerFailed(same_data_centre.id, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(1))) == same_region.id);
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(seconds(2))) == same_data_centre.id);
  }

  // Guards against a node without a configuration that ignores the last valid version of its peers
  // because the service returns a newer, invalid one.
  void RefusedStoreVersionLeavesPeersInUse() {
    FetchPlan plan(self_node);
    RandomSource random(1);
    plan.SetAssignment(AssignmentWith(ReaderRole::kWatcher, {self_node.id}), At(milliseconds(0)));
    plan.RecordStoreVersion(6);
    plan.RecordPeerVersion(same_region, 5, At(milliseconds(0)));
    CPPUNIT_ASSERT(plan.PeerToQuery(random, At(milliseconds(0))) == same_region.id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, plan.StoreReadDue(At(milliseconds(0)))->after);
  }

  void RolesDecideStoreReads() {
    struct Row {
      ReaderRole role;
      bool reads;
      milliseconds wait;
    };
    static constexpr std::array kRows{Row{ReaderRole::kFollower, false, milliseconds(0)},
                                      Row{ReaderRole::kStandby, true, milliseconds(0)},
                                      Row{ReaderRole::kWatcher, true, kStoreReadInterval}};
    for (const Row& row : kRows) {
      FetchPlan plan(self_node);
      plan.SetAssignment(AssignmentWith(row.role, {self_node.id}), At(milliseconds(0)));
      plan.RecordHeld(4);
      const auto read = plan.StoreReadDue(At(milliseconds(0)));
      CPPUNIT_ASSERT_EQUAL(row.reads, read.has_value());
      if (!read) continue;
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, read->after);
      CPPUNIT_ASSERT(row.wait == read->wait);
    }
  }

  // Guards against reading in a tight loop if the store ends long polls immediately.
  void UnchangedReadsAreSpacedOut() {
    FetchPlan plan(self_node);
    plan.SetAssignment(AssignmentWith(ReaderRole::kWatcher, {self_node.id}), At(milliseconds(0)));
    plan.OnStoreReadStarted(At(milliseconds(0)));
    CPPUNIT_ASSERT(!plan.StoreReadDue(At(seconds(60))));
    plan.OnStoreReadUnchanged(At(milliseconds(1)));
    CPPUNIT_ASSERT(!plan.StoreReadDue(At(seconds(29))));
    CPPUNIT_ASSERT(plan.StoreReadDue(At(seconds(30))).has_value());
    plan.OnStoreReadStarted(At(seconds(30)));
    plan.OnStoreReadChanged(At(seconds(31)));
    CPPUNIT_ASSERT(plan.StoreReadDue(At(seconds(31))).has_value());
  }

  void BacksOffFromFailingStore() {
    FetchPlan plan(self_node);
    RandomSource random(7);
    plan.SetAssignment(AssignmentWith(ReaderRole::kWatcher, {self_node.id}), At(milliseconds(0)));
    milliseconds now{0};
    int reads = 0;
    for (; now < seconds(60); now += milliseconds(10)) {
      if (!plan.StoreReadDue(At(now))) continue;
      plan.OnStoreReadStarted(At(now));
      plan.OnStoreReadFailed(random, At(now));
      ++reads;
    }
    CPPUNIT_ASSERT(!plan.IsStoreReachable());
    // From 1.25 to 2.5 s between two of them once the delay has grown.
    CPPUNIT_ASSERT(reads >= 60 * 2 / 5);
    CPPUNIT_ASSERT(reads <= 4 + 2 * 60 * 2 / 5);
  }

  void TransferCollectsParts() {
    const std::string text(kPartBytes * 2 + 17, 'x');
    PartTransfer transfer(same_region.id, 3, At(milliseconds(0)));
    auto progress = PartTransfer::Progress::kRequestNext;
    for (int part = 0; part < 3; ++part) {
      CPPUNIT_ASSERT(progress == PartTransfer::Progress::kRequestNext);
      progress = transfer.Add(PartOf(3, text, transfer.NextOffset()), At(milliseconds(part)));
    }
    CPPUNIT_ASSERT(progress == PartTransfer::Progress::kComplete);
    CPPUNIT_ASSERT(transfer.Text() == text);
  }

  // Guards against assembling a document from parts of two versions.
  void TransferRefusesInconsistentParts() {
    const std::string old_text(kPartBytes * 2, 'o');
    const std::string new_text(kPartBytes, 'n');
    PartTransfer transfer(same_region.id, 3, At(milliseconds(0)));
    transfer.Add(PartOf(3, old_text, 0), At(milliseconds(0)));
    CPPUNIT_ASSERT(transfer.Add(PartOf(4, new_text, kPartBytes), At(milliseconds(1))) ==
                   PartTransfer::Progress::kIgnored);
    CPPUNIT_ASSERT(transfer.Add(PartOf(4, new_text, 0), At(milliseconds(1))) ==
                   PartTransfer::Progress::kComplete);
    CPPUNIT_ASSERT(transfer.Text() == new_text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, transfer.Version());
    PartTransfer older(same_region.id, 3, At(milliseconds(0)));
    CPPUNIT_ASSERT(older.Add(PartOf(2, old_text, 0), At(milliseconds(0))) ==
                   PartTransfer::Progress::kFailed);
    CPPUNIT_ASSERT(!older.IsStalled(At(milliseconds(999))));
    CPPUNIT_ASSERT(older.IsStalled(At(milliseconds(1001))));
  }

  void FreshNodeAsksPeersFirst() {
    RandomSource random(3);
    const ConfigurationBootstrap start(true, false, random, At(milliseconds(0)));
    CPPUNIT_ASSERT(start.Next({2, 0, false}, At(milliseconds(1400))) ==
                   ConfigurationBootstrap::Step::kWaitForSeeds);
    CPPUNIT_ASSERT(start.Next({2, 1, true}, At(milliseconds(100))) ==
                   ConfigurationBootstrap::Step::kFetchFromPeer);
    CPPUNIT_ASSERT(start.Next({2, 0, false}, At(seconds(10))) ==
                   ConfigurationBootstrap::Step::kReadStore);
  }

  // Guards against a restarted node that activates the version of a stale store although its peers
  // hold a newer one.
  void FreshNodePrefersPeersToStaleStore() {
    RandomSource random(3);
    ConfigurationBootstrap start(false, false, random, At(milliseconds(0)));
    CPPUNIT_ASSERT(start.Next({}, At(seconds(1))) == ConfigurationBootstrap::Step::kReadStore);
    start.OnCandidateReceived(At(seconds(1)));
    CPPUNIT_ASSERT(start.Next({4, 0, false}, At(seconds(1))) ==
                   ConfigurationBootstrap::Step::kWaitForPeers);
    CPPUNIT_ASSERT(start.Next({4, 1, true}, At(seconds(2))) ==
                   ConfigurationBootstrap::Step::kFetchFromPeer);
    CPPUNIT_ASSERT(start.Next({4, 4, false}, At(seconds(2))) ==
                   ConfigurationBootstrap::Step::kApplyCandidate);
  }

  // After a restart of the whole fleet no peer holds a version, so the store's version is activated
  // even if it is stale. This is a known limitation.
  void FleetRestartTakesStoreVersion() {
    RandomSource random(3);
    ConfigurationBootstrap start(false, false, random, At(milliseconds(0)));
    start.OnCandidateReceived(At(milliseconds(0)));
    CPPUNIT_ASSERT(start.Next({4, 0, false}, At(seconds(1))) ==
                   ConfigurationBootstrap::Step::kWaitForPeers);
    CPPUNIT_ASSERT(start.Next({4, 0, false}, At(seconds(2))) ==
                   ConfigurationBootstrap::Step::kApplyCandidate);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FetchPlanTest);

}  // namespace damaskhollow
