#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "auto/control/testdocument.h"
#include "control/documentsync.h"

namespace damaskhollow {

namespace {

using test::RulesOf;
using test::TextHolder;

const FleetNode holder_node{BackendServerId("holder"), RegionId("r"), DataCentreId("d")};
const FleetNode asking_node{BackendServerId("asking"), RegionId("r"), DataCentreId("d")};

constexpr TimePoint kTime{std::chrono::seconds(100)};

// One node's copy of the VM list, which records what it sends.
struct Node {
  explicit Node(const FleetNode& self)
      : sync(wire::DOCUMENT_VM_LIST, self, nullptr, holder, metrics,
             [this](const BackendServerId&, wire::Envelope message) {
               sent.push_back(std::move(message));
             }) {}

  MetricsRegistry metrics;
  TextHolder holder;
  std::vector<wire::Envelope> sent;
  DocumentSync sync;
};

std::string ListOf(std::size_t entries, const std::string& suffix) {
  std::string text;
  for (std::size_t entry = 0; entry < entries; ++entry) {
    text += "{\"id\":\"10.1.0." + std::to_string(entry) + "\",\"service\":\"portail\"" +
            (entry == 1 ? suffix : "") + "}\n";
  }
  return text;
}

}  // namespace

class DocumentSyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentSyncTest);
  CPPUNIT_TEST(ChangeCostsTheSameInAnyFleet);
  CPPUNIT_TEST(ChangeOfOneRouteCostsTheSameWithAnyNumberOfRoutes);
  CPPUNIT_TEST(NewRulesOfManyRoutesNeedOnePart);
  CPPUNIT_TEST(SeriesOfVersionsDoesNotRestartATransfer);
  CPPUNIT_TEST(CompressedTextThatIsWrongIsRefused);
  CPPUNIT_TEST(UnknownBaseIsSentWhole);
  CPPUNIT_TEST(ChangeThatDoesNotApplyIsFollowedByTheWhole);
  CPPUNIT_TEST(ChangesInARowAreAppliedInOrder);
  CPPUNIT_TEST(TextThatIsHeldIsNotSentAgain);
  CPPUNIT_TEST(VersionOfAnotherTextIsNoBase);
  CPPUNIT_TEST(LongestTextArrivesInParts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change of one entry that costs each node the list of the whole fleet.
  void ChangeCostsTheSameInAnyFleet() {
    constexpr std::size_t kMaxBytesOfAChange = 200;
    for (const std::size_t entries : {10U, 80U, 195U, 1200U}) {
      Node holder(holder_node);
      Node asking(asking_node);
      Hold(holder, 1, ListOf(entries, ""));
      FetchWhole(asking, holder);
      Hold(holder, 2, ListOf(entries, ",\"state\":\"leaving\""));
      const std::size_t bytes = Fetch(asking, holder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < kMaxBytesOfAChange);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, asking.holder.HeldVersion());
      CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
    }
  }

  // Guards against rules that travel whole from node to node, so that confirmed changes in quick
  // succession are in force late on large fleets.
  void ChangeOfOneRouteCostsTheSameWithAnyNumberOfRoutes() {
    constexpr std::size_t kMaxBytesOfAChange = 400;
    for (const std::size_t routes : {10U, 100U, 1400U, 3000U}) {
      Node holder(holder_node);
      Node asking(asking_node);
      Hold(holder, 1, RulesOf(routes, ""));
      Fetch(asking, holder);
      Hold(holder, 2, RulesOf(routes, "new"));
      const std::size_t bytes = Fetch(asking, holder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < kMaxBytesOfAChange);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, asking.holder.HeldVersion());
      CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
    }
  }

  // Guards against long new rules that take many round trips and most of a link for each node.
  void NewRulesOfManyRoutesNeedOnePart() {
    for (const std::size_t routes : {400U, 1400U, 2500U}) {
      Node holder(holder_node);
      Node asking(asking_node);
      Hold(asking, 1, RulesOf(4, ""));
      Hold(holder, 2, RulesOf(routes, ""));
      const std::size_t bytes = Fetch(asking, holder);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < kPartBytes);
      CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
    }
  }

  // Guards against a node that gets no version at all as long as new ones come more quickly than it
  // can fetch one, because each of them starts its transfer anew.
  void SeriesOfVersionsDoesNotRestartATransfer() {
    constexpr std::size_t kTextBytes = 6 * kPartBytes;
    constexpr std::size_t kMaxQueries = 10;
    RandomSource random(7);
    std::string text;
    while (text.size() < kTextBytes) text += static_cast<char>(random.Below(256));
    Node holder(holder_node);
    Node asking(asking_node);
    std::uint64_t version = 1;
    Hold(holder, version, text);
    asking.sync.Plan().RecordPeerVersion(holder_node, version, kTime);
    asking.sync.Tick(kTime);
    for (std::size_t queries = 0; !asking.sent.empty() && queries < kMaxQueries; ++queries) {
      Answer(asking, holder);
      ++version;
      Hold(holder, version, text + std::to_string(version));
    }
    CPPUNIT_ASSERT(asking.holder.HeldVersion() > 0);
    Fetch(asking, holder);
    CPPUNIT_ASSERT_EQUAL(version, asking.holder.HeldVersion());
    CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
  }

  // Guards against a peer whose compressed text is damaged, or longer than it says or than is
  // allowed, and against the memory that it would take.
  void CompressedTextThatIsWrongIsRefused() {
    const std::string text(4 * kMaxConfigurationBytes, 'x');
    const std::string packed = CompressText(text);
    struct Row {
      std::string data;
      std::size_t uncompressed;
    };
    const std::array rows{Row{"no compressed text", 1000},
                          Row{packed, 1000},
                          Row{packed, kMaxConfigurationBytes},
                          Row{packed, text.size()},
                          Row{packed, static_cast<std::size_t>(-1)},
                          Row{packed.substr(0, packed.size() / 2), kMaxConfigurationBytes}};
    for (const Row& row : rows) {
      Node asking(asking_node);
      Hold(asking, 1, "before");
      asking.sync.Plan().RecordPeerVersion(holder_node, 2, kTime);
      asking.sync.Tick(kTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asking.sent.size());
      wire::ConfigurationPart part;
      part.set_document(wire::DOCUMENT_VM_LIST);
      part.set_version(2);
      part.set_total(row.data.size());
      part.set_uncompressed(row.uncompressed);
      part.set_data(row.data);
      asking.sync.HandlePart(holder_node.id, part, kTime);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, asking.holder.HeldVersion());
      // The peer is not asked again at once.
      asking.sync.Tick(kTime);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asking.sent.size());
    }
  }

  // The versions that the other node has not held, or has forgotten.
  void UnknownBaseIsSentWhole() {
    Node holder(holder_node);
    Node asking(asking_node);
    Hold(holder, 1, ListOf(50, ""));
    Fetch(asking, holder);
    for (std::uint64_t version = 2; version < 12; ++version) {
      Hold(holder, version, ListOf(50, std::to_string(version)));
    }
    FetchWhole(asking, holder);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, asking.holder.HeldVersion());
    CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
  }

  // Guards against losing the list in force, or following the wrong one, because of a change that
  // belongs to another text.
  void ChangeThatDoesNotApplyIsFollowedByTheWhole() {
    struct Row {
      std::uint64_t base_version;
      std::uint64_t version;
      std::uint32_t first_piece;
    };
    constexpr std::array kRows{Row{1, 2, 4000000000U}, Row{7, 2, 0}, Row{1, 1, 0}, Row{1, 2, 0}};
    for (const Row& row : kRows) {
      Node holder(holder_node);
      Node asking(asking_node);
      Hold(holder, 1, ListOf(50, ""));
      Fetch(asking, holder);
      const std::string before(asking.holder.HeldText());
      Hold(holder, 2, ListOf(50, "x"));
      asking.sync.Plan().RecordPeerVersion(holder_node, 2, kTime);
      asking.sync.Tick(kTime);
      wire::ConfigurationPart bad;
      bad.set_document(wire::DOCUMENT_VM_LIST);
      bad.set_version(row.version);
      bad.set_base_version(row.base_version);
      bad.mutable_change()->add_segments()->set_first_piece(row.first_piece);
      asking.sent.clear();
      asking.sync.HandlePart(holder_node.id, bad, kTime);
      CPPUNIT_ASSERT(asking.holder.HeldText() == before);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asking.sent.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           std::uint64_t{asking.sent[0].configuration_query().base_version()});
      Deliver(asking, holder);
      CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
    }
  }

  // Guards against sending the whole list to each node whose copy has the same text but another
  // version, as after a restoration of the store.
  void TextThatIsHeldIsNotSentAgain() {
    Node holder(holder_node);
    Node asking(asking_node);
    Hold(holder, 8, ListOf(50, ""));
    Hold(asking, 3, ListOf(50, ""));
    CPPUNIT_ASSERT(Fetch(asking, holder) < 200);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, asking.holder.HeldVersion());
    CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
  }

  // Guards against a change of a text that the asking node does not hold, because both nodes give
  // the same version to different texts.
  void VersionOfAnotherTextIsNoBase() {
    Node holder(holder_node);
    Node asking(asking_node);
    Hold(holder, 3, ListOf(50, "a"));
    Hold(holder, 4, ListOf(50, "b"));
    Hold(asking, 3, ListOf(50, "c"));
    asking.sync.Plan().RecordPeerVersion(holder_node, 4, kTime);
    asking.sync.Tick(kTime);
    const wire::Envelope answer = holder.sync.AnswerQuery(asking.sent[0].configuration_query());
    CPPUNIT_ASSERT(!answer.configuration_part().has_change());
    Deliver(asking, holder);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, asking.holder.HeldVersion());
    CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
  }

  // Guards against a text of the allowed length that no peer can fetch, whole or after a change of
  // most of it, and against a single message that takes up a link for long.
  void LongestTextArrivesInParts() {
    constexpr std::size_t kMaxMessageBytes = 600UL * 1024UL;
    Node holder(holder_node);
    Node asking(asking_node);
    for (const char* salt : {"a", "b"}) {
      // Half of the routes differ in both texts.
      std::string text = RulesOf(12000, "") + RulesOf(12000, "", salt);
      CPPUNIT_ASSERT(text.size() < kMaxConfigurationBytes);
      text.resize(kMaxConfigurationBytes, ' ');
      Hold(holder, holder.holder.HeldVersion() + 1, text);
      asking.sync.Plan().RecordPeerVersion(holder_node, holder.holder.HeldVersion(), kTime);
      asking.sync.Tick(kTime);
      while (!asking.sent.empty()) CPPUNIT_ASSERT(Answer(asking, holder) < kMaxMessageBytes);
      CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
    }
  }

  void ChangesInARowAreAppliedInOrder() {
    Node holder(holder_node);
    Node asking(asking_node);
    Hold(holder, 1, ListOf(50, ""));
    Fetch(asking, holder);
    Hold(holder, 2, ListOf(50, "b"));
    Hold(holder, 3, ListOf(50, "c"));
    CPPUNIT_ASSERT(Fetch(asking, holder) < 200);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, asking.holder.HeldVersion());
    CPPUNIT_ASSERT(asking.holder.HeldText() == holder.holder.HeldText());
  }

 private:
  static void Hold(Node& node, std::uint64_t version, std::string text) {
    node.holder.Set(version, std::move(text));
    node.sync.Plan().RecordHeld(version);
    node.sync.Tick(kTime);
  }

  // Answers the queries of `asking` until it asks no more. Returns the bytes of the answers.
  static std::size_t Deliver(Node& asking, Node& holder) {
    std::size_t bytes = 0;
    while (!asking.sent.empty()) bytes += Answer(asking, holder);
    return bytes;
  }

  // Answers the oldest query of `asking`. Returns the bytes of the answer.
  static std::size_t Answer(Node& asking, Node& holder) {
    const wire::Envelope query = asking.sent.front();
    asking.sent.erase(asking.sent.begin());
    const wire::Envelope answer = holder.sync.AnswerQuery(query.configuration_query());
    asking.sync.HandlePart(holder_node.id, answer.configuration_part(), kTime);
    return answer.ByteSizeLong();
  }

  // Fetches what `holder` holds, and fails if a part of it is sent as a change.
  static void FetchWhole(Node& asking, Node& holder) {
    asking.sync.Plan().RecordPeerVersion(holder_node, holder.holder.HeldVersion(), kTime);
    asking.sync.Tick(kTime);
    while (!asking.sent.empty()) {
      const wire::ConfigurationQuery query = asking.sent.front().configuration_query();
      CPPUNIT_ASSERT(!holder.sync.AnswerQuery(query).configuration_part().has_change());
      Answer(asking, holder);
    }
  }

  static std::size_t Fetch(Node& asking, Node& holder) {
    asking.sync.Plan().RecordPeerVersion(holder_node, holder.holder.HeldVersion(), kTime);
    asking.sync.Tick(kTime);
    return Deliver(asking, holder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentSyncTest);

}  // namespace damaskhollow
