#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>

#include "auto/fleet/testfleet.h"
#include "fleet/fleetview.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendServerId server_zero("server-0");

TimePoint At(seconds since_start) { return TimePoint(seconds(1000)) + since_start; }
WallTime WallAt(seconds since_start) { return WallTime(milliseconds(1700000000000)) + since_start; }

std::vector<VmEntry> ListOf(std::size_t first, std::size_t end) {
  std::vector<VmEntry> entries;
  for (std::size_t index = first; index < end; ++index) {
    entries.push_back({BackendServerId("server-" + std::to_string(index)), false});
  }
  return entries;
}

FleetView MakeView(std::size_t count) {
  FleetView view;
  view.SetInventory(test::MakeFleet(count), At(seconds(0)), WallAt(seconds(0)));
  view.OfferList(ListOf(0, count), At(seconds(0)), WallAt(seconds(0)));
  return view;
}

enum class Listed { kNever, kLive, kLeaving, kAbsent };
enum class Link { kUnknown, kUp, kDown };

// The data on a server and the state that must follow from it by the first matching rule.
struct StateCase {
  std::string_view name;
  std::optional<bool> stated_draining;
  Listed listed;
  seconds absent_for;
  Link link;
  MemberState state;
};

constexpr std::array kStateCases{
    StateCase{"nothing known", {}, Listed::kNever, seconds(0), Link::kUnknown, MemberState::kLive},
    StateCase{"statement goes before list", true, Listed::kLive, seconds(0), Link::kUp,
              MemberState::kDraining},
    StateCase{"statement goes before link", true, Listed::kAbsent, seconds(20), Link::kDown,
              MemberState::kDraining},
    StateCase{"leaving by list", false, Listed::kLeaving, seconds(0), Link::kUp,
              MemberState::kLeaving},
    StateCase{"leaving by list, link down", false, Listed::kLeaving, seconds(0), Link::kDown,
              MemberState::kLeaving},
    StateCase{"absent with live link", false, Listed::kAbsent, seconds(20), Link::kUp,
              MemberState::kLeaving},
    StateCase{
        "absent for 10 s", {}, Listed::kAbsent, seconds(10), Link::kUnknown, MemberState::kGone},
    StateCase{"absent for 9 s, link down",
              {},
              Listed::kAbsent,
              seconds(9),
              Link::kDown,
              MemberState::kUnreachable},
    StateCase{"absent for 9 s, no link",
              {},
              Listed::kAbsent,
              seconds(9),
              Link::kUnknown,
              MemberState::kLive},
    StateCase{"link down", false, Listed::kLive, seconds(0), Link::kDown,
              MemberState::kUnreachable},
    StateCase{"live", false, Listed::kLive, seconds(0), Link::kUp, MemberState::kLive},
};

}  // namespace

class FleetViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewTest);
  CPPUNIT_TEST(FirstMatchingRuleDecides);
  CPPUNIT_TEST(StatementsAreOrdered);
  CPPUNIT_TEST(NewLinkProvesServer);
  CPPUNIT_TEST(ShrunkListIsDoubted);
  CPPUNIT_TEST(DoubtedListIsTakenAfterThreeReads);
  CPPUNIT_TEST(DoubtedListWaitsForLiveLinks);
  CPPUNIT_TEST(AbsenceIsDatedByFirstList);
  CPPUNIT_TEST(RemovedServerKeepsItsAbsence);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FirstMatchingRuleDecides() {
    for (const StateCase& row : kStateCases) {
      FleetView view;
      view.SetInventory(test::MakeFleet(5), At(seconds(0)), WallAt(seconds(0)));
      if (row.stated_draining) {
        view.RecordStatement({server_zero, Incarnation{1}, 1, *row.stated_draining, 0, 1});
      }
      std::vector<VmEntry> list = ListOf(row.listed == Listed::kAbsent ? 1 : 0, 5);
      list.front().leaving = row.listed == Listed::kLeaving;
      if (row.listed != Listed::kNever) view.OfferList(list, At(seconds(0)), WallAt(seconds(0)));
      if (row.link == Link::kUp) view.OnLinkUp(server_zero);
      if (row.link == Link::kDown) view.OnLinkDown(server_zero);
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name),
                             view.StateOf(server_zero, At(row.absent_for)) == row.state);
    }
  }

  // Guards against a delayed statement overriding a newer one, and against a drain that persists
  // after the process that reported it has restarted.
  void StatementsAreOrdered() {
    FleetView view = MakeView(5);
    CPPUNIT_ASSERT(view.RecordStatement({server_zero, Incarnation{9}, 5, true, 0, 100}));
    CPPUNIT_ASSERT(!view.RecordStatement({server_zero, Incarnation{9}, 4, false, 0, 100}));
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(0))) == MemberState::kDraining);
    CPPUNIT_ASSERT(view.RecordStatement({server_zero, Incarnation{3}, 1, false, 0, 200}));
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(0))) == MemberState::kLive);
    CPPUNIT_ASSERT(!view.RecordStatement({server_zero, Incarnation{9}, 6, true, 0, 100}));
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(0))) == MemberState::kLive);
  }

  void NewLinkProvesServer() {
    FleetView view = MakeView(5);
    view.OnLinkUp(server_zero);
    view.OnLinkDown(server_zero);
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(600))) == MemberState::kUnreachable);
    view.OnLinkUp(server_zero);
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(600))) == MemberState::kLive);
  }

  // Guards against an empty or truncated list that removes most of the fleet from routing.
  void ShrunkListIsDoubted() {
    struct Row {
      std::size_t size;
      FleetView::ListResult result;
    };
    static constexpr std::array kRows{
        Row{0, FleetView::ListResult::kSuspect}, Row{4, FleetView::ListResult::kSuspect},
        Row{5, FleetView::ListResult::kAccepted}, Row{9, FleetView::ListResult::kAccepted}};
    for (const Row& row : kRows) {
      FleetView view = MakeView(10);
      const auto result = view.OfferList(ListOf(0, row.size), At(seconds(1)), WallAt(seconds(1)));
      CPPUNIT_ASSERT(result == row.result);
      const bool is_kept =
          view.StateOf(BackendServerId("server-9"), At(seconds(60))) == MemberState::kLive;
      CPPUNIT_ASSERT_EQUAL(row.result == FleetView::ListResult::kSuspect, is_kept);
    }
  }

  void DoubtedListIsTakenAfterThreeReads() {
    FleetView view = MakeView(10);
    CPPUNIT_ASSERT(view.OfferList({}, At(seconds(1)), WallAt(seconds(1))) ==
                   FleetView::ListResult::kSuspect);
    CPPUNIT_ASSERT(view.OfferList({}, At(seconds(11)), WallAt(seconds(11))) ==
                   FleetView::ListResult::kSuspect);
    CPPUNIT_ASSERT(view.OfferList({}, At(seconds(21)), WallAt(seconds(21))) ==
                   FleetView::ListResult::kSuspect);
    CPPUNIT_ASSERT(view.OfferList({}, At(seconds(31)), WallAt(seconds(31))) ==
                   FleetView::ListResult::kAccepted);
    CPPUNIT_ASSERT(view.AbsentSince(server_zero) == WallAt(seconds(31)));
  }

  void DoubtedListWaitsForLiveLinks() {
    FleetView view = MakeView(10);
    view.OnLinkUp(server_zero);
    for (int read = 0; read < 10; ++read) {
      const seconds time(10 * read);
      CPPUNIT_ASSERT(view.OfferList({}, At(time), WallAt(time)) == FleetView::ListResult::kSuspect);
    }
    view.OnLinkDown(server_zero);
    CPPUNIT_ASSERT(view.OfferList({}, At(seconds(100)), WallAt(seconds(100))) ==
                   FleetView::ListResult::kAccepted);
  }

  // At-most-once execution relies on this time, so it must never be too early.
  void AbsenceIsDatedByFirstList() {
    FleetView view = MakeView(10);
    CPPUNIT_ASSERT(!view.AbsentSince(server_zero));
    view.OfferList(ListOf(1, 10), At(seconds(5)), WallAt(seconds(5)));
    view.OfferList(ListOf(2, 10), At(seconds(9)), WallAt(seconds(9)));
    CPPUNIT_ASSERT(view.AbsentSince(server_zero) == WallAt(seconds(5)));
    view.OfferList(ListOf(0, 10), At(seconds(12)), WallAt(seconds(12)));
    CPPUNIT_ASSERT(!view.AbsentSince(server_zero));
    view.OfferList(ListOf(1, 10), At(seconds(20)), WallAt(seconds(20)));
    CPPUNIT_ASSERT(view.AbsentSince(server_zero) == WallAt(seconds(20)));
  }

  void RemovedServerKeepsItsAbsence() {
    FleetView view = MakeView(10);
    std::vector<FleetNode> fewer = test::MakeFleet(10);
    fewer.erase(fewer.begin());
    view.SetInventory(fewer, At(seconds(5)), WallAt(seconds(5)));
    CPPUNIT_ASSERT(view.StateOf(server_zero, At(seconds(5))) == MemberState::kGone);
    CPPUNIT_ASSERT(!view.AbsentSince(server_zero));
    view.OfferList(ListOf(1, 10), At(seconds(8)), WallAt(seconds(8)));
    CPPUNIT_ASSERT(view.AbsentSince(server_zero) == WallAt(seconds(8)));
    view.SetInventory(fewer, At(seconds(1000)), WallAt(seconds(1000)));
    CPPUNIT_ASSERT(!view.AbsentSince(server_zero));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

}  // namespace damaskhollow
