#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>

#include "configuration/vmlist.h"
#include "declaration/declarationlimits.h"
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
    EntryRow{"empty service", "\"portail\"", "\"\"", "service"},
    EntryRow{"service with a line break", "portail", "por\\ntail", "service"},
    EntryRow{"service of 200 characters", "portail", std::string(200, 's'), ""},
    EntryRow{"service of 201 characters", "portail", std::string(201, 's'), "service"},
    EntryRow{"value of megabytes", "portail", std::string(1500000, 's'), "value"},
    EntryRow{"deep nesting", "\"seq\"",
             "\"more\":" + std::string(5000, '[') + std::string(5000, ']') + ",\"seq\"", "value"},
    EntryRow{"port 0", ":8080", ":0", "address"},
    EntryRow{"port 70000", ":8080", ":70000", "address"},
    EntryRow{"port 2^64", ":8080", ":18446744073709551616", "address"},
    EntryRow{"negative port", ":8080", ":-1", "address"},
    EntryRow{"address with a scope", "10.1.0.9", "[fe80::1%eth0]", "address"},
    EntryRow{"address with a scope of other characters", "10.1.0.9", "[fe80::1%a b]", "address"},
    EntryRow{"unspecified address", "10.1.0.9", "0.0.0.0", "address"},
    EntryRow{"multicast address", "10.1.0.9", "224.0.0.1", "address"},
    EntryRow{"broadcast address", "10.1.0.9", "255.255.255.255", "address"},
    EntryRow{"host name in place of an address", "10.1.0.9", "server", "address"},
    EntryRow{"slots 1e9", "\"slots\":9", "\"slots\":1000000000", ""},
    EntryRow{"slots 1e300", "\"slots\":9", "\"slots\":1e300", "slots"},
    EntryRow{"slots 2^64", "\"slots\":9", "\"slots\":18446744073709551616", "slots"},
    EntryRow{"negative slots", "\"slots\":9", "\"slots\":-1", "slots"},
    EntryRow{"slots NaN", "\"slots\":9", "\"slots\":NaN", "value"},
    EntryRow{"seq 1e300", "\"seq\":4", "\"seq\":1e300", "seq"},
    EntryRow{"seq above the range of numbers", "\"seq\":4", "\"seq\":1e999", "value"},
    EntryRow{"negative seq", "\"seq\":4", "\"seq\":-1", "seq"},
    EntryRow{"born 2^64", "1700000000000", "18446744073709551616", "born"},
    EntryRow{"cold 1e300", "0ms", "1e300s", "cold"},
    EntryRow{"cold infinite", "0ms", "infs", "cold"},
    EntryRow{"cold NaN", "0ms", "nanms", "cold"},
    EntryRow{"negative cold", "0ms", "-1ms", "cold"},
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
  CPPUNIT_ASSERT_EQUAL(entry.value().has_clamped_slots ? kMaxSlots : std::size_t{9}, server.slots);
  CPPUNIT_ASSERT_EQUAL(row.name == "slots 1e9", entry.value().has_clamped_slots);
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

// What a changed configuration leaves of the route to /a/.
enum class RouteState { kServed, kNeverRepeated, kUnreadable, kAbsent, kNothing };

struct RulesRow {
  std::string_view name;
  std::string part;
  std::string replacement;
  std::string_view field;  // Part of the subject of the failure or fault; empty if there is none.
  RouteState state = RouteState::kUnreadable;
};

const std::array rules_rows{
    RulesRow{"good", "", "", "", RouteState::kServed},
    RulesRow{"unknown fields", "\"services\"", "\"baseVersion\":5,\"services\"", "",
             RouteState::kServed},
    RulesRow{"cut short", "\"idleTimeout\":\"15000ms\"}}", "", "value", RouteState::kNothing},
    RulesRow{"broken route", "\"name\":\"r-1\"", "\"name\":r-1", "value", RouteState::kNothing},
    RulesRow{"no version", "\"configVersion\":7,", "", "configVersion", RouteState::kNothing},
    RulesRow{"version out of range", "\"configVersion\":7", "\"configVersion\":1e300",
             "configVersion", RouteState::kNothing},
    RulesRow{"deep nesting", "\"routes\"",
             "\"more\":" + std::string(5000, '[') + std::string(5000, ']') + ",\"routes\"", "",
             RouteState::kServed},
    RulesRow{"deep nesting that does not end", "\"routes\"",
             "\"more\":" + std::string(5000, '[') + std::string(4999, ']') + ",\"routes\"", "value",
             RouteState::kNothing},
    RulesRow{"no limits", "\"maxHeaderBytes\":16384,", "", "limits", RouteState::kNothing},
    RulesRow{"unknown kind", "unsafe", "risky", "routes[0].routeType", RouteState::kNeverRepeated},
    RulesRow{"no kind", "\"routeType\":\"unsafe\",", "", "routes[0].routeType",
             RouteState::kNeverRepeated},
    RulesRow{"no host", "\"hostname\":\"h.example\",", "", "routes[0].hostname",
             RouteState::kAbsent},
    RulesRow{"not an object", "\"routes\":[", "\"routes\":[5,", "routes[0].hostname",
             RouteState::kServed},
    RulesRow{"relative prefix", "\"/a/\"", "\"a/\"", "routes[0].prefix", RouteState::kAbsent},
    RulesRow{"same place", "\"/a/\"", "\"/b/\"", "routes[1].prefix", RouteState::kAbsent},
    RulesRow{"no name", "\"name\":\"r-1\",", "", "routes[0].name"},
    RulesRow{"time without unit", "1500ms", "1500", "routes[0].timeout"},
    RulesRow{"time out of range", "1500ms", "1e300ms", "routes[0].timeout", RouteState::kServed},
    RulesRow{"time over a day", "1500ms", "86401s", "routes[0].timeout", RouteState::kServed},
    RulesRow{"time of 32 bits and more", "1500ms", "4294967296ms", "routes[0].timeout",
             RouteState::kServed},
    RulesRow{"time of 0", "1500ms", "0ms", "routes[0].timeout"},
    RulesRow{"no service", ",\"service\":\"s1\",\"attempts\"", ",\"attempts\"",
             "routes[0].service"},
    RulesRow{"unknown service", "\"service\":\"s1\",\"att", "\"service\":\"s9\",\"att",
             "routes[0].service"},
    RulesRow{"unreadable service", "{\"name\":\"s1\",", "{\"name\":1,", "services[0].name"},
    RulesRow{"empty health path", "\"/healthz\"", "\"\"", "services[0].healthPath",
             RouteState::kServed},
    RulesRow{"rate of cold instances as text", "\"maxConns\":220}", "\"coldPerS\":\"11\"}",
             "services[0].coldPerS", RouteState::kServed},
    RulesRow{"name of an unreadable route", "\"r-2\"", "\"unreadable:h.example/a/\"", "",
             RouteState::kServed},
    RulesRow{"part without weight", ",\"service\":\"s1\",\"attempts\"",
             ",\"split\":[{\"service\":\"s1\"}],\"attempts\"", "routes[0].split"},
    RulesRow{"negative weight", ",\"service\":\"s1\",\"attempts\"",
             ",\"split\":[{\"service\":\"s1\",\"weight\":-1}],\"attempts\"", "routes[0].split"},
    RulesRow{"priority with a fraction", "\"priority\":1,\"service\"",
             "\"priority\":1.5,\"service\"", "routes[0].priority"},
    RulesRow{"priority of any size", "\"priority\":1,\"service\"", "\"priority\":1e300,\"service\"",
             "", RouteState::kServed},
    RulesRow{"attempts as text", "\"attempts\":2},", "\"attempts\":\"2\"},", "routes[0].attempts"},
    RulesRow{"too many attempts", "\"attempts\":2},", "\"attempts\":500},", "routes[0].attempts",
             RouteState::kServed},
    RulesRow{"large limit", "16384", "1e300", "limits.maxHeaderBytes", RouteState::kServed},
    RulesRow{"no region", "\"attempts\":2},", "\"attempts\":2,\"allowedRegions\":[]},", "",
             RouteState::kServed},
    RulesRow{"known region", "\"attempts\":2},",
             "\"attempts\":2,\"allowedRegions\":[\"finistere\"]},", "", RouteState::kServed},
    RulesRow{"one unknown region", "\"attempts\":2},",
             "\"attempts\":2,\"allowedRegions\":[\"atlantis\",\"finistere\"]},",
             "routes[0].allowedRegions", RouteState::kServed},
    RulesRow{"only unknown regions", "\"attempts\":2},",
             "\"attempts\":2,\"allowedRegions\":[\"atlantis\"]},", "routes[0].allowedRegions"},
    RulesRow{"regions as text", "\"attempts\":2},",
             "\"attempts\":2,\"allowedRegions\":\"finistere\"},", "routes[0].allowedRegions"},
};

// Checks that the fault is named and that the declaration, if there is one, is valid and counts it.
void CheckFault(const RulesRow& row, const platform::TranslatedRules& rules,
                const Declaration& declaration) {
  CPPUNIT_ASSERT_EQUAL(rules.faults.UnreadableCount(), declaration.unreadable_entries);
  CPPUNIT_ASSERT_EQUAL(rules.faults.ClampedCount(), declaration.clamped_values);
  CPPUNIT_ASSERT_EQUAL(row.field.empty(), rules.faults.Count() == 0);
  if (row.field.empty()) return;
  CPPUNIT_ASSERT(rules.faults.Kept()[0].failure.subject.find(row.field) != std::string::npos);
}

// Guards against one unreadable entry that costs all other routes, and against a route of an
// unknown kind that is repeated.
void TestRules(const RulesRow& row) {
  platform::TranslatedRoutes routes;
  const Result<platform::TranslatedRules> rules =
      platform::TranslateRules(Replaced(kRules, row.part, row.replacement),
                               {Zones(), platform::RetryBounds{0.2, 58.0}, {8.0}}, routes);
  CPPUNIT_ASSERT_EQUAL(row.state != RouteState::kNothing, rules.has_value());
  if (!rules) {
    CPPUNIT_ASSERT(rules.error().subject.find(row.field) != std::string::npos);
    return;
  }
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, rules.value().version);
  const ParsedDeclaration parsed = ParseDeclaration("rules", rules.value().text);
  CPPUNIT_ASSERT(parsed.failures.empty());
  CheckFault(row, rules.value(), parsed.declaration);
  const Route* route = parsed.declaration.FindRoute("h.example", "/a/1");
  CPPUNIT_ASSERT_EQUAL(row.state == RouteState::kAbsent, route == nullptr);
  CPPUNIT_ASSERT_EQUAL(row.state == RouteState::kUnreadable, route != nullptr && route->unreadable);
  if (row.state == RouteState::kServed || row.state == RouteState::kNeverRepeated) {
    CPPUNIT_ASSERT(!route->idempotent);
    CPPUNIT_ASSERT(parsed.declaration.FindPriority(route->priority)->target ==
                   std::chrono::milliseconds(500));
  }
  const Route* other = parsed.declaration.FindRoute("h.example", "/b/1");
  CPPUNIT_ASSERT(other != nullptr);
  if (row.state == RouteState::kServed) CPPUNIT_ASSERT_EQUAL(std::size_t{2}, other->parts.size());
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
    LoadRow{"out of range", "1e300,0,8", false, 0.0},
    LoadRow{"slowness out of range", "1,0,8,1e300", false, 0.0},
    LoadRow{"infinite", "inf,0,8", false, 0.0},
    LoadRow{"not a number", "nan,0,8", false, 0.0},
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
    R"("retry_ratio":0.2,"retry_extra":58,"grace":"6s","later":true})";

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
    SettingsRow{"port with a fraction", "7380", "7380.5", "peer_port"},
    SettingsRow{"no service", "\"portail\"", "\"\"", "service"},
    SettingsRow{"few descriptors", "\"service\"", "\"max_descriptors\":200,\"service\"",
                "max_descriptors"},
    SettingsRow{"descriptors as text", "\"service\"", "\"max_descriptors\":\"9\",\"service\"",
                "max_descriptors"},
    SettingsRow{"many descriptors", "\"service\"", "\"max_descriptors\":1e9,\"service\"", ""},
    SettingsRow{"large cold slack", "\"service\"", "\"cold_slack\":1e9,\"service\"", ""},
    SettingsRow{"negative cold slack", "\"service\"", "\"cold_slack\":-1,\"service\"",
                "cold_slack"},
    SettingsRow{"grace of 30 days", "\"6s\"", "\"2592000s\"", ""},
    SettingsRow{"descriptors", "\"service\"", "\"max_descriptors\":4100,\"service\"", ""},
    SettingsRow{"no zones", "\"brest-a\":\"finistere\"", "", "zones"},
    SettingsRow{"negative ratio", ":0.2", ":-0.2", "retry_ratio"},
    SettingsRow{"no grace", "\"grace\":\"6s\",", "", "grace"},
    SettingsRow{"grace without unit", "\"6s\"", "\"6\"", "grace"},
    SettingsRow{"product setting of another type", "\"10.1.0.9\"", "9", "product"},
};

void TestSettings(const SettingsRow& row) {
  const Result<platform::PlatformSettings> settings =
      platform::ParsePlatformSettings(Replaced(kSettings, row.part, row.replacement));
  CPPUNIT_ASSERT_EQUAL(row.field.empty(), settings.has_value());
  if (!settings) CPPUNIT_ASSERT_EQUAL(std::string(row.field), settings.error().subject);
}

const test::TableTest<SettingsRow> settings_test("PlatformSettings", settings_rows, TestSettings);

struct GraceRow {
  std::string_view name;
  std::string grace;
  std::size_t announce_ms;
  std::size_t drain_timeout_ms;
};

const std::array grace_rows{
    GraceRow{"6 s", "6s", 2500, 3000},
    GraceRow{"10 s", "10s", 2500, 6666},
    GraceRow{"shorter than the announcement", "2400ms", 2500, 0},
};

// Guards against a node that cuts the requests at work long before the platform kills it, or is
// killed before it has ended.
void TestGrace(const GraceRow& row) {
  const Result<platform::PlatformSettings> settings =
      platform::ParsePlatformSettings(Replaced(kSettings, "\"6s\"", "\"" + row.grace + "\""));
  CPPUNIT_ASSERT(settings);
  CPPUNIT_ASSERT_EQUAL(row.drain_timeout_ms,
                       platform::DrainTimeoutMs(settings.value(), row.announce_ms));
}

const test::TableTest<GraceRow> grace_test("PlatformGrace", grace_rows, TestGrace);

}  // namespace

class InventoryTranslatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InventoryTranslatorTest);
  CPPUNIT_TEST(EachVmKeepsItsEntry);
  CPPUNIT_TEST(NewestInstanceOfAVmCounts);
  CPPUNIT_TEST(InvalidEntryIsIgnored);
  CPPUNIT_TEST(KeyThatIsNoNameIsIgnored);
  CPPUNIT_TEST(ListWithAnInvalidEntryKeepsTheOthers);
  CPPUNIT_TEST(NodesAcceptWhateverTheAdapterPasses);
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

  // Guards against header fields and log lines that an id can break, as the id of an instance is
  // sent to it with each request.
  void KeyThatIsNoNameIsIgnored() {
    Put("i-1", kEntry, 1);
    int address = 20;
    for (const std::string& id :
         {""s, "i 2"s, "i\r\nX: 1"s, "i\0"s, "\xff"s, std::string(201, 'i')}) {
      Put(id, Replaced(kEntry, "10.1.0.9", "10.1.0." + std::to_string(address++)), 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Translate().inventory->size());
  }

  // Guards against a list that every node refuses as a whole because of one entry, for as long as
  // the entry exists.
  void ListWithAnInvalidEntryKeepsTheOthers() {
    Put("i-1", kEntry, 1);
    Put("i-2", Replaced(kEntry, "10.1.0.9", "10.1.0.10"), 2);
    const std::string text = InventoryTranslator(Zones(), kPeerPort)(m_items)->text;
    struct Row {
      std::string part;
      std::string replacement;
    };
    const std::array rows{Row{"\"service\":\"portail\"", "\"service\":\"\""},
                          Row{"\"slots\":9", "\"slots\":1e300"},
                          Row{"\"slots\":9", "\"slots\":-1"},
                          Row{":8080", ":0"},
                          Row{":7380", ":70000"},
                          Row{"\"state\":\"live\"", "\"state\":\"odd\""},
                          Row{"\"id\":\"10.1.0.10\"", "\"id\":\"\""},
                          Row{"\"id\":\"10.1.0.10\"", "\"id\":\"10.1.0.9\""},
                          Row{"\"id\":\"10.1.0.10\"", "\"id\":7"}};
    for (const Row& row : rows) {
      const std::optional<VmList> list = ParseVmList(Replaced(text, row.part, row.replacement));
      CPPUNIT_ASSERT_MESSAGE(row.replacement, list && list->inventory);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.replacement, std::size_t{1}, list->entries.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.replacement, std::size_t{1}, list->inventory->size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.replacement, std::size_t{1}, list->refused.size());
    }
  }

  // Property test over entries with random odd values: what the adapter passes on is accepted by
  // the nodes, entry by entry, and the valid entry beside them is always kept.
  void NodesAcceptWhateverTheAdapterPasses() {
    const std::array<std::string, 24> odd_values{"0",
                                                 "-1",
                                                 "1e300",
                                                 "-1e300",
                                                 "1e999",
                                                 "18446744073709551616",
                                                 "9.5",
                                                 "null",
                                                 "true",
                                                 "\"\"",
                                                 "\"NaN\"",
                                                 "\"\\ud800\"",
                                                 "\"\\u0000\"",
                                                 "\"é\"",
                                                 "\"10.1.0.30:0\"",
                                                 "\"10.1.0.30:65535\"",
                                                 "\"[::1]:80\"",
                                                 "\"1e300s\"",
                                                 "\"0s\"",
                                                 "\"draining\"",
                                                 "\"x\"",
                                                 std::string(2000, '[') + std::string(2000, ']'),
                                                 "{}",
                                                 "\"" + std::string(300, 'n') + "\""};
    const std::array<std::string, 9> fields{"service", "address", "zone", "configVersion", "slots",
                                            "state",   "cold",    "seq",  "born"};
    for (const std::uint64_t seed : {1, 20, 300}) {
      RandomSource random(seed);
      for (int round = 0; round < 500; ++round) {
        m_items.clear();
        Put("i-1", kEntry, 1);
        for (int entry = 0; entry < 4; ++entry) {
          std::map<std::string, std::string> values{
              {"service", "\"portail\""},
              {"address", "\"10.1.0.3" + std::to_string(entry) + ":80\""},
              {"zone", "\"rennes-a\""},
              {"configVersion", "\"v\""},
              {"slots", "9"},
              {"state", "\"ready\""},
              {"cold", "\"0ms\""},
              {"seq", "1"},
              {"born", "5"}};
          values[fields[random.Below(fields.size())]] = odd_values[random.Below(odd_values.size())];
          std::string text;
          for (const auto& [field, value] : values) {
            text += text.empty() ? "{\"" : ",\"";
            text.append(field).append("\":").append(value);
          }
          Put("odd-" + std::to_string(entry), text + "}", 2);
        }
        const VmList list = Translate();
        CPPUNIT_ASSERT(list.refused.empty());
        CPPUNIT_ASSERT_EQUAL(list.entries.size(), list.inventory->size());
        CPPUNIT_ASSERT(std::any_of(list.inventory->begin(), list.inventory->end(),
                                   [](const auto& server) { return server.instance == "i-1"; }));
      }
    }
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
