#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "auto/fleet/testfleet.h"
#include "configuration/fetchplan.h"
#include "fleet/overlay.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionId near_region("near");
// Duration of each message, read and transfer. Represents a round trip between regions and the
// transfer of some parts.
constexpr milliseconds kStep{100};

TimePoint At(milliseconds time) { return TimePoint(seconds(1000)) + time; }

// One node of the simulated fleet. It decides by a real FetchPlan; only the network is simulated.
struct SimulatedNode {
  FleetNode node;
  FetchPlan plan;
  std::uint64_t version = 1;
  std::optional<std::pair<std::uint64_t, milliseconds>> read;  // `after` and the end of the wait.
  std::optional<std::size_t> transfer_from;
  std::uint64_t announced = 1;  // Highest known version sent to its neighbours.
  bool is_down = false;
  bool is_store_silent = false;  // Its reads are never answered.
};

// Runs the fetch plans of all nodes against a store and counts reads and copies on the paid link.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t size, const RegionId& store_region) : m_random(5) {
    const std::vector<FleetNode> fleet = test::MakeFleet(size);
    std::map<BackendServerId, std::size_t> index_of;
    for (const FleetNode& node : fleet) {
      index_of[node.id] = m_nodes.size();
      m_nodes.push_back({node, FetchPlan(node), 1, {}, {}, 1, false, false});
      const ReaderAssignment assignment = ReaderAssignmentOf(fleet, node, store_region);
      m_nodes.back().plan.SetAssignment(assignment, At(m_now));
      m_nodes.back().plan.RecordHeld(1);
    }
    m_neighbours.resize(size);
    for (const auto& [id, neighbours] : Overlay::Build(fleet)) {
      for (const BackendServerId& other : neighbours) {
        m_neighbours[index_of.at(id)].push_back(index_of.at(other));
      }
    }
    // The readers of a region are linked with each other.
    for (const RegionId& region : {RegionId("near"), RegionId("far")}) {
      const std::vector<BackendServerId> readers = RegionReaders(fleet, region, store_region);
      for (const BackendServerId& left : readers) {
        for (const BackendServerId& right : readers) {
          auto& links = m_neighbours[index_of.at(left)];
          const std::size_t other = index_of.at(right);
          if (left != right && std::find(links.begin(), links.end(), other) == links.end()) {
            links.push_back(other);
          }
        }
      }
    }
  }

  std::vector<SimulatedNode>& Nodes() { return m_nodes; }
  std::size_t Reads() const { return m_reads; }
  std::size_t PaidCopies() const { return m_paid_copies; }

  void Change() { ++m_store_version; }

  void Run(milliseconds duration) {
    for (const milliseconds end = m_now + duration; m_now < end; m_now += kStep) Step();
  }

  bool AllHold(std::uint64_t version) const {
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const SimulatedNode& node) {
      return node.is_down || node.version == version;
    });
  }

 private:
  void Step() {
    std::vector<std::size_t> changed;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      SimulatedNode& node = m_nodes[index];
      if (node.is_down) continue;
      const std::uint64_t known = node.plan.HighestKnown();
      const bool has_changed = Read(node) || Transfer(node);
      if (has_changed || node.announced < known) changed.push_back(index);
      node.announced = known;
    }
    for (const std::size_t index : changed) Announce(index);
  }

  // Returns true if the node received a new version.
  bool Read(SimulatedNode& node) {
    const auto due = node.plan.StoreReadDue(At(m_now));
    if (due) {
      node.is_store_silent = node.is_store_silent && !node.read;  // A second connection works.
      node.plan.OnStoreReadStarted(At(m_now));
      ++m_reads;
      node.read = {due->after, m_now + due->wait};
      return false;
    }
    if (!node.read) return false;
    if (node.is_store_silent) return false;
    if (m_store_version > node.read->first) {
      node.read.reset();
      if (node.node.region != near_region) ++m_paid_copies;
      node.plan.OnStoreReadChanged(At(m_now));
      return Accept(node, m_store_version);
    }
    if (m_now < node.read->second) return false;
    node.read.reset();
    node.plan.OnStoreReadUnchanged(At(m_now));
    return false;
  }

  bool Transfer(SimulatedNode& node) {
    if (node.transfer_from) {
      const SimulatedNode& from = m_nodes[*std::exchange(node.transfer_from, std::nullopt)];
      if (from.node.region != node.node.region) ++m_paid_copies;
      return !from.is_down && Accept(node, from.version);
    }
    const auto peer = node.plan.PeerToQuery(m_random, At(m_now));
    if (!peer) return false;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      if (m_nodes[index].node.id == *peer) node.transfer_from = index;
    }
    return false;
  }

  bool Accept(SimulatedNode& node, std::uint64_t version) {
    if (version <= node.version) return false;
    node.version = version;
    node.plan.RecordHeld(version);
    return true;
  }

  void Announce(std::size_t from) {
    for (const std::size_t to : m_neighbours[from]) {
      m_nodes[to].plan.RecordPeerVersion(m_nodes[from].node, m_nodes[from].version, At(m_now));
      m_nodes[to].plan.RecordReportedVersion(m_nodes[from].plan.HighestKnown(), At(m_now));
    }
  }

  std::vector<SimulatedNode> m_nodes;
  std::vector<std::vector<std::size_t>> m_neighbours;
  RandomSource m_random;
  milliseconds m_now{0};
  std::uint64_t m_store_version = 1;
  std::size_t m_reads = 0;
  std::size_t m_paid_copies = 0;
};

// Readers of both regions if the store is in one of them, and if its region is unknown.
constexpr std::size_t kReaders = kReadersNearStore + kReadersFarFromStore;
constexpr std::size_t kReadersOfUnknownStore = 2 * kReadersNearStore;

}  // namespace

class PropagationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropagationTest);
  CPPUNIT_TEST(ChangeIsInForceWithinFiveSeconds);
  CPPUNIT_TEST(ReadsStayWithinFormula);
  CPPUNIT_TEST(OneCopyPerFarRegionAndChange);
  CPPUNIT_TEST(SilentFirstReaderDelaysNoChange);
  CPPUNIT_TEST(DeadReadersDelayNoChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeIsInForceWithinFiveSeconds() {
    for (const std::size_t size : {9U, 20U, 200U, 1200U}) {
      SimulatedFleet fleet(size, near_region);
      fleet.Run(seconds(1));
      fleet.Change();
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), fleet.AllHold(2));
    }
  }

  // Store reads per second must stay <= readers x (1/30 + changes per second).
  void ReadsStayWithinFormula() {
    constexpr std::size_t kSeconds = 300;
    constexpr std::size_t kChanges = 6;
    for (const RegionId& store_region : {near_region, RegionId()}) {
      SimulatedFleet fleet(1200, store_region);
      for (std::size_t change = 0; change < kChanges; ++change) {
        fleet.Run(seconds(kSeconds / kChanges));
        fleet.Change();
      }
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT(fleet.AllHold(1 + kChanges));
      const std::size_t readers = store_region.IsEmpty() ? kReadersOfUnknownStore : kReaders;
      const std::size_t bound = readers * ((kSeconds + 5) / 30 + 1 + kChanges);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.Reads()), fleet.Reads() <= bound);
    }
  }

  // A change crosses the paid link at most once per reader in remote regions, and only once if the
  // store's region is configured.
  void OneCopyPerFarRegionAndChange() {
    constexpr std::size_t kChanges = 5;
    SimulatedFleet known(1200, near_region);
    SimulatedFleet unknown(1200, RegionId());
    for (SimulatedFleet* fleet : {&known, &unknown}) {
      for (std::size_t change = 0; change < kChanges; ++change) {
        fleet->Run(seconds(7));
        fleet->Change();
      }
      fleet->Run(seconds(7));
      CPPUNIT_ASSERT(fleet->AllHold(1 + kChanges));
    }
    CPPUNIT_ASSERT_EQUAL(kChanges, known.PaidCopies());
    CPPUNIT_ASSERT(unknown.PaidCopies() <= kChanges * kReadersNearStore);
  }

  // Guards against a region that waits for a reader whose connection to the store has gone silent.
  void SilentFirstReaderDelaysNoChange() {
    SimulatedFleet fleet(1200, near_region);
    for (SimulatedNode& node : fleet.Nodes()) {
      const bool is_far = node.node.region != near_region;
      node.is_store_silent = is_far && node.plan.Role() == ReaderRole::kWatcher;
    }
    fleet.Run(seconds(1));
    fleet.Change();
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.AllHold(2));
    CPPUNIT_ASSERT(fleet.PaidCopies() <= kReadersFarFromStore);
  }

  // Guards against a change that is delayed until the loss of a reader is detected: here all
  // readers of each region but one are down and no node has detected it yet.
  void DeadReadersDelayNoChange() {
    SimulatedFleet fleet(1200, near_region);
    std::set<RegionId> spared;
    for (SimulatedNode& node : fleet.Nodes()) {
      if (node.plan.Role() == ReaderRole::kFollower) continue;
      node.is_down = !spared.insert(node.node.region).second;
    }
    fleet.Run(seconds(1));
    fleet.Change();
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.AllHold(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropagationTest);

}  // namespace damaskhollow
