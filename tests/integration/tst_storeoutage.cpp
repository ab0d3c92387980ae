#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <string_view>

#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

// The platform's `stability`: this long after the store's return, changes must bind again.
constexpr std::chrono::milliseconds kStability{4000};
// Within this time after a change all readers begin their next watches.
constexpr std::chrono::milliseconds kAfterChange{100};

struct OutageCase {
  std::string_view name;
  StandInStore::Mode mode;
  std::chrono::milliseconds length;
};

constexpr std::array kCases{
    OutageCase{"no responses for 1 s", StandInStore::Mode::kSilent,
               std::chrono::milliseconds(1000)},
    OutageCase{"no responses for 3 s", StandInStore::Mode::kSilent,
               std::chrono::milliseconds(3000)},
    OutageCase{"no responses for 12 s", StandInStore::Mode::kSilent,
               std::chrono::milliseconds(12000)},
    OutageCase{"refusals for 3 s", StandInStore::Mode::kBusy, std::chrono::milliseconds(3000)},
    OutageCase{"lost answers for 3 s", StandInStore::Mode::kAborting,
               std::chrono::milliseconds(3000)},
    // The watches that begin after the change are on new connections and work.
    OutageCase{"open connections without responses", StandInStore::Mode::kServing,
               std::chrono::milliseconds(0)},
};

// Guards against nodes that follow no change after a store's outage: all their watches began while
// the store did not respond, and each was waited for although the store was back.
void WatchesAgainAfterOutage(const OutageCase& row) {
  PlatformFleet fleet;
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), fleet.Start());
  StandInStore& store = fleet.Store();
  const auto is_watched = [&] {
    return store.PendingWatches("op/") > 0 && store.PendingWatches("servers/") > 0;
  };
  CPPUNIT_ASSERT(WaitUntil(is_watched));
  fleet.PutConfiguration(2);
  fleet.PutInstance(0, "draining");
  RunFor(kAfterChange);
  store.SetMode(row.mode);
  store.MakeOpenConnectionsUnresponsive();
  RunFor(row.length);
  store.SetMode(StandInStore::Mode::kServing);
  CPPUNIT_ASSERT_MESSAGE(fleet.Output(), WaitUntil(is_watched, kStability));
  // What has changed since is followed, too.
  fleet.PutConfiguration(
      3, R"(,{"name":"new","hostname":"shop.test","prefix":"/new/","routeType":"safe",)"
         R"("service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})");
  fleet.PutInstance(0);
  for (std::size_t index = 0; index < PlatformFleet::kNodes; ++index) {
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Call(index, "GET", "/new/").status == 200; }));
  }
}

const TableTest<OutageCase> registration("StoreOutage", kCases, &WatchesAgainAfterOutage);

}  // namespace

}  // namespace damaskhollow::test
