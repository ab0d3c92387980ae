#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>
#include <string>

#include "policy/callclassifier.h"
#include "policy/splitpicker.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

Declaration RoutedDeclaration() {
  Declaration declaration;
  Priority urgent;
  urgent.id = PriorityId("urgent");
  urgent.target = milliseconds(400);
  declaration.priorities = {urgent};
  const auto add = [&](const char* id, const char* prefix, bool idempotent, int timeout_ms) {
    Route route;
    route.id = RouteId(id);
    route.host = "portal.example";
    route.path_prefix = prefix;
    route.priority = urgent.id;
    route.idempotent = idempotent;
    route.timeout = milliseconds(timeout_ms);
    route.attempts = 2;
    route.parts = {{ServiceId("portal"), 1.0}};
    declaration.routes.push_back(route);
  };
  add("pages", "/pages/", true, 1200);
  add("drafts", "/pages/drafts/", false, 1500);
  Route unreadable;
  unreadable.id = RouteId("unreadable:portal.example/pages/new/");
  unreadable.host = "portal.example";
  unreadable.path_prefix = "/pages/new/";
  unreadable.unreadable = true;
  declaration.routes.push_back(unreadable);
  return declaration;
}

struct RouteRow {
  std::string_view name;
  std::string_view host;
  std::string_view target;
  std::string_view deadline;
  Reason refusal;
  std::string_view route;
  int deadline_ms;
};

const std::array route_rows{
    RouteRow{"prefix", "portal.example", "/pages/1", "", Reason::kNone, "pages", 1200},
    RouteRow{"longest prefix", "portal.example", "/pages/drafts/1?x=/pages/", "", Reason::kNone,
             "drafts", 1500},
    RouteRow{"host with port", "portal.example:8080", "/pages/1", "", Reason::kNone, "pages", 1200},
    RouteRow{"shorter deadline of the caller", "portal.example", "/pages/1", "700", Reason::kNone,
             "pages", 700},
    RouteRow{"longer deadline of the caller", "portal.example", "/pages/1", "5000", Reason::kNone,
             "pages", 1200},
    RouteRow{"prefix without its slash", "portal.example", "/pages", "", Reason::kNoRule, "", 0},
    RouteRow{"other host", "other.example", "/pages/1", "", Reason::kNoRule, "", 0},
    RouteRow{"unreadable route below another", "portal.example", "/pages/new/1", "",
             Reason::kRouteUnreadable, "", 0},
    RouteRow{"deadline that is no number", "portal.example", "/pages/1", "soon",
             Reason::kDeadlineInvalid, "", 0},
};

void TestRoute(const RouteRow& row) {
  CallDescription call;
  call.method = "GET";
  call.host = row.host;
  call.target = row.target;
  call.deadline = row.deadline;
  const Classification result = ClassifyCall(RoutedDeclaration(), call);
  CPPUNIT_ASSERT(row.refusal == result.refusal);
  if (row.refusal != Reason::kNone) return;
  CPPUNIT_ASSERT_EQUAL(std::string(row.route), result.call_class.route.Value());
  CPPUNIT_ASSERT(milliseconds(row.deadline_ms) == result.call_class.deadline);
  CPPUNIT_ASSERT(milliseconds(400) == result.call_class.target);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.call_class.attempts);
}

const test::TableTest<RouteRow> route_test("RouteTable", route_rows, TestRoute);

struct SplitRow {
  std::string_view name;
  std::vector<double> weights;
  std::size_t calls;
  std::vector<std::size_t> expected;
};

const std::array split_rows{
    SplitRow{"ninety to ten", {90.0, 10.0}, 20, {18, 2}},
    SplitRow{"thirds", {1.0, 1.0, 1.0}, 9, {3, 3, 3}},
    SplitRow{"part without weight", {1.0, 0.0}, 10, {10, 0}},
    SplitRow{"fractions", {0.75, 0.25}, 8, {6, 2}},
};

void TestSplit(const SplitRow& row) {
  std::vector<RoutePart> parts;
  for (std::size_t index = 0; index < row.weights.size(); ++index) {
    parts.push_back({ServiceId("s" + std::to_string(index)), row.weights[index]});
  }
  SplitPicker picker;
  std::map<ServiceId, std::size_t> counts;
  for (std::size_t call = 0; call < row.calls; ++call) ++counts[picker.Pick(RouteId("r"), parts)];
  for (std::size_t index = 0; index < parts.size(); ++index) {
    CPPUNIT_ASSERT_EQUAL(row.expected[index], counts[parts[index].service]);
  }
}

const test::TableTest<SplitRow> split_test("SplitPicker", split_rows, TestSplit);

}  // namespace

}  // namespace damaskhollow
