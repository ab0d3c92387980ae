#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

#include "configuration/inventoryhold.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

TimePoint At(milliseconds since_start) {
  return TimePoint(std::chrono::seconds(1000)) + since_start;
}

// A list of the servers named by single letters; a capital stands for one that leaves.
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

struct HoldRow {
  std::string_view name;
  std::string before;
  std::string after;        // Taken 100 ms later.
  milliseconds held_until;  // 100 ms: nothing is held.
};

const std::array hold_rows{
    HoldRow{"left without notice", "abcdefgh", "abcdefg", milliseconds(1100)},
    HoldRow{"announced its leaving", "abcdefgH", "abcdefg", milliseconds(100)},
    HoldRow{"lapsed with others", "abcdefgh", "abcdef", milliseconds(2100)},
    HoldRow{"few of many", "abcdefghijkl", "abcdefghij", milliseconds(1100)},
    HoldRow{"nothing left", "abc", "", milliseconds(2100)},
};

void TestHold(const HoldRow& row) {
  InventoryHold hold;
  hold.Take(ListOf(row.before), At(milliseconds(0)));
  hold.Take(ListOf(row.after), At(milliseconds(100)));
  const bool is_held = row.held_until > milliseconds(100);
  CPPUNIT_ASSERT_EQUAL(is_held, hold.NextEnd().has_value());
  const auto size = [&](milliseconds time) { return hold.Current(At(time)).inventory->size(); };
  CPPUNIT_ASSERT_EQUAL(is_held ? row.before.size() : row.after.size(),
                       size(row.held_until - milliseconds(1)));
  CPPUNIT_ASSERT_EQUAL(row.after.size(), size(row.held_until));
  hold.Expire(At(row.held_until));
  CPPUNIT_ASSERT(!hold.NextEnd());
}

const test::TableTest<HoldRow> hold_test("InventoryHold", hold_rows, TestHold);

}  // namespace

class InventoryHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InventoryHoldTest);
  CPPUNIT_TEST(LaterListsDoNotProlongAHold);
  CPPUNIT_TEST(ServerThatReturnsIsNotHeld);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a server that is used beyond its time because lists go on changing (DRAIN on
  // slamplan-mesh, hunt-c706-19).
  void LaterListsDoNotProlongAHold() {
    InventoryHold hold;
    hold.Take(ListOf("abcdefgh"), At(milliseconds(0)));
    hold.Take(ListOf("abcdefg"), At(milliseconds(0)));
    hold.Take(ListOf("abcdefgi"), At(milliseconds(900)));
    CPPUNIT_ASSERT(hold.NextEnd() == At(milliseconds(1000)));
  }

  void ServerThatReturnsIsNotHeld() {
    InventoryHold hold;
    hold.Take(ListOf("ab"), At(milliseconds(0)));
    hold.Take(ListOf("a"), At(milliseconds(0)));
    hold.Take(ListOf("ab"), At(milliseconds(10)));
    CPPUNIT_ASSERT(!hold.NextEnd());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hold.Current(At(milliseconds(10))).inventory->size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InventoryHoldTest);

}  // namespace damaskhollow
