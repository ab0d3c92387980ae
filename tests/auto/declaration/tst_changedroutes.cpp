#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "declaration/declarationparser.h"
#include "declaration/jsonentries.h"

namespace damaskhollow {

namespace {

constexpr std::string_view kHead =
    R"({"format":1,"regions":[{"id":"finistere","data_centres":["brest"]}],
"priorities":[{"id":"clerk","rank":0,"target_ms":300,"guaranteed_share":0.4,"may_cross_regions":true}],
"services":[{"id":"portail","hosts":[],"default_deadline_ms":5000,"max_body_bytes":0,"rules":[]}],"routes":[)";
constexpr std::string_view kTail = R"(],"backend_servers":[],
"budgets":{"measuring_bytes_per_second":10000,"probes_per_second":1,"paid_link_bytes_per_second":1000000,
"retry_share":0.1,"hedge_share":0.05}})";

std::string RouteText(std::size_t number, int timeout_ms) {
  return R"({"id":"r)" + std::to_string(number) + R"(","host":"[},{\"","path_prefix":"/)" +
         std::to_string(number) + R"(","priority":"clerk","idempotent":true,"timeout_ms":)" +
         std::to_string(timeout_ms) +
         R"(,"attempts":2,"parts":[{"service":"portail","weight":90}]})";
}

std::string Document(const std::vector<std::string>& routes, std::string_view separator = ",") {
  std::string text(kHead);
  for (const std::string& route : routes) {
    text += (&route == routes.data() ? "" : std::string(separator)) + route;
  }
  return text + std::string(kTail);
}

// Everything that parsing yields, for comparisons.
std::string Summary(const ParsedDeclaration& parsed) {
  std::string text;
  for (const Failure& failure : parsed.failures) text += Describe(failure) + "\n";
  if (!parsed.failures.empty()) return text;
  for (const Route& route : parsed.declaration.routes) {
    text += route.id.Value() + " " + route.host + route.path_prefix + " " + route.priority.Value() +
            " " + std::to_string(route.timeout.count()) + " " + std::to_string(route.attempts);
    for (const RoutePart& part : route.parts) {
      text += " " + part.service.Value() + " " + std::to_string(part.weight);
    }
    text += route.idempotent ? " idempotent\n" : "\n";
  }
  return text + std::to_string(parsed.declaration.services.size());
}

// A text that the parser must treat as it does without an earlier declaration.
struct OddText {
  std::string_view name;
  std::string_view from;
  std::string_view to;
};

constexpr std::array kOddTexts{
    OddText{"entry missing", ",{\"id\":\"r2\"", ",,{\"id\":\"r2\""},
    OddText{"comma at the end", "],\"backend_servers\"", ",],\"backend_servers\""},
    OddText{"entry closed twice", ",{\"id\":\"r2\"", "},{\"id\":\"r2\""},
    OddText{"array not closed", "],\"backend_servers\"", ",\"backend_servers\""},
    OddText{"array closed as an object", "],\"backend_servers\"", "},\"backend_servers\""},
    OddText{"field twice, the second empty", "],\"backend_servers\"",
            "],\"routes\":[],\"backend_servers\""},
    OddText{"field twice, the second escaped", "],\"backend_servers\"",
            "],\"rou\\u0074es\":[],\"backend_servers\""},
    OddText{"field twice, the first escaped", "\"format\":1", "\"rou\\u0074es\":[],\"format\":1"},
    OddText{"number instead of the array", "\"routes\":[", "\"routes\":0,\"more\":["},
    OddText{"field of an inner object", "\"format\":1", "\"format\":1,\"x\":{\"routes\":[]}"},
    OddText{"number among the entries", ",{\"id\":\"r2\"", ",5,{\"id\":\"r2\""},
    OddText{"duplicate id", "\"id\":\"r2\"", "\"id\":\"r1\""},
    OddText{"duplicate prefix", "\"path_prefix\":\"/2\"", "\"path_prefix\":\"/1\""},
    OddText{"priority that is gone", "\"id\":\"clerk\"", "\"id\":\"export\""},
    OddText{"service that is gone", "\"id\":\"portail\"", "\"id\":\"entrepot\""},
    OddText{"string not closed", "\"host\":\"[},{\\\"\"", "\"host\":\"[},{\\\""},
    OddText{"ends with a backslash", "0.05}}", "0.05}}\\"},
};

}  // namespace

class ChangedRoutesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangedRoutesTest);
  CPPUNIT_TEST(ReadsOnlyChangedRoutes);
  CPPUNIT_TEST(YieldsTheSameAsWithoutAnEarlierDeclaration);
  CPPUNIT_TEST(TreatsOddTextsAsWithoutAnEarlierDeclaration);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against nodes with little processor time that fall behind a series of versions, because
  // they read all routes again for each of them.
  void ReadsOnlyChangedRoutes() {
    for (const std::size_t size : {10U, 1400U}) {
      std::vector<std::string> routes;
      for (std::size_t number = 0; number < size; ++number) {
        routes.push_back(RouteText(number, 1000));
      }
      const std::string before = Document(routes);
      const ParsedDeclaration known = ParseDeclaration("d.json", before);
      CPPUNIT_ASSERT(known.failures.empty());
      routes[size / 2] = RouteText(size / 2, 2000);
      routes.erase(routes.begin());
      routes.push_back(RouteText(size, 1000));
      const ParsedDeclaration parsed =
          ParseDeclaration("d.json", Document(routes), {before, known.declaration});
      CPPUNIT_ASSERT_EQUAL(size, parsed.declaration.routes.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed.read_routes);
    }
  }

  // Property test: series of random changes of routes, of which some make the text invalid.
  void YieldsTheSameAsWithoutAnEarlierDeclaration() {
    RandomSource random(11);
    std::vector<std::string> routes{RouteText(0, 1000)};
    std::string before = Document(routes);
    ParsedDeclaration known = ParseDeclaration("d.json", before);
    for (int round = 0; round < 500; ++round) {
      std::vector<std::string> changed = routes;
      const std::size_t position = random.Below(changed.size() + 1);
      const auto at = changed.begin() + static_cast<std::ptrdiff_t>(position);
      if (position < changed.size() && random.Below(3) == 0) {
        changed.erase(at);
      } else {
        changed.insert(at, RouteText(random.Below(40), static_cast<int>(random.Below(20))));
      }
      std::string text = Document(changed, random.Below(2) == 0 ? "," : " ,\n ");
      if (random.Below(8) == 0) text.erase(random.Below(text.size()), 1);
      const ParsedDeclaration expected = ParseDeclaration("d.json", text);
      const ParsedDeclaration parsed =
          ParseDeclaration("d.json", text, {before, known.declaration});
      CPPUNIT_ASSERT_EQUAL(Summary(expected), Summary(parsed));
      if (!parsed.failures.empty()) continue;
      routes = changed;
      before = text;
      known = parsed;
    }
    CPPUNIT_ASSERT(routes.size() > 5);
  }

  void TreatsOddTextsAsWithoutAnEarlierDeclaration() {
    const std::string before = Document({RouteText(1, 1000), RouteText(2, 1000)});
    const ParsedDeclaration known = ParseDeclaration("d.json", before);
    for (const OddText& row : kOddTexts) {
      std::string text = before;
      const std::size_t position = text.find(row.from);
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), position != std::string::npos);
      text.replace(position, row.from.size(), row.to);
      const ParsedDeclaration parsed =
          ParseDeclaration("d.json", text, {before, known.declaration});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(row.name), Summary(ParseDeclaration("d.json", text)),
                                   Summary(parsed));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangedRoutesTest);

}  // namespace damaskhollow
