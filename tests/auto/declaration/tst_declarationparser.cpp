#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>

#include "declaration/declarationparser.h"

namespace damaskhollow {

namespace {

constexpr std::string_view kValid = R"({
 "format": 1,
 "regions": [{"id": "finistere", "data_centres": ["brest"]}],
 "priorities": [{"id": "clerk", "rank": 0, "target_ms": 300, "guaranteed_share": 0.4, "may_cross_regions": true},
                {"id": "export", "rank": 1, "target_ms": 60000, "guaranteed_share": 0.1, "may_cross_regions": false}],
 "services": [{"id": "portail", "hosts": ["portail.example"], "default_deadline_ms": 5000, "max_body_bytes": 1048576,
   "rules": [{"methods": ["POST"], "path_prefix": "/datasets", "priority": "clerk", "idempotent": false}]}],
 "backend_servers": [{"id": "portail-1", "service": "portail", "address": "127.0.0.1:9001",
   "peer_address": "127.0.0.1:7001", "region": "finistere", "data_centre": "brest", "slots": 9, "connections": 220}],
 "budgets": {"measuring_bytes_per_second": 10000, "probes_per_second": 1, "paid_link_bytes_per_second": 1000000,
   "retry_share": 0.1, "hedge_share": 0.05}
})";

// A change of the valid declaration and the failure that it must produce.
struct InvalidCase {
  std::string_view name;
  std::string_view from;
  std::string_view to;
  FailureCode code;
  std::string_view subject;
};

constexpr std::array kInvalidCases{
    InvalidCase{"not JSON", "\"format\": 1,", "\"format\" 1,", FailureCode::kSyntax, "d.json"},
    InvalidCase{"unknown format", "\"format\": 1", "\"format\": 2", FailureCode::kOutOfRange,
                "d.json: format"},
    InvalidCase{"unknown field", "\"rank\": 0,", "\"rank\": 0, \"colour\": 1,",
                FailureCode::kUnknownField, "d.json: priorities[0].colour"},
    InvalidCase{"missing field", "\"slots\": 9, ", "", FailureCode::kMissingField,
                "d.json: backend_servers[0].slots"},
    InvalidCase{"wrong unit", "\"target_ms\": 300", "\"target_s\": 300", FailureCode::kMissingField,
                "d.json: priorities[0].target_ms"},
    InvalidCase{"extra unit", "\"target_ms\": 300", "\"target_ms\": 300, \"target_s\": 1",
                FailureCode::kWrongUnit, "d.json: priorities[0].target_s"},
    InvalidCase{"wrong type", "\"slots\": 9", "\"slots\": \"9\"", FailureCode::kWrongType,
                "d.json: backend_servers[0].slots"},
    InvalidCase{"fraction", "\"slots\": 9", "\"slots\": 9.5", FailureCode::kWrongType,
                "d.json: backend_servers[0].slots"},
    InvalidCase{"share above one", "\"guaranteed_share\": 0.4", "\"guaranteed_share\": 0.95",
                FailureCode::kImpossibleShare, "d.json: priorities"},
    InvalidCase{"duplicate priority", "\"id\": \"export\"", "\"id\": \"clerk\"",
                FailureCode::kDuplicateId, "d.json: priorities[1].id"},
    InvalidCase{"negative rank", "\"rank\": 0", "\"rank\": -1", FailureCode::kOutOfRange,
                "d.json: priorities[0].rank"},
    InvalidCase{"rank with a fraction", "\"rank\": 1", "\"rank\": 1.5", FailureCode::kWrongType,
                "d.json: priorities[1].rank"},
    InvalidCase{"unknown data centre", "\"data_centre\": \"brest\"", "\"data_centre\": \"rennes\"",
                FailureCode::kUnknownReference, "d.json: backend_servers[0].data_centre"},
    InvalidCase{"unknown priority", "\"priority\": \"clerk\"", "\"priority\": \"vip\"",
                FailureCode::kUnknownReference, "d.json: services[0].rules[0].priority"},
    InvalidCase{"host name", "127.0.0.1:9001", "localhost:9001", FailureCode::kInvalidAddress,
                "d.json: backend_servers[0].address"},
    InvalidCase{"too few connections", "\"connections\": 220", "\"connections\": 3",
                FailureCode::kOutOfRange, "d.json: backend_servers[0].connections"},
};

std::string Replaced(std::string_view text, std::string_view from, std::string_view to) {
  std::string result(text);
  const std::size_t position = result.find(from);
  CPPUNIT_ASSERT(position != std::string::npos);
  return result.replace(position, from.size(), to);
}

}  // namespace

class DeclarationParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclarationParserTest);
  CPPUNIT_TEST(AcceptsValidDeclaration);
  CPPUNIT_TEST(RefusesInvalidDeclarations);
  CPPUNIT_TEST(AcceptsAnyRank);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptsValidDeclaration() {
    const ParsedDeclaration parsed = ParseDeclaration("d.json", kValid);
    CPPUNIT_ASSERT(parsed.failures.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, parsed.declaration.backend_servers.front().slots);
    const Service* service = parsed.declaration.FindServiceByHost("portail.example:8080");
    CPPUNIT_ASSERT(service != nullptr);
    CPPUNIT_ASSERT(Declaration::FindRule(*service, "POST", "/datasets/1") != nullptr);
    CPPUNIT_ASSERT(Declaration::FindRule(*service, "GET", "/datasets/1") == nullptr);
  }

  // Guards against a bound on a number that only orders priorities.
  void AcceptsAnyRank() {
    for (const std::string_view rank : {"31", "32", "1001", "4294967296", "9007199254740992"}) {
      const ParsedDeclaration parsed = ParseDeclaration(
          "d.json", Replaced(kValid, "\"rank\": 1", "\"rank\": " + std::string(rank)));
      CPPUNIT_ASSERT(parsed.failures.empty());
      CPPUNIT_ASSERT_EQUAL(std::string("export"), parsed.declaration.priorities[1].id.Value());
    }
  }

  // Guards against accepting a declaration with a misspelt, misplaced or invalid field.
  void RefusesInvalidDeclarations() {
    for (const InvalidCase& row : kInvalidCases) {
      const ParsedDeclaration parsed =
          ParseDeclaration("d.json", Replaced(kValid, row.from, row.to));
      bool found = false;
      for (const Failure& failure : parsed.failures) {
        found = found || (failure.code == row.code && failure.subject == row.subject);
      }
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), found);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationParserTest);

}  // namespace damaskhollow
