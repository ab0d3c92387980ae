#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "configuration/vmlist.h"
#include "declaration/declarationparser.h"
#include "platform/inventorytranslator.h"
#include "platform/platformsettings.h"
#include "platform/rulestranslator.h"
#include "platform/wire.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using namespace std::string_literals;
using platform::InstanceEntry;
using platform::InventoryTranslator;
using platform::StoreItems;
using platform::ZoneMap;

constexpr std::uint16_t kPeerPort = 7380;

ZoneMap Zones() {
  return {{DataCentreId("brest-a"), RegionId("finistere")},
          {DataCentreId("rennes-a"), RegionId("ille-vilaine")}};
}

// Returns `text` with the first occurrence of `part` replaced; an empty `part` changes nothing.
std::string Replaced(std::string text, const std::string& part, const std::string& replacement) {
  const std::size_t start = text.find(part);
  CPPUNIT_ASSERT(part.empty() || start != std::string::npos);
  return part.empty() ? text : text.replace(start, part.size(), replacement);
}

constexpr char kEntry[] =
    R"({"service":"portail","address":"10.1.0.9:8080","zone":"brest-a","configVersion":"v1",)"
    R"("slots":9,"state":"ready","cold":"0ms","seq":4,"born":1700000000000})";

struct EntryRow {
  std::string_view name;
  std::string part;
  std::string replacement;
  std::string_view field;  // Part of the failure's subject; empty if the entry is valid.
};

const std::array entry_rows{
    EntryRow{"good", "", "", ""},
    EntryRow{"draining", "ready", "draining", ""},
    EntryRow{"unknown field", "\"seq\"", "\"more\":[1],\"seq\"", ""},
    EntryRow{"without born", ",\"born\":1700000000000", "", ""},
    EntryRow{"born with a fraction", "1700000000000", "1700000000000.5", "born"},
    EntryRow{"born as text", "1700000000000", "\"1700000000000\"", "born"},
    EntryRow{"no service", "\"service\":\"portail\",", "", "service"},
    EntryRow{"service of another type", "\"portail\"", "7", "service"},
    EntryRow{"address without port", ":8080", "", "address"},
    EntryRow{"unknown state", "ready", "resting", "state"},
    EntryRow{"unknown zone", "brest-a", "lyon-a", "zone"},
    EntryRow{"slots as text", "9,\"state", "\"9\",\"state", "slots"},
    EntryRow{"no slots at all", "\"slots\":9", "\"slots\":0", "slots"},
    EntryRow{"cold without unit", "0ms", "12", "cold"},
    EntryRow{"no seq", "\"seq\":4,", "", "seq"},
    EntryRow{"list in place of an object", kEntry, "[]", "value"},
    EntryRow{"bytes", kEntry, "\xff\x00\x7f"s, "value"},
};

void TestEntry(const EntryRow& row) {
  const Result<InstanceEntry> entry = platform::DecodeInstance(
      "i-1", Replaced(kEntry, row.part, row.replacement), Zones(), kPeerPort);
  CPPUNIT_ASSERT_EQUAL(row.field.empty(), entry.has_value());
  if (!entry) {
    CPPUNIT_ASSERT(entry.error().subject.find(row.field) != std::string::npos);
    return;
  }
  const BackendServer& server = entry.value().server;
  CPPUNIT_ASSERT_EQUAL("10.1.0.9"s, server.id.Value());
  CPPUNIT_ASSERT_EQUAL("10.1.0.9:7380"s, server.peer_address);
  CPPUNIT_ASSERT_EQUAL("finistere"s, server.region.Value());
  CPPUNIT_ASSERT_EQUAL("i-1"s, server.instance);
  CPPUNIT_ASSERT_EQUAL(std::size_t{9}, server.slots);
}

const test::TableTest<EntryRow> entry_test("InstanceEntry", entry_rows, TestEntry);

constexpr char kRules[] =
    R"({"configVersion":7,"routes":[{"name":"r-1","hostname":"h.example","prefix":"/a/",)"
    R"("routeType":"unsafe","timeout":"1500ms","slo":"0.5s","priority":1,"service":"s1",)"
    R"("attempts":2},{"name":"r-2","hostname":"h.example","prefix":"/b/","routeType":"safe",)"
    R"("timeout":"1200ms","slo":"600ms","priority":1,"split":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}],"attempts":2}],"services":[{"name":"s1",)"
    R"("healthPath":"/healthz","maxConns":220},{"name":"s2"}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

struct RulesRow {
  std::string_view name;
  std::string part;
  std::string replacement;
  std::string_view field;  // Part of the failure's subject; empty if the rules are valid.
};

const std::array rules_rows{
    RulesRow{"good", "", "", ""},
    RulesRow{"unknown fields", "\"services\"", "\"baseVersion\":5,\"services\"", ""},
    RulesRow{"cut short", "\"idleTimeout\":\"15000ms\"}}", "", "value"},
    RulesRow{"no version", "\"configVersion\":7,", "", "configVersion"},
    RulesRow{"unknown kind", "unsafe", "risky", "routes[0].routeType"},
    RulesRow{"no host", "\"hostname\":\"h.example\",", "", "routes[0].hostname"},
    RulesRow{"time without unit", "1500ms", "1500", "routes[0].timeout"},
    RulesRow{"no service", ",\"service\":\"s1\",\"attempts\"", ",\"attempts\"",
             "routes[0].service"},
    RulesRow{"part without weight", ",\"weight\":10", "", "routes[1].split"},
    RulesRow{"no limits", "\"maxHeaderBytes\":16384,", "", "limits"},
};

void TestRules(const RulesRow& row) {
  const Result<platform::TranslatedDocument> document = platform::TranslateRules(
      Replaced(kRules, row.part, row.replacement), Zones(), platform::RetryBounds{0.2, 58.0});
  CPPUNIT_ASSERT_EQUAL(row.field.empty(), document.has_value());
  if (!document) {
    CPPUNIT_ASSERT(document.error().subject.find(row.field) != std::string::npos);
    return;
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, document.value().version);
  const ParsedDeclaration parsed = ParseDeclaration("rules", document.value().text);
  CPPUNIT_ASSERT(parsed.failures.empty());
  const Route* route = parsed.declaration.FindRoute("h.example", "/a/1");
  CPPUNIT_ASSERT(route != nullptr && !route->idempotent);
  CPPUNIT_ASSERT(parsed.declaration.FindPriority(route->priority)->target ==
                 std::chrono::milliseconds(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                       parsed.declaration.FindRoute("h.example", "/b/1")->parts.size());
}

const test::TableTest<RulesRow> rules_test("TranslatedRules", rules_rows, TestRules);

struct LoadRow {
  std::string_view name;
  std::string_view text;
  bool is_load;
  double slowness;
};

const std::array load_rows{
    LoadRow{"three figures", "3,0,8", true, 1.0},
    LoadRow{"speed of the machine", "3,2,9,400", true, 4.0},
    LoadRow{"two figures", "3,0", false, 0.0},
    LoadRow{"no figure", "", false, 0.0},
    LoadRow{"text", "3,many,8", false, 0.0},
    LoadRow{"negative", "-1,0,8", false, 0.0},
};

void TestDecodedLoad(const LoadRow& row) {
  const std::optional<ServerLoad> load = platform::DecodeLoad(row.text);
  CPPUNIT_ASSERT_EQUAL(row.is_load, load.has_value());
  if (load) CPPUNIT_ASSERT_DOUBLES_EQUAL(row.slowness, load->slowness, 1e-9);
}

const test::TableTest<LoadRow> load_test("DecodedLoad", load_rows, TestDecodedLoad);

constexpr char kSettings[] =
    R"({"product":{"DAMASKHOLLOW_SERVER_ID":"10.1.0.9"},"store":"10.200.1.7:8142",)"
    R"("peer_port":7380,"service":"portail","zones":{"brest-a":"finistere"},)"
    R"("retry_ratio":0.2,"retry_extra":58,"later":true})";

struct SettingsRow {
  std::string_view name;
  std::string part;
  std::string replacement;
  std::string_view field;  // The failure's subject; empty if the settings are valid.
};

const std::array settings_rows{
    SettingsRow{"good, with an unknown field", "", "", ""},
    SettingsRow{"no JSON", "{", "", "settings"},
    SettingsRow{"no store", "\"store\":\"10.200.1.7:8142\",", "", "store"},
    SettingsRow{"port out of range", "7380", "70000", "peer_port"},
    SettingsRow{"no service", "\"portail\"", "\"\"", "service"},
    SettingsRow{"no zones", "\"brest-a\":\"finistere\"", "", "zones"},
    SettingsRow{"negative ratio", ":0.2", ":-0.2", "retry_ratio"},
    SettingsRow{"product setting of another type", "\"10.1.0.9\"", "9", "product"},
};

void TestSettings(const SettingsRow& row) {
  const Result<platform::PlatformSettings> settings =
      platform::ParsePlatformSettings(Replaced(kSettings, row.part, row.replacement));
  CPPUNIT_ASSERT_EQUAL(row.field.empty(), settings.has_value());
  if (!settings) CPPUNIT_ASSERT_EQUAL(std::string(row.field), settings.error().subject);
}

const test::TableTest<SettingsRow> settings_test("PlatformSettings", settings_rows, TestSettings);

}  // namespace

class InventoryTranslatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InventoryTranslatorTest);
  CPPUNIT_TEST(EachVmKeepsItsEntry);
  CPPUNIT_TEST(NewestInstanceOfAVmCounts);
  CPPUNIT_TEST(InvalidEntryIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one entry replacing the entries of other VMs in the inventory.
  void EachVmKeepsItsEntry() {
    Put("i-1", kEntry, 1);
    Put("i-2", Replaced(kEntry, "10.1.0.9", "10.1.0.10"), 2);
    Put("i-3", Replaced(Replaced(kEntry, "10.1.0.9", "10.1.0.11"), "ready", "draining"), 3);
    const VmList list = Translate();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, list.inventory->size());
    CPPUNIT_ASSERT_EQUAL("i-1"s, list.inventory->at(2).instance);  // Sorted by address as text.
    CPPUNIT_ASSERT_EQUAL("10.1.0.11"s, list.entries.at(1).server.Value());
    CPPUNIT_ASSERT(list.entries.at(1).leaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountLeaving(list));
  }

  // Guards against requests that expect an instance whose address a newer instance has taken over.
  void NewestInstanceOfAVmCounts() {
    Put("i-new", kEntry, 9);
    Put("i-old", kEntry, 4);
    const VmList list = Translate();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.inventory->size());
    CPPUNIT_ASSERT_EQUAL("i-new"s, list.inventory->front().instance);
  }

  void InvalidEntryIsIgnored() {
    Put("i-1", kEntry, 1);
    Put("i-2", "not json", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Translate().inventory->size());
  }

 private:
  void Put(const std::string& id, const std::string& value, std::uint64_t created) {
    m_items["servers/" + id] = {"servers/" + id, value, false, created, created};
  }

  VmList Translate() {
    InventoryTranslator translator(Zones(), kPeerPort);
    const std::optional<VmList> list = ParseVmList(translator(m_items)->text);
    CPPUNIT_ASSERT(list && list->inventory);
    return *list;
  }

  static std::size_t CountLeaving(const VmList& list) {
    std::size_t count = 0;
    for (const VmEntry& entry : list.entries) count += entry.leaving ? 1 : 0;
    return count;
  }

  StoreItems m_items;
};

CPPUNIT_TEST_SUITE_REGISTRATION(InventoryTranslatorTest);

}  // namespace damaskhollow
