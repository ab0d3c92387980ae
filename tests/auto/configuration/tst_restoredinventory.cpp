#include <cppunit/TestAssert.h>

#include <array>
#include <cctype>
#include <map>
#include <string>
#include <string_view>

#include "configuration/inventoryretention.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

TimePoint At(milliseconds since_start) {
  return TimePoint(std::chrono::seconds(1000)) + since_start;
}

// A list as it is read. Servers are named by single letters; an upper-case letter marks a leaving
// server, and a following digit the start of its incarnation.
struct ReadList {
  milliseconds at;
  std::uint64_t epoch;
  std::string_view servers;
};

VmList ListOf(const ReadList& read) {
  VmList list;
  list.epoch = read.epoch;
  list.inventory.emplace();
  for (const char character : read.servers) {
    if (std::isdigit(character) != 0) {
      list.inventory->back().started_ms = static_cast<std::uint64_t>(character - '0');
      continue;
    }
    BackendServer server;
    server.id = BackendServerId(std::string(1, static_cast<char>(std::tolower(character))));
    server.instance = "i-" + server.id.Value();
    list.entries.push_back({server.id, std::isupper(character) != 0});
    list.inventory->push_back(std::move(server));
  }
  return list;
}

// Returns the servers in the order of their names, in the form of ReadList.
std::string NamesOf(const VmList& list) {
  std::map<std::string, bool> leaving;
  for (const VmEntry& entry : list.entries) leaving[entry.server.Value()] = entry.leaving;
  std::string names;
  for (const auto& [name, is_leaving] : leaving) {
    names += is_leaving ? static_cast<char>(std::toupper(name[0])) : name[0];
  }
  return names;
}

struct RestorationRow {
  std::string_view name;
  std::array<ReadList, 4> lists;  // An epoch of 0 marks an unused place.
  milliseconds at;
  std::string_view expected;
};

constexpr milliseconds kStart{0};
constexpr milliseconds kSoon{100};
constexpr milliseconds kLater{5000};
constexpr milliseconds kMuchLater{70000};

const std::array restoration_rows{
    RestorationRow{"gone instance stays gone",
                   {{{kStart, 1, "ab"}, {kSoon, 1, "a"}, {kLater, 2, "ab"}}},
                   kLater,
                   "a"},
    RestorationRow{"leaving instance stays leaving",
                   {{{kStart, 1, "ab"}, {kSoon, 1, "aB"}, {kLater, 2, "ab"}}},
                   kLater,
                   "aB"},
    RestorationRow{"instance that left after its notice stays gone",
                   {{{kStart, 1, "aB"}, {kSoon, 1, "a"}, {kLater, 2, "ab"}}},
                   kLater,
                   "a"},
    RestorationRow{"new incarnation with the same name is used",
                   {{{kStart, 1, "ab1"}, {kSoon, 1, "a"}, {kLater, 2, "ab2"}}},
                   kLater,
                   "ab"},
    RestorationRow{"instance that returned before is used",
                   {{{kStart, 1, "aB"}, {kSoon, 1, "ab"}, {kLater, 2, "ab"}}},
                   kLater,
                   "ab"},
    RestorationRow{"instance that lapsed returns in the same epoch",
                   {{{kStart, 1, "ab"}, {kSoon, 1, "a"}, {kLater, 1, "ab"}}},
                   kLater,
                   "ab"},
    RestorationRow{
        "instance that lapsed and is written again in the new epoch is used",
        {{{kStart, 1, "ab"}, {kSoon, 1, "a"}, {kLater, 2, "a"}, {kLater + kSoon, 2, "ab"}}},
        kLater + kSoon,
        "ab"},
    RestorationRow{"what the copy lacks is retained",
                   {{{kStart, 1, "abcdefgh"}, {kSoon, 1, "abcdefgh"}, {kLater, 2, "abcdefg"}}},
                   kLater + milliseconds(1900),
                   "abcdefgh"},
    RestorationRow{"what was not written again is gone",
                   {{{kStart, 1, "abcdefgh"}, {kSoon, 1, "abcdefgh"}, {kLater, 2, "abcdefg"}}},
                   kLater + milliseconds(2000),
                   "abcdefg"},
    RestorationRow{"what was written again late is used",
                   {{{kStart, 1, "ab"}, {kSoon, 2, "a"}, {kLater, 2, "ab"}}},
                   kLater,
                   "ab"},
    RestorationRow{"departure is forgotten",
                   {{{kStart, 1, "ab"}, {kSoon, 1, "a"}, {kMuchLater, 2, "ab"}}},
                   kMuchLater,
                   "ab"},
};

// Guards against work for an instance that had left, because the service was restored from a copy
// in which it is still there, and against the loss of one that the copy lacks.
void TestRestoration(const RestorationRow& row) {
  InventoryRetention retention;
  for (const ReadList& read : row.lists) {
    if (read.epoch > 0) retention.Update(ListOf(read), At(read.at));
  }
  CPPUNIT_ASSERT_EQUAL(std::string(row.expected), NamesOf(retention.Current(At(row.at))));
}

const test::TableTest<RestorationRow> restoration_test("RestoredInventory", restoration_rows,
                                                       TestRestoration);

}  // namespace

}  // namespace damaskhollow
