#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/evacuations.h"
#include "platform/evacuationtranslator.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using platform::EvacuationTranslator;
using platform::StoreItem;
using platform::StoreItems;

using Names = std::vector<std::string_view>;

EvacuationSet SetOf(std::uint64_t version, const Names& names) {
  EvacuationSet set;
  set.version = version;
  for (const std::string_view name : names) {
    set.data_centres.insert(DataCentreId(std::string(name)));
  }
  return set;
}

struct OfferRow {
  std::string_view name;
  std::vector<EvacuationSet> offers;  // In the order in which they arrive.
  std::size_t changes;                // How often the evacuated data centres change.
  Names result;
};

const std::array offer_rows{
    OfferRow{"started", {SetOf(5, {"a"})}, 1, {"a"}},
    OfferRow{"started and ended", {SetOf(5, {"a"}), SetOf(9, {})}, 2, {}},
    OfferRow{"repeated by several peers", {SetOf(5, {"a"}), SetOf(5, {"a"})}, 1, {"a"}},
    OfferRow{"start that arrives behind its end", {SetOf(9, {}), SetOf(5, {"a"})}, 0, {}},
    OfferRow{"peer that was cut off and returns", {SetOf(9, {"a"}), SetOf(5, {})}, 1, {"a"}},
    OfferRow{"later version without a change", {SetOf(5, {"a"}), SetOf(7, {"a"})}, 1, {"a"}},
    OfferRow{"second data centre", {SetOf(5, {"a"}), SetOf(6, {"a", "b"})}, 2, {"a", "b"}},
    OfferRow{"unknown set of a fresh node", {SetOf(0, {"a"})}, 0, {}},
    OfferRow{"store restored from an older copy",
             {SetOf(VersionAt({1, 900}), {"a"}), SetOf(VersionAt({2, 40}), {})},
             2,
             {}},
};

// Guards against sets that arrive late, twice or out of order on the ways between nodes, so that a
// node evacuates a data centre anew after the evacuation has ended, or not at all.
void TestOffer(const OfferRow& row) {
  EvacuationTracker tracker;
  std::size_t changes = 0;
  for (const EvacuationSet& set : row.offers) changes += tracker.Offer(set, TimePoint()) ? 1 : 0;
  CPPUNIT_ASSERT_EQUAL(row.changes, changes);
  CPPUNIT_ASSERT(SetOf(0, row.result).data_centres == tracker.Current().data_centres);
  CPPUNIT_ASSERT_EQUAL(row.changes > 0, tracker.Since().has_value());
}

const test::TableTest<OfferRow> offer_test("EvacuationTracker", offer_rows, TestOffer);

struct KeyRow {
  std::string_view name;
  Names keys;
  Names result;
};

const std::array key_rows{
    KeyRow{"none", {"op/config"}, {}},
    KeyRow{"one", {"op/config", "op/evacuate/a"}, {"a"}},
    KeyRow{"two", {"op/evacuate/a", "op/evacuate/b"}, {"a", "b"}},
    KeyRow{"unknown zone beside a known one", {"op/evacuate/atlantis", "op/evacuate/b"}, {"b"}},
    KeyRow{"no zone", {"op/evacuate/", "op/evacuate"}, {}},
    KeyRow{"other key", {"op/evacuated/a", "op/evac"}, {}},
};

// Guards against a key that cannot be read and costs the evacuations beside it.
void TestKeys(const KeyRow& row) {
  StoreItems items;
  for (const std::string_view key : row.keys) {
    StoreItem item;
    item.key = std::string(key);
    item.unreadable = true;  // The value has no meaning.
    item.revision = 7;
    items[item.key] = item;
  }
  EvacuationTranslator translate(
      {{DataCentreId("a"), RegionId("north")}, {DataCentreId("b"), RegionId("south")}});
  const EvacuationSet set = translate(items, {1, 12});
  CPPUNIT_ASSERT_EQUAL(VersionAt({1, 12}), set.version);
  CPPUNIT_ASSERT(SetOf(0, row.result).data_centres == set.data_centres);
}

const test::TableTest<KeyRow> key_test("EvacuationKeys", key_rows, TestKeys);

}  // namespace

}  // namespace damaskhollow
