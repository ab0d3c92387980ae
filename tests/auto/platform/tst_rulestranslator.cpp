#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "declaration/declarationparser.h"
#include "platform/rulestranslator.h"

namespace damaskhollow {

namespace {

using platform::RetryBounds;
using platform::TranslatedRoutes;
using platform::TranslatedRules;
using platform::TranslateRules;

constexpr RetryBounds kRetries{0.2, 58.0};

std::string RouteText(std::size_t number, std::size_t rank) {
  return R"({"name":"r)" + std::to_string(number) + R"(","hostname":"h.example","prefix":"/)" +
         std::to_string(number) +
         R"(/","routeType":"safe","timeout":"2s","slo":"500ms","priority":)" +
         std::to_string(rank) + R"(,"service":"portail","attempts":2})";
}

std::string Configuration(int version, const std::vector<std::string>& routes) {
  std::string text = R"({"configVersion":)" + std::to_string(version) + R"(,"routes":[)";
  for (const std::string& route : routes) text += (&route == routes.data() ? "" : ",") + route;
  return text + R"(],"services":[{"name":"portail","healthPath":"/healthz"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeout":"3s","idleTimeout":"15s"}})";
}

const platform::RulesContext context{
    {{DataCentreId("brest-a"), RegionId("finistere")}}, kRetries, {}};

}  // namespace

class RulesTranslatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RulesTranslatorTest);
  CPPUNIT_TEST(TranslatesOnlyChangedRoutes);
  CPPUNIT_TEST(YieldsTheSameWithAnyKnownRoutes);
  CPPUNIT_TEST(InvalidConfigurationKeepsTheKnownRoutes);
  CPPUNIT_TEST(RefusedEntriesHarmOnlyThemselves);
  CPPUNIT_TEST(FailureOutsideOfEntriesIsReported);
  CPPUNIT_TEST(FaultsAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a reader with little processor time that passes changes on late, because it
  // translates all routes again for each version.
  void TranslatesOnlyChangedRoutes() {
    constexpr std::size_t kRoutes = 1400;
    std::vector<std::string> texts;
    for (std::size_t number = 0; number < kRoutes; ++number) texts.push_back(RouteText(number, 1));
    TranslatedRoutes routes;
    CPPUNIT_ASSERT(TranslateRules(Configuration(1, texts), context, routes));
    const TranslatedRoutes before = routes;
    CPPUNIT_ASSERT_EQUAL(kRoutes, before.size());
    texts[kRoutes / 2] = RouteText(kRoutes, 1);
    CPPUNIT_ASSERT(TranslateRules(Configuration(2, texts), context, routes));
    std::size_t translated = 0;
    for (const auto& [text, route] : routes) {
      const auto found = before.find(text);
      if (found == before.end() || found->second != route) ++translated;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, translated);
  }

  // Property test: readers translate the same configuration after different earlier ones, and must
  // give it the same text. The names of priorities change with the number of ranks.
  void YieldsTheSameWithAnyKnownRoutes() {
    RandomSource random(3);
    TranslatedRoutes known;
    for (int round = 1; round < 200; ++round) {
      std::vector<std::string> texts;
      const std::size_t ranks = random.Below(2) == 0 ? 3 : 50;
      for (std::size_t number = 0; number < 60; ++number) {
        texts.push_back(RouteText(number, random.Below(ranks)));
      }
      const std::string value = Configuration(round, texts);
      TranslatedRoutes none;
      const Result<TranslatedRules> expected = TranslateRules(value, context, none);
      const Result<TranslatedRules> document = TranslateRules(value, context, known);
      CPPUNIT_ASSERT(expected && document);
      CPPUNIT_ASSERT_EQUAL(expected.value().text, document.value().text);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(round), document.value().version);
    }
  }

  // Guards against a refused configuration after which all routes are translated again.
  void InvalidConfigurationKeepsTheKnownRoutes() {
    TranslatedRoutes routes;
    const std::vector<std::string> texts{RouteText(1, 1), RouteText(2, 1)};
    CPPUNIT_ASSERT(TranslateRules(Configuration(1, texts), context, routes));
    const TranslatedRoutes before = routes;
    const std::string bad = Configuration(2, {RouteText(1, 1), R"({"name":"r3")"});
    CPPUNIT_ASSERT(!TranslateRules(bad, context, routes));
    CPPUNIT_ASSERT(before == routes);
  }

  // Guards against a fault of the translation that costs all routes: an entry whose translation the
  // declaration refuses is treated as unreadable, and is reported as a fault of the translation.
  void RefusedEntriesHarmOnlyThemselves() {
    struct Row {
      std::string refused;  // Text with which the check refuses an entry.
      std::string field;    // Of the declaration.
      bool refuses_unreadable;
      std::string_view path;
      std::size_t faults;  // Of the translation.
    };
    const std::vector<Row> rows{
        {"\"id\":\"r2\"", "routes[1].id", false, "op/config: routes[1].", 1},
        {"\"path_prefix\":\"/2/\"", "routes[1].path_prefix", true, "op/config: routes[1].", 2},
        {"\"id\":\"portail\"", "services[0].id", false, "op/config: services[0].", 1}};
    for (const Row& row : rows) {
      platform::RulesContext refusing = context;
      refusing.check = [&row](std::string_view text) {
        std::vector<Failure> failures = platform::DeclarationChecker()(text);
        if (text.find(row.refused) != std::string_view::npos) {
          // An entry may have several failures.
          const Failure failure{FailureCode::kWrongType, "translation: " + row.field, "is refused"};
          failures.insert(failures.end(), 2, failure);
        }
        return failures;
      };
      TranslatedRoutes routes;
      const std::vector<std::string> texts{RouteText(1, 1), RouteText(2, 1), RouteText(3, 1)};
      const Result<TranslatedRules> rules =
          TranslateRules(Configuration(1, texts), refusing, routes);
      CPPUNIT_ASSERT(rules);
      const ParsedDeclaration parsed = ParseDeclaration("rules", rules.value().text);
      CPPUNIT_ASSERT(parsed.failures.empty());
      const bool is_route = row.field.starts_with("routes");
      const Route* refused = parsed.declaration.FindRoute("h.example", "/2/x");
      CPPUNIT_ASSERT_EQUAL(row.refuses_unreadable, refused == nullptr);
      CPPUNIT_ASSERT(refused == nullptr || refused->unreadable);
      for (const char* path : {"/1/x", "/3/x"}) {
        const Route* other = parsed.declaration.FindRoute("h.example", path);
        CPPUNIT_ASSERT(other != nullptr);
        CPPUNIT_ASSERT_EQUAL(!is_route, other->unreadable);
      }
      std::size_t of_translation = 0;
      for (const platform::EntryFault& fault : rules.value().faults.Kept()) {
        if (!fault.is_of_translation) continue;
        ++of_translation;
        CPPUNIT_ASSERT(fault.failure.subject.starts_with(row.path));
      }
      CPPUNIT_ASSERT_EQUAL(row.faults, of_translation);
    }
  }

  // Guards against a translation that goes on for ever when no entry explains a failure.
  void FailureOutsideOfEntriesIsReported() {
    platform::RulesContext refusing = context;
    int checks = 0;
    refusing.check = [&checks](std::string_view) {
      ++checks;
      return std::vector<Failure>{{FailureCode::kWrongType, "translation: budgets", "is refused"}};
    };
    TranslatedRoutes routes;
    CPPUNIT_ASSERT(!TranslateRules(Configuration(1, {RouteText(1, 1)}), refusing, routes));
    CPPUNIT_ASSERT_EQUAL(1, checks);
    CPPUNIT_ASSERT(routes.empty());
  }

  // Guards against memory and log lines for each of the hundreds of thousands of entries that a
  // configuration can have.
  void FaultsAreBounded() {
    constexpr std::size_t kEntries = 10000;
    TranslatedRoutes routes;
    const Result<TranslatedRules> rules =
        TranslateRules(Configuration(1, std::vector<std::string>(kEntries, "1")), context, routes);
    CPPUNIT_ASSERT(rules);
    CPPUNIT_ASSERT_EQUAL(kEntries, rules.value().faults.UnreadableCount());
    CPPUNIT_ASSERT(rules.value().faults.Kept().size() < kEntries / 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesTranslatorTest);

}  // namespace damaskhollow
