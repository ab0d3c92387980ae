#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

#include "configuration/inventoryretention.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

TimePoint At(milliseconds since_start) {
  return TimePoint(std::chrono::seconds(1000)) + since_start;
}

// Returns a list of the servers named by single letters; an upper-case letter marks a leaving
// server.
VmList ListOf(const std::string& names) {
  VmList list;
  list.inventory.emplace();
  for (const char name : names) {
    const bool is_leaving = name >= 'A' && name <= 'Z';
    const BackendServerId id(
        std::string(1, is_leaving ? static_cast<char>(name - 'A' + 'a') : name));
    BackendServer server;
    server.id = id;
    list.inventory->push_back(server);
    list.entries.push_back({id, is_leaving});
  }
  return list;
}

struct RetentionRow {
  std::string_view name;
  std::string before;
  std::string after;            // The list that is set 100 ms later.
  milliseconds retained_until;  // 100 ms means that nothing is retained.
};

const std::array retention_rows{
    RetentionRow{"left without notice", "abcdefgh", "abcdefg", milliseconds(1100)},
    RetentionRow{"announced its leaving", "abcdefgH", "abcdefg", milliseconds(100)},
    RetentionRow{"lapsed with others", "abcdefgh", "abcdef", milliseconds(2100)},
    RetentionRow{"few of many", "abcdefghijkl", "abcdefghij", milliseconds(1100)},
    RetentionRow{"nothing left", "abc", "", milliseconds(2100)},
};

void TestRetention(const RetentionRow& row) {
  InventoryRetention retention;
  retention.Update(ListOf(row.before), At(milliseconds(0)));
  retention.Update(ListOf(row.after), At(milliseconds(100)));
  const bool is_retained = row.retained_until > milliseconds(100);
  CPPUNIT_ASSERT_EQUAL(is_retained, retention.NextExpiry().has_value());
  const auto size = [&](milliseconds time) {
    return retention.Current(At(time)).inventory->size();
  };
  CPPUNIT_ASSERT_EQUAL(is_retained ? row.before.size() : row.after.size(),
                       size(row.retained_until - milliseconds(1)));
  CPPUNIT_ASSERT_EQUAL(row.after.size(), size(row.retained_until));
  retention.RemoveExpired(At(row.retained_until));
  CPPUNIT_ASSERT(!retention.NextExpiry());
}

const test::TableTest<RetentionRow> retention_test("InventoryHold", retention_rows, TestRetention);

}  // namespace

class InventoryHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InventoryHoldTest);
  CPPUNIT_TEST(LaterListsDoNotProlongAHold);
  CPPUNIT_TEST(ServerThatReturnsIsNotHeld);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a removed server that is used beyond its grace period because each further list
  // extends it (found in a run of DRAIN on slamplan-mesh, hunt-c706-19).
  void LaterListsDoNotProlongAHold() {
    InventoryRetention retention;
    retention.Update(ListOf("abcdefgh"), At(milliseconds(0)));
    retention.Update(ListOf("abcdefg"), At(milliseconds(0)));
    retention.Update(ListOf("abcdefgi"), At(milliseconds(900)));
    CPPUNIT_ASSERT(retention.NextExpiry() == At(milliseconds(1000)));
  }

  void ServerThatReturnsIsNotHeld() {
    InventoryRetention retention;
    retention.Update(ListOf("ab"), At(milliseconds(0)));
    retention.Update(ListOf("a"), At(milliseconds(0)));
    retention.Update(ListOf("ab"), At(milliseconds(10)));
    CPPUNIT_ASSERT(!retention.NextExpiry());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, retention.Current(At(milliseconds(10))).inventory->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InventoryHoldTest);

}  // namespace damaskhollow
