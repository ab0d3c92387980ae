#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "auto/control/testdocument.h"
#include "auto/fleet/testfleet.h"
#include "configuration/readerelection.h"
#include "control/documentsync.h"
#include "fleet/overlay.h"

namespace damaskhollow {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionId near_region("near");
// The platform's time within which a confirmed version must be in force.
constexpr seconds kInForce{4};
constexpr milliseconds kStep{10};
// Of VMs with a tenth of a core: 20 Mbit/s, and the check of 1,400 routes.
constexpr double kLinkBytesPerSecond = 2.5e6;
constexpr milliseconds kCheckTime{100};
constexpr std::size_t kRoutes = 1400;
constexpr std::size_t kAnnouncementBytes = 150;

// One node: its documents are exchanged by a real DocumentSync; the network, the processor and the
// configuration service are simulated.
struct SimulatedNode {
  SimulatedNode(const FleetNode& self, const DocumentSync::SendFunction& send)
      : node(self), sync(wire::DOCUMENT_CONFIGURATION, self, nullptr, holder, metrics, send) {}

  FleetNode node;
  MetricsRegistry metrics;
  test::TextHolder holder;
  DocumentSync sync;
  std::vector<std::size_t> neighbours;
  std::uint64_t announced = 1;
  TimePoint link_free{};       // When its link has sent what is queued.
  TimePoint processor_free{};  // When it has checked the last accepted version.
};

struct Message {
  std::size_t from;
  std::size_t to;
  wire::Envelope body;  // Without a body: the announcement of `version`.
  std::uint64_t version;
};

class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t size, std::size_t lost_links_percent) : m_random(17) {
    const std::vector<FleetNode> fleet = test::MakeFleet(size);
    std::map<BackendServerId, std::size_t> index_of;
    for (const FleetNode& node : fleet) index_of[node.id] = index_of.size();
    for (const FleetNode& node : fleet) {
      const std::size_t self = m_nodes.size();
      m_nodes.push_back(std::make_unique<SimulatedNode>(
          node, [this, self, index_of](const BackendServerId& peer, wire::Envelope message) {
            Send(self, index_of.at(peer), std::move(message), 0);
          }));
      SimulatedNode& added = *m_nodes.back();
      const ReaderAssignment assignment = ReaderAssignmentOf(fleet, node, near_region);
      if (assignment.role == ReaderRole::kWatcher) m_readers.push_back(self);
      added.sync.Plan().SetAssignment(assignment, m_now);
      added.holder.Set(1, test::RulesOf(4, ""));
      added.sync.Plan().RecordHeld(1);
    }
    for (const auto& [id, neighbours] : Overlay::Build(fleet)) {
      for (const BackendServerId& other : neighbours) {
        const std::size_t left = index_of.at(id);
        const std::size_t right = index_of.at(other);
        if (m_random.Below(100) < lost_links_percent && left < right) m_lost.insert({left, right});
        m_nodes[left]->neighbours.push_back(right);
      }
    }
  }

  // Publishes a version. The readers get it a little later.
  void Publish(std::uint64_t version, const std::string& text) {
    m_published[version] = m_now;
    for (const std::size_t reader : m_readers) m_reads.push_back({reader, version, text});
  }

  // Runs for `duration`. Fails if a node does not hold a version within its time.
  void Run(milliseconds duration) {
    for (const TimePoint end = m_now + duration; m_now < end; m_now += kStep) {
      Read();
      Deliver();
      for (std::size_t index = 0; index < m_nodes.size(); ++index) TickNode(index);
      CheckTimes();
    }
  }

 private:
  struct PendingRead {
    std::size_t reader;
    std::uint64_t version;
    std::string text;
  };

  void Read() {
    for (const PendingRead& read : std::exchange(m_reads, {})) {
      SimulatedNode& node = *m_nodes[read.reader];
      if (node.processor_free > m_now) {
        m_reads.push_back(read);
      } else if (read.version > node.holder.HeldVersion()) {
        node.holder.Set(read.version, read.text);
        node.sync.Plan().RecordHeld(read.version);
        node.processor_free = m_now + kCheckTime;
      }
    }
  }

  void Send(std::size_t from, std::size_t to, wire::Envelope body, std::uint64_t version) {
    if (m_lost.contains(std::minmax(from, to))) return;
    SimulatedNode& sender = *m_nodes[from];
    const double bytes = static_cast<double>(kAnnouncementBytes + body.ByteSizeLong());
    sender.link_free = std::max(sender.link_free, m_now) +
                       microseconds(static_cast<Duration::rep>(bytes / kLinkBytesPerSecond * 1e6));
    const bool is_far = sender.node.region != m_nodes[to]->node.region;
    const TimePoint arrival = sender.link_free + (is_far ? milliseconds(30) : milliseconds(1));
    m_messages.emplace(arrival, Message{from, to, std::move(body), version});
  }

  void Deliver() {
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
      auto entry = m_messages.extract(m_messages.begin());
      const Message& message = entry.mapped();
      SimulatedNode& node = *m_nodes[message.to];
      if (node.processor_free > m_now) {
        entry.key() = node.processor_free;
        m_messages.insert(std::move(entry));
        continue;
      }
      const FleetNode& sender = m_nodes[message.from]->node;
      const std::uint64_t before = node.holder.HeldVersion();
      if (message.body.has_configuration_query()) {
        Send(message.to, message.from, node.sync.AnswerQuery(message.body.configuration_query()),
             0);
      } else if (message.body.has_configuration_part()) {
        node.sync.HandlePart(sender.id, message.body.configuration_part(), m_now);
      } else {
        node.sync.Plan().RecordPeerVersion(sender, message.version, m_now);
      }
      if (node.holder.HeldVersion() > before) node.processor_free = m_now + kCheckTime;
    }
  }

  void TickNode(std::size_t index) {
    SimulatedNode& node = *m_nodes[index];
    if (node.processor_free > m_now) return;
    node.sync.Tick(m_now);
    const std::uint64_t version = node.holder.HeldVersion();
    if (std::exchange(node.announced, version) == version) return;
    for (const std::size_t neighbour : node.neighbours) Send(index, neighbour, {}, version);
  }

  void CheckTimes() const {
    std::uint64_t due = 1;
    for (const auto& [version, time] : m_published) {
      if (m_now - time >= kInForce) due = version;
    }
    for (const auto& node : m_nodes) {
      CPPUNIT_ASSERT_MESSAGE(node->node.id.Value() + " holds version " +
                                 std::to_string(node->holder.HeldVersion()) + " and not " +
                                 std::to_string(due),
                             node->holder.HeldVersion() >= due);
    }
  }

  std::vector<std::unique_ptr<SimulatedNode>> m_nodes;
  std::vector<std::size_t> m_readers;
  std::set<std::pair<std::size_t, std::size_t>> m_lost;
  std::vector<PendingRead> m_reads;
  std::multimap<TimePoint, Message> m_messages;  // By the time of arrival.
  std::map<std::uint64_t, TimePoint> m_published;
  RandomSource m_random;
  TimePoint m_now{seconds(1000)};
};

}  // namespace

class SeriesOfVersionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SeriesOfVersionsTest);
  CPPUNIT_TEST(ReachesEachNodeOfALargeFleetInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against confirmed changes that are late on large fleets, because rules of many routes
  // travel whole from node to node while new versions follow each other quickly.
  void ReachesEachNodeOfALargeFleetInTime() {
    constexpr std::uint64_t kVersions = 8;
    constexpr milliseconds kGap{330};
    for (const std::size_t lost_links_percent : {0U, 20U}) {
      SimulatedFleet fleet(200, lost_links_percent);
      for (std::uint64_t version = 2; version < 2 + kVersions; ++version) {
        fleet.Publish(version, test::RulesOf(kRoutes, std::to_string(version)));
        fleet.Run(kGap);
      }
      fleet.Run(kInForce + kGap);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SeriesOfVersionsTest);

}  // namespace damaskhollow
