#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "platform/storereader.h"
#include "support/fulllistener.h"
#include "support/scriptedserver.h"
#include "support/standinstore.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

using platform::FirstRead;
using platform::StoreItems;
using platform::StoreReader;
using platform::TranslatedDocument;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::StandInStore;

// Records the events of a reader.
class Events : public PlatformEvents {
 public:
  void OnPlatformChanged(std::uint64_t version, std::string_view text) override {
    m_version = version;
    m_texts.emplace_back(text);
  }
  void OnPlatformUnchanged() override { ++m_unchanged; }
  void OnPlatformFailed(std::string_view detail) override { m_failure = detail; }

  std::uint64_t Version() const { return m_version; }
  const std::vector<std::string>& Texts() const { return m_texts; }
  std::size_t Unchanged() const { return m_unchanged; }
  const std::string& Failure() const { return m_failure; }

 private:
  std::uint64_t m_version = 0;
  std::vector<std::string> m_texts;
  std::size_t m_unchanged = 0;
  std::string m_failure;
};

// Translates items to their values in key order, with ? for an unreadable value.
std::optional<TranslatedDocument> JoinValues(const StoreItems& items) {
  std::string text;
  for (const auto& [key, item] : items) text += item.unreadable ? "?" : item.value;
  return TranslatedDocument{0, text};
}

struct FailureRow {
  std::string_view name;
  StandInStore::Mode mode;
  std::string_view failure;
};

const std::array failure_rows{
    FailureRow{"busy", StandInStore::Mode::kBusy, "status 503"},
    FailureRow{"too many calls", StandInStore::Mode::kTooMany, "status 429"},
    FailureRow{"lost answer", StandInStore::Mode::kAborting, "backend_closed"},
    FailureRow{"silent connection", StandInStore::Mode::kSilent, "backend_timeout"},
};

// Guards against a read that never ends when the store fails; the store would then not be read
// again.
void TestFailure(const FailureRow& row) {
  StandInStore store;
  store.Put("servers/a", "A");
  store.SetMode(row.mode);
  Events events;
  StoreReader reader(store.Address(), "servers/", FirstRead::kCurrent, JoinValues, events);
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Failure().empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string(row.failure), events.Failure());
  store.SetMode(StandInStore::Mode::kServing);
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string("A"), events.Texts().back());
}

struct LongChangesRow {
  std::string_view name;
  std::size_t value_bytes;
  std::size_t changes;
};

constexpr std::array kLongChangesRows{LongChangesRow{"one value", 1048576, 1},
                                      LongChangesRow{"two values", 1048576, 2},
                                      LongChangesRow{"eight values", 1048576, 8}};

// Guards against a reader that cannot follow the store after several changes of a long value, as
// they do not fit into one response of a watch.
void TestLongChanges(const LongChangesRow& row) {
  StandInStore store;
  store.Put("op/config", "A");
  Events events;
  StoreReader reader(store.Address(), "op/", FirstRead::kCurrent, JoinValues, events);
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
  std::string value;
  for (std::size_t change = 0; change < row.changes; ++change) {
    value.assign(row.value_bytes, static_cast<char>('a' + change));
    store.Put("op/config", value);
  }
  reader.Start(StoreRead{events.Version(), seconds(30)});
  CPPUNIT_ASSERT_MESSAGE(events.Failure(),
                         test::WaitUntil([&] { return events.Texts().back() == value; }));
  CPPUNIT_ASSERT_EQUAL(std::string(), events.Failure());
}

struct ObservedRow {
  std::string_view name;
  bool is_put;  // Whether a key is written or, having been there from the start, deleted.
};

constexpr std::array kObservedRows{ObservedRow{"put", true}, ObservedRow{"deleted", false}};

// Guards against a change beside the document that no one is told of because the text of the
// document stays the same.
void TestObservedChange(const ObservedRow& row) {
  StandInStore store;
  store.Put("op/config", "A");
  if (!row.is_put) store.Put("op/evacuate/a", "{}");
  Events events;
  std::vector<std::pair<std::size_t, HistoryPosition>> observed;
  const auto translate = [](const StoreItems& items) {
    return TranslatedDocument{1, items.at("op/config").value};
  };
  StoreReader reader(store.Address(), "op/", FirstRead::kCurrent, translate, events,
                     [&](const StoreItems& items, const HistoryPosition& position) {
                       observed.emplace_back(items.size(), position);
                     });
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
  const std::pair before = observed.back();
  if (row.is_put) {
    store.Put("op/evacuate/a", "{}");
  } else {
    store.Delete("op/evacuate/a");
  }
  reader.Start(StoreRead{1, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return observed.back().first != before.first; }));
  CPPUNIT_ASSERT(observed.back().second > before.second);
}

const test::TableTest<ObservedRow> observed_test("StoreReaderObserver", kObservedRows,
                                                 TestObservedChange);
const test::TableTest<LongChangesRow> long_changes("LongChanges", kLongChangesRows,
                                                   TestLongChanges);

const test::TableTest<FailureRow> failure_test("StoreReaderFailure", failure_rows, TestFailure);

struct BrokenRow {
  std::string_view name;
  std::string response;
  std::string_view failure;
};

const std::string empty_page = "Content-Length: 2\r\n\r\n{}";
const std::array broken_rows{
    BrokenRow{"status 000", "HTTP/1.1 000 OK\r\n" + empty_page, "backend_malformed: status"},
    BrokenRow{"status 600", "HTTP/1.1 600 OK\r\n" + empty_page, "backend_malformed: status"},
    BrokenRow{"blank in a name", "HTTP/1.1 200 OK\r\nStore Era: 7\r\n" + empty_page,
              "backend_malformed: syntax"},
};

// Guards against a malformed response of the store that is used, and against a log that does not
// say what is wrong with it.
void TestBrokenResponse(const BrokenRow& row) {
  const test::ScriptedServer store({row.response}, test::ScriptedServer::End::kClose);
  Events events;
  StoreReader reader(store.Address(), "servers/", FirstRead::kCurrent, JoinValues, events);
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Failure().empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string(row.failure), events.Failure());
  CPPUNIT_ASSERT(events.Texts().empty());
}

const test::TableTest<BrokenRow> broken_test("StoreReaderBroken", broken_rows, TestBrokenResponse);

struct RestorationRow {
  std::string_view name;
  int lost_changes;   // Changes that the reader has seen and the restored store lacks.
  int other_changes;  // Changes of other keys after the restoration.
};

const std::array restoration_rows{
    RestorationRow{"revision not reached yet", 3, 0},
    RestorationRow{"revision reached by other keys", 3, 2},
    RestorationRow{"revision passed by other keys", 3, 9},
    RestorationRow{"nothing lost", 0, 0},
};

// Guards against a change that no reader returns, because it is watched for from a revision of the
// store's previous epoch.
void TestRestoration(const RestorationRow& row) {
  StandInStore store;
  store.Put("servers/a", "A");
  store.SaveCopy();
  for (int change = 0; change < row.lost_changes; ++change) store.Put("servers/b", "B");
  Events events;
  StoreReader reader(store.Address(), "servers/", FirstRead::kCurrent, JoinValues, events);
  reader.Start(StoreRead{0, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
  const std::uint64_t version = events.Version();
  reader.Start(StoreRead{version, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return store.Watches() == 1; }));
  store.Restore();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Failure().empty(); }));
  store.Put("servers/c", "C");
  for (int change = 0; change < row.other_changes; ++change) store.Put("other/x", "x");
  reader.Start(StoreRead{version, seconds(30)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return events.Texts().size() == 2; }));
  CPPUNIT_ASSERT_EQUAL(std::string("AC"), events.Texts().back());
  CPPUNIT_ASSERT(events.Version() > version);
  const std::size_t ranges = store.Ranges();
  reader.Start(StoreRead{events.Version(), seconds(30)});
  store.Put("servers/d", "D");
  CPPUNIT_ASSERT(test::WaitUntil([&] { return events.Texts().size() == 3; }));
  CPPUNIT_ASSERT_EQUAL(std::string("ACD"), events.Texts().back());
  CPPUNIT_ASSERT_EQUAL(ranges, store.Ranges());
}

const test::TableTest<RestorationRow> restoration_test("StoreReaderRestoration", restoration_rows,
                                                       TestRestoration);

}  // namespace

class StoreReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReaderTest);
  CPPUNIT_TEST(ReadsAllPages);
  CPPUNIT_TEST(WatchesChangesAndRemovals);
  CPPUNIT_TEST(ReadsTheRangeAgainAfterAGapInTheHistory);
  CPPUNIT_TEST(ChangeThatDoesNotMatterIsNoNewVersion);
  CPPUNIT_TEST(EmptyStoreIsWaitedFor);
  CPPUNIT_TEST(InvalidValueAffectsNoOtherItem);
  CPPUNIT_TEST(StaleFirstReadIsFollowedByCurrentOnes);
  CPPUNIT_TEST(EmptyStaleStateIsNotReported);
  CPPUNIT_TEST(WatchersGiveTheSameVersionToTheSameItems);
  CPPUNIT_TEST(CancelledReadHasNoEvent);
  CPPUNIT_TEST(PageThatDoesNotGoOnFails);
  CPPUNIT_TEST(ResponseOverTheLimitFailsAtOnce);
  CPPUNIT_TEST(PagesOfTwoEpochsAreNotMixed);
  CPPUNIT_TEST(ResponseOfAnOlderEpochFails);
  CPPUNIT_TEST(SameItemsOfALaterEpochAreANewerVersion);
  CPPUNIT_TEST(HangingConnectFailsBeforeTheCall);
  CPPUNIT_TEST(WatchOnASilentConnectionBreaks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsAllPages() {
    for (const char* key : {"servers/a", "servers/b", "servers/c", "servers/d", "servers/e"}) {
      m_store.Put(key, std::string(1, key[8]));
    }
    m_store.Put("other/x", "x");
    m_store.SetPageSize(2);
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), WaitForText());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_store.Ranges());
  }

  void WatchesChangesAndRemovals() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    const std::uint64_t first = m_events.Version();
    Start(first);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_store.Watches() > 0; }));
    m_store.Put("servers/b", "B");
    CPPUNIT_ASSERT_EQUAL(std::string("AB"), WaitForText());
    CPPUNIT_ASSERT(m_events.Version() > first);
    Start(m_events.Version());
    m_store.Delete("servers/a");
    CPPUNIT_ASSERT_EQUAL(std::string("B"), WaitForText());
  }

  // Guards against a reader that keeps outdated items when the store no longer has the history of
  // changes since its last read.
  void ReadsTheRangeAgainAfterAGapInTheHistory() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    m_store.Put("servers/b", "B");
    m_store.CompactHistory();
    Start(m_events.Version());
    CPPUNIT_ASSERT_EQUAL(std::string("AB"), WaitForText());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store.Ranges());
  }

  // Guards against distributing a new inventory to the entire fleet each time a server rewrites its
  // entry without a change (heartbeat).
  void ChangeThatDoesNotMatterIsNoNewVersion() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    const std::uint64_t version = m_events.Version();
    m_reader.Start(StoreRead{version, milliseconds(600)});
    m_store.Put("servers/a", "A");
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Unchanged() > 0; }));
    CPPUNIT_ASSERT_EQUAL(version, m_events.Version());
  }

  void EmptyStoreIsWaitedFor() {
    Start(0);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_store.Watches() > 0; }));
    m_store.Put("servers/a", "A");
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
  }

  // Guards against an old list that keeps out newer lists of peers, because it has the version of
  // the store, or because the epoch that the response names is later than that of its items.
  void StaleFirstReadIsFollowedByCurrentOnes() {
    m_store.Put("servers/a", "A");
    const std::uint64_t current_version = FirstVersion();
    m_store.FreezeStaleState();
    m_store.Put("servers/b", "B");
    Events events;
    StoreReader reader(m_store.Address(), "servers/", FirstRead::kMayBeStale, JoinValues, events);
    reader.Start(StoreRead{0, {}});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return events.Texts().size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("A"), events.Texts().back());
    const std::uint64_t stale_version = events.Version();
    CPPUNIT_ASSERT_EQUAL(PositionOf(current_version).revision, stale_version);
    CPPUNIT_ASSERT(stale_version < current_version);
    reader.Start(StoreRead{events.Version(), seconds(30)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return events.Texts().size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("AB"), events.Texts().back());
    CPPUNIT_ASSERT(events.Version() > current_version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.StaleRanges());
  }

  void EmptyStaleStateIsNotReported() {
    m_store.FreezeStaleState();
    m_store.Put("servers/a", "A");
    Events events;
    StoreReader reader(m_store.Address(), "servers/", FirstRead::kMayBeStale, JoinValues, events);
    reader.Start(StoreRead{0, {}});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("A"), events.Texts().back());
  }

  // Guards against a list that every node fetches twice, because two readers that saw the same
  // change at different times give it different versions.
  void WatchersGiveTheSameVersionToTheSameItems() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    Events other_events;
    StoreReader other(m_store.Address(), "servers/", FirstRead::kCurrent, JoinValues, other_events);
    other.Start(StoreRead{0, seconds(30)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return other_events.Texts().size() == 1; }));
    Start(m_events.Version());
    other.Start(StoreRead{other_events.Version(), seconds(30), milliseconds(600)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_store.Watches() == 1; }));
    m_store.Put("servers/b", "B");
    CPPUNIT_ASSERT_EQUAL(std::string("AB"), WaitForText());
    m_store.Put("other/x", "x");
    CPPUNIT_ASSERT(test::WaitUntil([&] { return other_events.Texts().size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(m_events.Version(), other_events.Version());
  }

  void CancelledReadHasNoEvent() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    Start(m_events.Version());
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_store.Watches() == 1; }));
    m_reader.Cancel();
    m_store.Put("servers/b", "B");
    Events probe;
    StoreReader other(m_store.Address(), "servers/", FirstRead::kCurrent, JoinValues, probe);
    other.Start(StoreRead{0, {}});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return probe.Texts().size() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.Texts().size());
    CPPUNIT_ASSERT(m_events.Failure().empty());
  }

  // Guards against reading the same page of a range for ever.
  void PageThatDoesNotGoOnFails() {
    for (const char* key : {"servers/a", "servers/b", "servers/c"}) m_store.Put(key, "x");
    m_store.SetPageSize(2);
    m_store.RepeatFirstPage();
    Start(0);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !m_events.Failure().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("page does not go on"), m_events.Failure());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_store.Ranges());
  }

  // Guards against a response that is too long to be read whole and ends only at the time-out.
  void ResponseOverTheLimitFailsAtOnce() {
    m_store.Put("servers/a", std::string(4UL * 1024UL * 1024UL, 'x'));
    Start(0);
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !m_events.Failure().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("response is longer than 4 MB"), m_events.Failure());
  }

  // Guards against a list that never existed, made of pages from before and after a restoration.
  void PagesOfTwoEpochsAreNotMixed() {
    for (const char* key : {"servers/a", "servers/c", "servers/d"}) m_store.Put(key, key + 8);
    m_store.SaveCopy();
    m_store.Put("servers/b", "b");
    m_store.SetPageSize(2);
    m_store.RestoreAfterNextPage();
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("acd"), WaitForText());
  }

  // Guards against a return to the state before a restoration by a response that comes late.
  void ResponseOfAnOlderEpochFails() {
    m_store.SetEpoch(2);
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    m_store.SetEpoch(1);
    m_store.Put("servers/a", "B");
    Start(m_events.Version());
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !m_events.Failure().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("response of an older epoch"), m_events.Failure());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.Texts().size());
  }

  // Guards against a node that learns of a change only when its watch has timed out, because the
  // open connection has gone silent while new ones work.
  void WatchOnASilentConnectionBreaks() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    Start(m_events.Version());
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_store.Watches() == 1; }));
    m_store.MakeOpenConnectionsUnresponsive();
    m_store.Put("servers/b", "B");
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !m_events.Failure().empty(); }));
    // The connection broke before the watch timed out.
    CPPUNIT_ASSERT_EQUAL(std::string("backend_closed"), m_events.Failure());
    Start(m_events.Version());
    CPPUNIT_ASSERT_EQUAL(std::string("AB"), WaitForText());
  }

  // Guards against a reader that never reports what it reads, because it read the same items in an
  // earlier epoch and other nodes have held others since.
  void SameItemsOfALaterEpochAreANewerVersion() {
    m_store.Put("servers/a", "A");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    const std::uint64_t version = m_events.Version();
    m_store.SetEpoch(2);
    m_expected = m_events.Texts().size() + 1;
    m_reader.Start(StoreRead{version, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("A"), WaitForText());
    CPPUNIT_ASSERT(m_events.Version() > version);
  }

  // Guards against a watch that lasts until its time-out because its connection was never opened,
  // and against one that is opened late, when the store may have been restored.
  void HangingConnectFailsBeforeTheCall() {
    test::FullListener listener;
    Events events;
    StoreReader reader(listener.Address(), "servers/", FirstRead::kCurrent, JoinValues, events);
    reader.Start(StoreRead{0, {}});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Failure().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("backend_unreachable"), events.Failure());
  }

  void InvalidValueAffectsNoOtherItem() {
    m_store.Put("servers/a", "A");
    m_store.PutEncoded("servers/b", "*no base64*");
    m_store.Put("servers/c", "C");
    Start(0);
    CPPUNIT_ASSERT_EQUAL(std::string("A?C"), WaitForText());
  }

 private:
  // Returns the version of the present items as a current read gives it.
  std::uint64_t FirstVersion() {
    Events events;
    StoreReader reader(m_store.Address(), "servers/", FirstRead::kCurrent, JoinValues, events);
    reader.Start(StoreRead{0, {}});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !events.Texts().empty(); }));
    return events.Version();
  }

  void Start(std::uint64_t after) {
    m_expected = m_events.Texts().size() + 1;
    m_reader.Start(StoreRead{after, seconds(30)});
  }

  std::string WaitForText() {
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Texts().size() >= m_expected; }));
    return m_events.Texts().back();
  }

  StandInStore m_store;
  Events m_events;
  StoreReader m_reader{m_store.Address(), "servers/", FirstRead::kCurrent, JoinValues, m_events};
  std::size_t m_expected = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReaderTest);

}  // namespace damaskhollow
