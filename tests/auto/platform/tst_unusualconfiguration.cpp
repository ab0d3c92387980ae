#include <algorithm>
#include <array>
#include <cstdlib>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "configuration/versionguard.h"
#include "platform/rulestranslator.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using platform::RulesContext;
using platform::TranslatedRoutes;
using platform::TranslatedRules;
using platform::TranslateRules;

// The size of the largest value of the users' store, in bytes.
constexpr std::size_t kValueBytes = 1048576;
// Of each generated configuration; the comparison translates each of them again.
constexpr std::size_t kMaxComparedRoutes = 40;
constexpr char kHost[] = "sound.example";
constexpr char kSoundService[] = R"({"name":"sound","healthPath":"/healthz"})";
constexpr char kLimits[] =
    R"({"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeout":"3s","idleTimeout":"15s"})";

RulesContext Context() {
  return {{{DataCentreId("brest-a"), RegionId("finistere")},
           {DataCentreId("rennes-a"), RegionId("ille-vilaine")}},
          {0.2, 58.0},
          {8.0}};
}

std::string Joined(std::span<const std::string> entries) {
  std::string text;
  for (const std::string& entry : entries) text += (&entry == entries.data() ? "" : ",") + entry;
  return text;
}

std::string Configuration(std::span<const std::string> routes,
                          std::span<const std::string> services, std::string_view limits) {
  return R"({"configVersion":7,"routes":[)" + Joined(routes) + R"(],"services":[)" +
         Joined(services) + R"(],"limits":)" + std::string(limits) + "}";
}

// Returns a route to the service "sound" with the prefix /NUMBER/. `priority` is JSON text.
std::string SoundRoute(std::size_t number, std::string_view priority) {
  return R"({"name":"s)" + std::to_string(number) + R"(","hostname":"sound.example","prefix":"/)" +
         std::to_string(number) +
         R"(/","routeType":"safe","timeout":"2s","slo":"500ms","service":"sound","attempts":2,)"
         R"("priority":)" +
         std::string(priority) + "}";
}

// Translates a configuration and offers it as the first one of a node; fails unless it is accepted.
std::shared_ptr<const Declaration> Accepted(const std::string& value,
                                            const RulesContext& context = Context()) {
  TranslatedRoutes known;
  const Result<TranslatedRules> rules = TranslateRules(value, context, known);
  CPPUNIT_ASSERT_MESSAGE(rules ? "" : Describe(rules.error()), rules);
  VersionGuard guard;
  const OfferResult result = guard.Offer(rules.value().version, rules.value().text, "test");
  CPPUNIT_ASSERT_MESSAGE(
      guard.Refused().empty() ? "" : Describe(guard.Refused().back().failures.front()),
      result == OfferResult::kAccepted);
  return guard.Current();
}

const Priority& PriorityOf(const Declaration& declaration, const Route& route) {
  const Priority* priority = declaration.FindPriority(route.priority);
  CPPUNIT_ASSERT(priority != nullptr);
  return *priority;
}

// Checks that a sound route is treated as if it were the only one of its configuration.
void AssertTreatedAsAlone(const Declaration& declaration, std::size_t number,
                          const std::string& entry) {
  const std::string path = "/" + std::to_string(number) + "/x";
  const std::vector<std::string> routes{entry};
  const std::vector<std::string> services{kSoundService};
  const auto alone = Accepted(Configuration(routes, services, kLimits));
  const Route* expected = alone->FindRoute(kHost, path);
  const Route* route = declaration.FindRoute(kHost, path);
  CPPUNIT_ASSERT_MESSAGE(entry, route != nullptr && expected != nullptr);
  CPPUNIT_ASSERT_MESSAGE(entry, !route->unreadable);
  CPPUNIT_ASSERT(route->id == expected->id && route->path_prefix == expected->path_prefix);
  CPPUNIT_ASSERT(route->idempotent == expected->idempotent);
  CPPUNIT_ASSERT(route->timeout == expected->timeout);
  CPPUNIT_ASSERT_EQUAL(expected->attempts, route->attempts);
  CPPUNIT_ASSERT_EQUAL(expected->parts.size(), route->parts.size());
  CPPUNIT_ASSERT(route->parts[0].service == expected->parts[0].service);
  CPPUNIT_ASSERT(PriorityOf(declaration, *route).target == PriorityOf(*alone, *expected).target);
}

// What becomes of the route /1/, which has the unusual value.
enum class Outcome { kServed, kRefused, kAbsent };

struct ValueRow {
  std::string_view name;
  std::string part;  // Of the configuration with the sound routes /1/ and /2/.
  std::string replacement;
  Outcome outcome = Outcome::kServed;
};

const std::array value_rows{
    ValueRow{"priority 31", "\"priority\":1}", "\"priority\":31}"},
    ValueRow{"priority 1000", "\"priority\":1}", "\"priority\":1000}"},
    ValueRow{"priority 1001", "\"priority\":1}", "\"priority\":1001}"},
    ValueRow{"priority 5000", "\"priority\":1}", "\"priority\":5000}"},
    ValueRow{"negative priority", "\"priority\":1}", "\"priority\":-1}"},
    ValueRow{"priority above 32 bits", "\"priority\":1}", "\"priority\":4294967296}"},
    ValueRow{"priority above 53 bits", "\"priority\":1}", "\"priority\":9007199254740993}"},
    ValueRow{"priority above 64 bits", "\"priority\":1}", "\"priority\":1e300}"},
    ValueRow{"priority above all doubles", "\"priority\":1}", "\"priority\":1e999}"},
    ValueRow{"priority as text", "\"priority\":1}", "\"priority\":\"1\"}", Outcome::kRefused},
    ValueRow{"time-out of two days", "\"timeout\":\"2s\"", "\"timeout\":\"172800s\""},
    ValueRow{"time-out above all doubles", "\"timeout\":\"2s\"", "\"timeout\":\"1e999s\""},
    ValueRow{"time-out of half a millisecond", "\"timeout\":\"2s\"", "\"timeout\":\"0.5ms\""},
    ValueRow{"time-out of 0", "\"timeout\":\"2s\"", "\"timeout\":\"0s\"", Outcome::kRefused},
    ValueRow{"target of two days", "\"slo\":\"500ms\"", "\"slo\":\"172800s\""},
    ValueRow{"no attempts", "\"attempts\":2", "\"attempts\":0"},
    ValueRow{"attempts above 32 bits", "\"attempts\":2", "\"attempts\":4294967296"},
    ValueRow{"weights above a million", "\"service\":\"sound\"",
             "\"split\":[{\"service\":\"sound\",\"weight\":3e300}]"},
    ValueRow{"deeply nested field", "\"attempts\":2",
             "\"attempts\":2,\"more\":" + std::string(2000, '[') + std::string(2000, ']')},
    ValueRow{"name with a lone surrogate", "\"name\":\"s1\"", "\"name\":\"s\\ud800\""},
    ValueRow{"names that differ in a lone surrogate", "\"name\":\"s1\"",
             R"("name":"\ud800","hostname":"a","prefix":"/","routeType":"safe","timeout":"2s",)"
             R"("slo":"1s","service":"sound","priority":1},{"name":"\udc00")"},
    ValueRow{"name of a byte order mark only", "\"name\":\"s1\"", "\"name\":\"\\ufeff\""},
    ValueRow{"host with a lone surrogate", "\"hostname\":\"sound.example\"",
             "\"hostname\":\"sound\\udc00\"", Outcome::kAbsent},
    ValueRow{"host of a byte order mark only", "\"hostname\":\"sound.example\"",
             "\"hostname\":\"\\ufeff\"", Outcome::kAbsent},
    ValueRow{"service with a lone surrogate", "{\"name\":\"sound\"",
             "{\"name\":\"\\ud800\"},{\"name\":\"\\udc00\"},{\"name\":\"sound\""},
    ValueRow{"service of a byte order mark only", "{\"name\":\"sound\"",
             "{\"name\":\"\\ufeff\"},{\"name\":\"sound\""},
    ValueRow{"route with the id of a refused one", "\"name\":\"s1\"",
             R"("name":"","hostname":"sound.example","prefix":"/9/"},)"
             R"({"name":"unreadable:sound.example/9/")"},
    ValueRow{"refused routes with the same id", "\"name\":\"s1\"",
             R"("hostname":"a/b","prefix":"/c"},{"hostname":"a","prefix":"/b/c"},{"name":"s1")"},
    ValueRow{"region with a lone surrogate", "\"attempts\":2",
             "\"attempts\":2,\"allowedRegions\":[\"\\ud800\",\"finistere\"]"},
    ValueRow{"header of 16 MB", "16384", "16777216"},
    ValueRow{"header of 0", "16384", "0"},
    ValueRow{"header with a fraction", "16384", "16384.5"},
    ValueRow{"body of 2 GB", "65536", "2147483648"},
    ValueRow{"body of 0", "65536", "0"},
    ValueRow{"negative body", "65536", "-1"},
    ValueRow{"body above all doubles", "65536", "1e999"},
    ValueRow{"header time-out of 25 h", "\"3s\"", "\"90000s\""},
    ValueRow{"header time-out of 0", "\"3s\"", "\"0ms\""},
    ValueRow{"idle time-out of 25 h", "\"15s\"", "\"90000s\""},
    ValueRow{"idle time-out of 0", "\"15s\"", "\"0s\""},
    ValueRow{"idle time-out of 30 days", "\"15s\"", "\"2592000s\""},
    ValueRow{"idle time-out above all doubles", "\"15s\"", "\"1e999s\""},
    ValueRow{"rate of cold instances above a million", "\"/healthz\"",
             "\"/healthz\",\"coldPerS\":1e300"},
    ValueRow{"field name with an escape", "\"routes\"", "\"\\u0072outes\""},
    ValueRow{"deeply nested configuration", "\"services\"",
             "\"more\":" + std::string(2000, '[') + std::string(2000, ']') + ",\"services\""},
    ValueRow{"unknown number above all doubles", "\"services\"", "\"more\":-1e999,\"services\""},
};

std::string Replaced(std::string text, const std::string& part, const std::string& replacement) {
  const std::size_t start = text.find(part);
  CPPUNIT_ASSERT(start != std::string::npos);
  return text.replace(start, part.size(), replacement);
}

// Guards against a configuration of the store that is refused whole, with all sound routes in it,
// as one value is beyond what a declaration can say.
void TestValue(const ValueRow& row) {
  const std::vector<std::string> routes{SoundRoute(1, "1"), SoundRoute(2, "1")};
  const std::vector<std::string> services{kSoundService};
  const auto declaration =
      Accepted(Replaced(Configuration(routes, services, kLimits), row.part, row.replacement));
  AssertTreatedAsAlone(*declaration, 2, routes[1]);
  const Route* route = declaration->FindRoute(kHost, "/1/x");
  CPPUNIT_ASSERT_EQUAL(row.outcome == Outcome::kAbsent, route == nullptr);
  if (route == nullptr) return;
  CPPUNIT_ASSERT_EQUAL(row.outcome == Outcome::kRefused, route->unreadable);
}

const test::TableTest<ValueRow> value_test("UnusualValue", value_rows, TestValue);

struct SettingRow {
  std::string_view name;
  platform::RetryBounds retries;
  platform::ColdBounds cold;
};

const std::array setting_rows{SettingRow{"retry ratio of 3", {3.0, 58.0}, {}},
                              SettingRow{"retries of 1e9", {0.2, 1e9}, {}},
                              SettingRow{"cold slack of 1e9", {0.2, 58.0}, {1e9}}};

// Guards against settings of the platform with which every configuration is refused.
void TestSetting(const SettingRow& row) {
  const std::vector<std::string> routes{SoundRoute(1, "1")};
  const std::vector<std::string> services{R"({"name":"sound","coldPerS":11})"};
  const auto declaration =
      Accepted(Configuration(routes, services, kLimits), {Context().zones, row.retries, row.cold});
  AssertTreatedAsAlone(*declaration, 1, routes[0]);
}

const test::TableTest<SettingRow> setting_test("UnusualSetting", setting_rows, TestSetting);

struct SizeRow {
  std::string_view name;
  std::string (*entry)(std::size_t number);
  bool is_service;
};

std::string ShortService(std::size_t number) {
  return R"({"name":"v)" + std::to_string(number) + "\"}";
}

std::string ServiceWithAllFields(std::size_t number) {
  return R"({"name":"v)" + std::to_string(number) + R"(","healthPath":"/","coldPerS":1})";
}

std::string RouteOfOwnPriority(std::size_t number) {
  return SoundRoute(number + 10, std::to_string(number * 7));
}

std::string RouteWithoutTreatment(std::size_t number) {
  return R"({"hostname":"h","prefix":"/)" + std::to_string(number) + "\"}";
}

std::string RouteWithEscapes(std::size_t number) {
  return Replaced(SoundRoute(number + 10, "1"), "\"name\":\"", "\"name\":\"\\u0001\\ud800");
}

std::string RouteWithManyRegions(std::size_t number) {
  std::string regions;
  for (int count = 0; count < 50; ++count) regions += "\"a\",";
  return Replaced(SoundRoute(number + 10, "1"), "\"attempts\":2",
                  "\"allowedRegions\":[" + regions + "\"finistere\"]");
}

std::string EmptyEntry(std::size_t) { return "1"; }

const std::array size_rows{
    SizeRow{"short services", ShortService, true},
    SizeRow{"services with all fields", ServiceWithAllFields, true},
    SizeRow{"routes with a priority each", RouteOfOwnPriority, false},
    SizeRow{"refused routes", RouteWithoutTreatment, false},
    SizeRow{"names with escapes", RouteWithEscapes, false},
    SizeRow{"many unknown regions", RouteWithManyRegions, false},
    SizeRow{"entries that are no objects", EmptyEntry, false},
};

// Guards against a configuration that fits into the store and is refused for the length of its
// translation.
void TestSize(const SizeRow& row) {
  std::vector<std::string> routes{SoundRoute(1, "1")};
  std::vector<std::string> services{kSoundService};
  std::size_t bytes = Configuration(routes, services, kLimits).size();
  for (std::size_t number = 0;; ++number) {
    std::string entry = row.entry(number);
    bytes += entry.size() + 1;
    if (bytes > kValueBytes) break;
    (row.is_service ? services : routes).push_back(std::move(entry));
  }
  const auto declaration = Accepted(Configuration(routes, services, kLimits));
  AssertTreatedAsAlone(*declaration, 1, routes[0]);
}

const test::TableTest<SizeRow> size_test("LongConfiguration", size_rows, TestSize);

// Generates configurations from the grammar of the store's pages, with values far outside the usual
// ones.
class ConfigurationGenerator {
 public:
  explicit ConfigurationGenerator(std::uint64_t seed) : m_random(seed) {}

  // Returns a configuration. The sound routes in it are then in SoundRoutes().
  std::string Next() {
    m_sound.clear();
    m_ranks.clear();
    std::vector<std::string> routes;
    const std::size_t sound = 1 + m_random.Below(m_random.Below(20) == 0 ? 2000 : 60);
    for (std::size_t number = 0; number < sound; ++number) {
      m_ranks.push_back(RandomRank());
      m_sound.push_back(SoundRoute(number, m_ranks.back()));
      routes.push_back(m_sound.back());
      if (m_random.Below(3) == 0) routes.push_back(OddRoute());
    }
    std::vector<std::string> services{kSoundService};
    const std::size_t odd_services = m_random.Below(20);
    for (std::size_t count = 0; count < odd_services; ++count) {
      services.push_back(R"({"name":)" + Pick(kTexts) + R"(,"healthPath":)" + Pick(kTexts) +
                         R"(,"coldPerS":)" + Pick(kNumbers) + "}");
    }
    const std::string limits = R"({"maxHeaderBytes":)" + Pick(kSizes) + R"(,"maxBodyBytes":)" +
                               Pick(kSizes) + R"(,"headerTimeout":)" + Pick(kTimes) +
                               R"(,"idleTimeout":)" + Pick(kTimes) + "}";
    return Configuration(routes, services, limits);
  }

  std::span<const std::string> SoundRoutes() const { return m_sound; }
  // The ranks of the sound routes, as JSON texts.
  std::span<const std::string> Ranks() const { return m_ranks; }

 private:
  static constexpr std::array<std::string_view, 22> kNumbers{
      "0",        "1",          "-1",         "0.5",        "31",         "32",   "1000", "1001",
      "86400001", "2147483647", "2147483648", "4294967296", "9.1e15",     "1e18", "1e19", "1e300",
      "1e999",    "-1e999",     "1e-999",     "null",       "\"a text\"", "{}"};
  static constexpr std::array<std::string_view, 10> kSizes{
      "0", "1", "-1", "1.5", "8388608", "8388609", "1073741825", "1e19", "1e999", "1e-999"};
  static constexpr std::array<std::string_view, 10> kTimes{
      "\"0ms\"",    "\"0.4ms\"",    "\"1ms\"",     "\"2s\"",     "\"86400s\"",
      "\"86401s\"", "\"2592000s\"", "\"1e300ms\"", "\"1e999s\"", "\"1e-999s\""};
  static constexpr std::array<std::string_view, 18> kTexts{"\"\"",
                                                           "\"a\"",
                                                           "\"/\"",
                                                           "\"/a/\"",
                                                           "\"\\ud800\"",
                                                           "\"\\udc00\"",
                                                           "\"?\"",
                                                           "\"\\ufeff\"",
                                                           "\"\\ufeffa\"",
                                                           "\"\\u0000\"",
                                                           "\"\\u0061\"",
                                                           "\"\\\"\\\\\"",
                                                           "\"sound\"",
                                                           "\"s0\"",
                                                           "\"\xc3\xa9\"",
                                                           "\"unreadable:a/a/\"",
                                                           "\"\\ud83d\\ude00\"",
                                                           "7"};

  template <std::size_t Size>
  std::string Pick(const std::array<std::string_view, Size>& values) {
    return std::string(values[m_random.Below(Size)]);
  }

  // Returns an integer of any size as JSON text.
  std::string RandomRank() {
    const std::string sign = m_random.Below(4) == 0 ? "-" : "";
    std::string digits = std::to_string(1 + m_random.Below(9));
    const std::size_t more = m_random.Below(25);
    for (std::size_t count = 0; count < more; ++count) {
      digits += std::to_string(m_random.Below(10));
    }
    return sign + digits;
  }

  std::string OddRoute() {
    const std::string target =
        m_random.Below(2) == 0 ? R"("service":)" + Pick(kTexts)
                               : R"("split":[{"service":"sound","weight":)" + Pick(kNumbers) +
                                     R"(},{"service":"sound","weight":)" + Pick(kNumbers) + "}]";
    return R"({"name":)" + Pick(kTexts) + R"(,"hostname":)" + Pick(kTexts) + R"(,"prefix":)" +
           Pick(kTexts) + R"(,"routeType":)" + Pick(kTexts) + R"(,"timeout":)" + Pick(kTimes) +
           R"(,"slo":)" + Pick(kTimes) + R"(,"priority":)" + Pick(kNumbers) + R"(,"attempts":)" +
           Pick(kNumbers) + R"(,"allowedRegions":[)" + Pick(kTexts) + R"(,"finistere"],)" + target +
           "}";
  }

  RandomSource m_random;
  std::vector<std::string> m_sound;
  std::vector<std::string> m_ranks;
};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Returns the group of the priority of a sound route.
std::size_t GroupOf(const Declaration& declaration, std::size_t number) {
  const Route* route = declaration.FindRoute(kHost, "/" + std::to_string(number) + "/x");
  return PriorityOf(declaration, *route).group;
}

struct GeneratedRow {
  std::string_view name;
};

const std::array generated_rows{GeneratedRow{"configurations"}};

// Guards against any value of the store's grammar for which a whole configuration is refused, or
// which changes how the sound routes beside it are treated. For a longer run by hand, set
// DAMASKHOLLOW_CONFIGURATION_SEEDS and DAMASKHOLLOW_CONFIGURATION_FIRST_SEED.
void TestGenerated(const GeneratedRow&) {
  const std::uint64_t first = NumberFromEnvironment("DAMASKHOLLOW_CONFIGURATION_FIRST_SEED", 4800);
  const std::uint64_t seeds = NumberFromEnvironment("DAMASKHOLLOW_CONFIGURATION_SEEDS", 60);
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    ConfigurationGenerator generator(seed);
    const std::string value = generator.Next();
    const auto declaration = Accepted(value);
    const std::span<const std::string> sound = generator.SoundRoutes();
    for (std::size_t number = 0; number < std::min(sound.size(), kMaxComparedRoutes); ++number) {
      AssertTreatedAsAlone(*declaration, number, sound[number]);
      if (number == 0) continue;
      const double rank = std::stod(generator.Ranks()[number]);
      const double before = std::stod(generator.Ranks()[number - 1]);
      if (rank == before) continue;
      const bool is_more_urgent = GroupOf(*declaration, number) < GroupOf(*declaration, number - 1);
      CPPUNIT_ASSERT_EQUAL(rank < before, is_more_urgent);
    }
  }
}

const test::TableTest<GeneratedRow> generated_test("GeneratedConfiguration", generated_rows,
                                                   TestGenerated);

struct OrderRow {
  std::string_view name;
  std::vector<std::string> ranks;  // JSON texts, most urgent first.
};

const std::array order_rows{
    OrderRow{"negative and large", {"-1e300", "-2", "0", "3", "1001", "4294967296", "1e999"}},
    OrderRow{"beyond the integers of a double", {"9007199254740992", "9007199254740993"}},
    OrderRow{"beyond 64 bits", {"9223372036854775807", "1e19", "1e20"}},
};

// Guards against priorities whose order is lost in the translation.
void TestOrder(const OrderRow& row) {
  std::vector<std::string> routes;
  for (std::size_t index = row.ranks.size(); index-- > 0;) {
    routes.push_back(SoundRoute(index, row.ranks[index]));
  }
  const std::vector<std::string> services{kSoundService};
  const auto declaration = Accepted(Configuration(routes, services, kLimits));
  for (std::size_t index = 0; index < row.ranks.size(); ++index) {
    const Route* route = declaration->FindRoute(kHost, "/" + std::to_string(index) + "/x");
    CPPUNIT_ASSERT(route != nullptr && !route->unreadable);
    CPPUNIT_ASSERT_EQUAL(index, PriorityOf(*declaration, *route).rank);
    CPPUNIT_ASSERT_EQUAL(index, PriorityOf(*declaration, *route).group);
  }
}

const test::TableTest<OrderRow> order_test("UnusualPriorities", order_rows, TestOrder);

}  // namespace

}  // namespace damaskhollow
