#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <string_view>

#include "declaration/declarationdiff.h"
#include "declaration/declarationparser.h"

namespace damaskhollow {

namespace {

constexpr std::string_view kBefore = R"({
 "format": 1,
 "regions": [{"id": "finistere", "data_centres": ["brest"]}],
 "priorities": [{"id": "clerk", "rank": 0, "target_ms": 300, "guaranteed_share": 0.4, "may_cross_regions": true},
                {"id": "export", "rank": 1, "target_ms": 60000, "queue_bound_ms": 2000, "guaranteed_share": 0.1, "may_cross_regions": false}],
 "services": [{"id": "portail", "hosts": ["portail.example"], "default_deadline_ms": 5000, "max_body_bytes": 1048576,
   "rules": [{"methods": ["POST"], "path_prefix": "/datasets", "priority": "clerk", "idempotent": false},
             {"methods": ["GET"], "path_prefix": "/datasets", "priority": "export", "idempotent": true}]}],
 "backend_servers": [{"id": "portail-1", "service": "portail", "address": "127.0.0.1:9001",
   "peer_address": "127.0.0.1:7001", "region": "finistere", "data_centre": "brest", "slots": 9, "connections": 220}],
 "budgets": {"measuring_bytes_per_second": 10000, "probes_per_second": 1, "paid_link_bytes_per_second": 1000000,
   "retry_share": 0.1, "hedge_share": 0.05}
})";

// A change of the declaration text and the difference that it must produce.
struct DiffCase {
  std::string_view from;
  std::string_view to;
  ChangeKind kind;
  std::string_view subject;
  std::string_view field;
  std::string_view before;
  std::string_view after;
};

constexpr ChangeKind kChanged = ChangeKind::kChanged;

constexpr std::array kCases{
    DiffCase{"[\"brest\"]", "[\"brest\", \"quimper\"]", kChanged, "region finistere",
             "data_centres", "brest", "brest, quimper"},
    DiffCase{"\"target_ms\": 60000", "\"target_ms\": 90000", kChanged, "priority export",
             "target_ms", "60000", "90000"},
    DiffCase{"0.4", "0.5", kChanged, "priority clerk", "guaranteed_share", "0.4", "0.5"},
    DiffCase{"\"may_cross_regions\": false", "\"may_cross_regions\": true", kChanged,
             "priority export", "may_cross_regions", "false", "true"},
    DiffCase{"\"max_body_bytes\": 1048576", "\"max_body_bytes\": 1048576, \"shed_status\": 429",
             kChanged, "service portail", "shed_status", "(none)", "429"},
    DiffCase{"\"priority\": \"export\", \"idempotent\": true",
             "\"priority\": \"export\", \"idempotent\": false", kChanged,
             "service portail, rule GET /datasets", "idempotent", "true", "false"},
    DiffCase{"\"priority\": \"clerk\", \"idempotent\": false",
             "\"priority\": \"clerk\", \"idempotent\": false, \"deadline_ms\": 2000", kChanged,
             "service portail, rule POST /datasets", "deadline_ms", "(none)", "2000"},
    DiffCase{"\"slots\": 9", "\"slots\": 12", kChanged, "backend server portail-1", "slots", "9",
             "12"},
    DiffCase{"127.0.0.1:9001", "127.0.0.1:9002", kChanged, "backend server portail-1", "address",
             "127.0.0.1:9001", "127.0.0.1:9002"},
    DiffCase{"\"retry_share\": 0.1", "\"retry_share\": 0.2", kChanged, "budgets", "retry_share",
             "0.1", "0.2"},
};

std::string Replaced(std::string_view text, std::string_view from, std::string_view to) {
  std::string result(text);
  const std::size_t position = result.find(from);
  CPPUNIT_ASSERT_MESSAGE(std::string(from), position != std::string::npos);
  return result.replace(position, from.size(), to);
}

Declaration Parse(std::string_view text) {
  ParsedDeclaration parsed = ParseDeclaration("d.json", text);
  CPPUNIT_ASSERT_MESSAGE(parsed.failures.empty() ? "" : Describe(parsed.failures.front()),
                         parsed.failures.empty());
  return parsed.declaration;
}

}  // namespace

class DeclarationDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeclarationDiffTest);
  CPPUNIT_TEST(FindsNothingInEqualDeclarations);
  CPPUNIT_TEST(FindsEachChangedField);
  CPPUNIT_TEST(FindsAddedAndRemovedEntries);
  CPPUNIT_TEST(FindsChangedOrderOfRules);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsNothingInEqualDeclarations() {
    CPPUNIT_ASSERT(DeclarationDiff(Parse(kBefore), Parse(kBefore)).Changes().empty());
  }

  // Guards against a changed field that the difference does not report, so that a review of the
  // difference misses it.
  void FindsEachChangedField() {
    for (const DiffCase& row : kCases) {
      const DeclarationDiff diff(Parse(kBefore), Parse(Replaced(kBefore, row.from, row.to)));
      const std::string name(row.to);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1}, diff.Changes().size());
      const DeclarationChange& change = diff.Changes().front();
      CPPUNIT_ASSERT_MESSAGE(name, change.kind == row.kind);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.subject), change.subject);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.field), change.field);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.before), change.before);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(row.after), change.after);
      CPPUNIT_ASSERT_MESSAGE(name, !change.effect.empty());
    }
  }

  // Guards against a renamed server that is reported as one changed entry, or not at all.
  void FindsAddedAndRemovedEntries() {
    const DeclarationDiff diff(Parse(kBefore), Parse(Replaced(kBefore, "portail-1", "portail-2")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, diff.Changes().size());
    CPPUNIT_ASSERT(diff.Changes()[0].kind == ChangeKind::kRemoved);
    CPPUNIT_ASSERT_EQUAL(std::string("backend server portail-1"), diff.Changes()[0].subject);
    CPPUNIT_ASSERT(diff.Changes()[1].kind == ChangeKind::kAdded);
    CPPUNIT_ASSERT_EQUAL(std::string("backend server portail-2"), diff.Changes()[1].subject);
  }

  // Of two matching rules with prefixes of the same length the first is used, so that a change of
  // their order must be reported.
  void FindsChangedOrderOfRules() {
    Declaration after = Parse(kBefore);
    std::swap(after.services[0].rules[0], after.services[0].rules[1]);
    const DeclarationDiff diff(Parse(kBefore), after);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, diff.Changes().size());
    CPPUNIT_ASSERT_EQUAL(std::string("order"), diff.Changes().front().field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeclarationDiffTest);

}  // namespace damaskhollow
