#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <string>

#include "auto/policy/queueingsimulation.h"
#include "policy/router.h"

namespace damaskhollow {

namespace {

using test::QueueingSimulation;
using test::ServerBehaviour;
using test::SimulatedDeclaration;

constexpr std::array<std::uint64_t, 3> kSeeds{1, 20, 300};
constexpr std::size_t kServers = 9;
constexpr std::size_t kIngresses = 4;
// 60 % of the capacity of nine servers with nine slots and a mean service time of 10 ms.
constexpr double kCallsPerSecond = 4860.0;
constexpr std::chrono::seconds kWarmUp{15};
constexpr std::chrono::seconds kRunTime{20};

// Returns the 99th percentile of the latencies while the first server is slower by the factor
// `slowdown`, counted from the start of the slowdown.
Duration P99LatencyWithSlowServer(std::string_view strategy, double slowdown, std::uint64_t seed) {
  QueueingSimulation simulation(strategy, SimulatedDeclaration(kServers, 0, 0), kIngresses, seed);
  simulation.Run(kWarmUp, kCallsPerSecond);
  simulation.SetBehaviour(0, ServerBehaviour{slowdown, false});
  simulation.Run(kRunTime, kCallsPerSecond);
  return simulation.Percentile(0.99);
}

double ShareOf(const QueueingSimulation& simulation, std::size_t server) {
  return static_cast<double>(simulation.Sent(server)) / static_cast<double>(simulation.TotalSent());
}

std::vector<BackendServerId> SubsetWith(std::size_t servers, const std::string& node) {
  const NodeLocation location{BackendServerId(node), RegionId("west"), DataCentreId("west-1")};
  Router router("adaptive", location, 1);
  router.SetDeclaration(SimulatedDeclaration(servers, 0, 0), TimePoint{});
  return router.SubsetOf(ServiceId("s"));
}

std::size_t CountMissing(const std::vector<BackendServerId>& from,
                         const std::vector<BackendServerId>& in) {
  return static_cast<std::size_t>(std::count_if(from.begin(), from.end(), [&](const auto& id) {
    return std::find(in.begin(), in.end(), id) == in.end();
  }));
}

ReportedLoad IdleLoad(std::uint64_t incarnation) {
  ReportedLoad load;
  load.incarnation = Incarnation{incarnation};
  load.limit = 9;
  load.service_time = Duration(10000);
  return load;
}

}  // namespace

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(KeepsTailWithOneSlowServer);
  CPPUNIT_TEST(GivesFailFastServerFewCalls);
  CPPUNIT_TEST(RampsColdServer);
  CPPUNIT_TEST(KeepsPaidLinkBudgetAfterCut);
  CPPUNIT_TEST(RefusesForPaidLinkBudget);
  CPPUNIT_TEST(KeepsSubsetStable);
  CPPUNIT_TEST(SpreadsSubsetsEvenly);
  CPPUNIT_TEST(GivesNothingToDrainingServers);
  CPPUNIT_TEST(TakesHealedServerBackByTrial);
  CPPUNIT_TEST(EjectsAtMostHalf);
  CPPUNIT_TEST(AvoidsServersWithoutBackend);
  CPPUNIT_TEST(KeepsUrgentCallsNearDuringFlood);
  CPPUNIT_TEST(ReplacesServersOfASubset);
  CPPUNIT_TEST(AsksOnlyNearServersThatAreOpen);
  CPPUNIT_TEST(TakesTheLeastOffer);
  CPPUNIT_TEST(LeavesTheRegionOnlyForCallsThatWouldBeLate);
  CPPUNIT_TEST(FarServerThatIsNotTakenCostsNoBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one slow server that raises the tail latency of the whole service.
  void KeepsTailWithOneSlowServer() {
    for (const std::uint64_t seed : kSeeds) {
      const Duration healthy = P99LatencyWithSlowServer("adaptive", 1.0, seed);
      const Duration slow = P99LatencyWithSlowServer("adaptive", 10.0, seed);
      const Duration round_robin = P99LatencyWithSlowServer("round_robin", 10.0, seed);
      const Duration least_reported = P99LatencyWithSlowServer("least_reported", 10.0, seed);
      std::cout << "  seed " << seed << ": p99 us healthy " << healthy.count() << ", one slow "
                << slow.count() << ", round robin " << round_robin.count() << ", least reported "
                << least_reported.count() << '\n';
      CPPUNIT_ASSERT(slow * 2 <= healthy * 3);
      CPPUNIT_ASSERT(slow * 5 <= round_robin);
    }
  }

  // Guards against treating fast errors as low latency.
  void GivesFailFastServerFewCalls() {
    for (const std::uint64_t seed : kSeeds) {
      QueueingSimulation simulation("adaptive", SimulatedDeclaration(kServers, 0, 0), kIngresses,
                                    seed);
      simulation.Run(kWarmUp, kCallsPerSecond);
      simulation.SetBehaviour(0, ServerBehaviour{1.0, true});
      simulation.Run(kRunTime, kCallsPerSecond);
      const double share = ShareOf(simulation, 0);
      std::cout << "  seed " << seed << ": fail-fast server got " << share * 100 << " %\n";
      CPPUNIT_ASSERT(share < 0.02);
      simulation.SetBehaviour(0, ServerBehaviour{});
      simulation.Run(std::chrono::seconds(100), kCallsPerSecond / 10);
      simulation.Run(kRunTime, kCallsPerSecond);
      std::cout << "  seed " << seed << ": share after recovery " << ShareOf(simulation, 0) * 100
                << " %\n";
      CPPUNIT_ASSERT(ShareOf(simulation, 0) > 0.05);
    }
  }

  // Guards against full load on a restarted server whose caches are still empty.
  void RampsColdServer() {
    for (const std::uint64_t seed : kSeeds) {
      QueueingSimulation simulation("adaptive", SimulatedDeclaration(kServers, 0, 0), kIngresses,
                                    seed);
      simulation.Run(kWarmUp, kCallsPerSecond);
      simulation.Restart(0);
      std::array<double, 3> shares{};
      for (double& share : shares) {
        simulation.Run(std::chrono::seconds(1), kCallsPerSecond);
        share = ShareOf(simulation, 0);
        simulation.Run(std::chrono::seconds(4), kCallsPerSecond);
      }
      std::cout << "  seed " << seed
                << ": share of cold server in second 0, 5, 10: " << shares[0] * 100 << " %, "
                << shares[1] * 100 << " %, " << shares[2] * 100 << " %\n";
      CPPUNIT_ASSERT(shares[0] < 0.03);
      CPPUNIT_ASSERT(shares[1] > shares[0] && shares[1] < shares[2]);
      CPPUNIT_ASSERT(shares[2] > 0.08);
    }
  }

  // Guards against exceeding the paid link budget when a region becomes reachable again.
  void KeepsPaidLinkBudgetAfterCut() {
    constexpr std::size_t kNear = 4;
    constexpr std::size_t kFar = 4;
    constexpr std::size_t kBudget = 400000;  // Bytes per second of the region.
    // Above the capacity of the near servers, so that every call would prefer a far server.
    constexpr double kOverload = 4500.0;
    for (const std::uint64_t seed : kSeeds) {
      QueueingSimulation simulation("adaptive", SimulatedDeclaration(kNear, kFar, kBudget), kNear,
                                    seed);
      simulation.Run(std::chrono::seconds(5), kOverload);
      for (std::size_t server = kNear; server < kNear + kFar; ++server) {
        simulation.SetReachable(server, false);
      }
      simulation.Run(std::chrono::seconds(5), kOverload);
      for (std::size_t server = kNear; server < kNear + kFar; ++server) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.Sent(server));
        simulation.SetReachable(server, true);
      }
      for (int second = 0; second < 5; ++second) {
        simulation.Run(std::chrono::seconds(1), kOverload);
        std::size_t crossed = 0;
        for (std::size_t server = kNear; server < kNear + kFar; ++server) {
          crossed += simulation.Sent(server) * QueueingSimulation::kCallBytes;
        }
        std::cout << "  seed " << seed << ": bytes across regions in second " << second << ": "
                  << crossed << '\n';
        // The token bucket, full with the bytes of one second, adds to the first second.
        CPPUNIT_ASSERT(crossed <= kBudget * (second == 0 ? 2 : 1) + kBudget / 20);
        CPPUNIT_ASSERT(crossed > 0);
      }
    }
  }

  void RefusesForPaidLinkBudget() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("n0"), RegionId("west"), DataCentreId("w")}, 1);
    const TimePoint now{std::chrono::seconds(1)};
    router.SetDeclaration(SimulatedDeclaration(1, 1, 1000), now);
    router.RecordLoad(BackendServerId("f0"), IdleLoad(1), now);
    router.SetReachable(BackendServerId("f0"), true, now);
    RoutingRequest request{ServiceId("s"), true, true, 5000, {}};
    const RoutingChoice first = router.Choose(request, now);
    CPPUNIT_ASSERT(first.refusal == Reason::kNone && first.crosses_regions);
    CPPUNIT_ASSERT(router.Choose(request, now).refusal == Reason::kPaidLinkBudget);
    request.may_cross_regions = false;
    CPPUNIT_ASSERT(router.Choose(request, now).refusal == Reason::kNoServer);
    request.may_cross_regions = true;
    const TimePoint later = now + std::chrono::seconds(6);
    CPPUNIT_ASSERT(router.Choose(request, later).refusal == Reason::kNone);
    router.RecordPaidLinkBytes(100000, later);
    CPPUNIT_ASSERT(router.Choose(request, later + std::chrono::seconds(6)).refusal ==
                   Reason::kPaidLinkBudget);
  }

  void AsksOnlyNearServersThatAreOpen() {
    Router router = MakeRouter();
    std::vector<BackendServerId> queried =
        router.ServersToQuery(MakeRequest(), QueryScope::kOtherDataCentresOfRegion, 3, kQueryTime);
    std::sort(queried.begin(), queried.end());
    CPPUNIT_ASSERT(queried == (std::vector{BackendServerId("n0"), BackendServerId("n1")}));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        router.ServersToQuery(MakeRequest(), QueryScope::kOtherDataCentresOfRegion, 1, kQueryTime)
            .size());
    router.SetReachable(BackendServerId("n0"), false, kQueryTime);
    queried =
        router.ServersToQuery(MakeRequest(), QueryScope::kOtherDataCentresOfRegion, 3, kQueryTime);
    CPPUNIT_ASSERT(queried == std::vector{BackendServerId("n1")});
  }

  void TakesTheLeastOffer() {
    Router router = MakeRouter();
    const std::array estimates{LoadEstimate{BackendServerId("n0"), Duration(300000)},
                               LoadEstimate{BackendServerId("n1"), Duration(100000)}};
    const RoutingChoice choice = router.ChooseAmong(MakeRequest(), estimates, kQueryTime);
    CPPUNIT_ASSERT(choice.server == BackendServerId("n1"));
    CPPUNIT_ASSERT(!choice.crosses_regions);
  }

  void LeavesTheRegionOnlyForCallsThatWouldBeLate() {
    Router router = MakeRouter();
    RoutingRequest call = MakeRequest();
    const std::array slow{LoadEstimate{BackendServerId("n0"), Duration(900000)}};
    call.target_left = Duration(1000000);
    CPPUNIT_ASSERT(!router.ChooseAmong(call, slow, kQueryTime).crosses_regions);
    call.target_left = Duration(500000);
    call.excluded = m_near;
    CPPUNIT_ASSERT(router.ChooseAmong(call, slow, kQueryTime).crosses_regions);
    call.may_cross_regions = false;
    CPPUNIT_ASSERT(!router.ChooseAmong(call, slow, kQueryTime).crosses_regions);
  }

  // Guards against charging the paid link budget for calls that stay in the region.
  void FarServerThatIsNotTakenCostsNoBytes() {
    Router router = MakeRouter();
    RoutingRequest call = MakeRequest();
    call.excluded = m_near;
    call.target_left = Duration(0);
    call.bytes = 5000;
    // Late, but still earlier than in the far region.
    const std::array estimates{LoadEstimate{BackendServerId("n0"), Duration(20000)}};
    for (int index = 0; index < 10; ++index) {
      CPPUNIT_ASSERT(!router.ChooseAmong(call, estimates, kQueryTime).crosses_regions);
    }
    CPPUNIT_ASSERT(router.Choose(call, kQueryTime).crosses_regions);
  }

  // Guards against replacing all connections of an ingress when one server joins.
  void KeepsSubsetStable() {
    constexpr std::size_t kFleet = 200;
    std::size_t changed = 0;
    for (int node = 0; node < 50; ++node) {
      const std::string name = "node" + std::to_string(node);
      const std::vector<BackendServerId> before = SubsetWith(kFleet, name);
      const std::vector<BackendServerId> after = SubsetWith(kFleet + 1, name);
      CPPUNIT_ASSERT(before.size() >= 12 && before.size() <= 24);
      CPPUNIT_ASSERT(CountMissing(before, after) <= 1);
      changed += CountMissing(before, after);
    }
    std::cout << "  " << changed << " of 50 nodes replaced a server\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, SubsetWith(12, "node").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, SubsetWith(5, "node").size());
  }

  // Guards against servers that are in the subset of no ingress or of too few.
  void SpreadsSubsetsEvenly() {
    constexpr std::size_t kFleet = 60;
    constexpr int kNodes = 600;
    std::map<BackendServerId, std::size_t> uses;
    std::size_t total = 0;
    for (int node = 0; node < kNodes; ++node) {
      for (const BackendServerId& id : SubsetWith(kFleet, "node" + std::to_string(node))) {
        ++uses[id];
        ++total;
      }
    }
    CPPUNIT_ASSERT_EQUAL(kFleet, uses.size());
    for (const auto& entry : uses) CPPUNIT_ASSERT(entry.second * kFleet * 2 > total);
  }

  void GivesNothingToDrainingServers() {
    for (const std::string_view strategy :
         {"adaptive", "round_robin", "random", "least_reported"}) {
      Router router(strategy,
                    NodeLocation{BackendServerId("i"), RegionId("west"), DataCentreId("w")}, 7);
      const TimePoint now{std::chrono::seconds(1)};
      router.SetDeclaration(SimulatedDeclaration(2, 0, 0), now);
      ReportedLoad draining = IdleLoad(1);
      draining.draining = true;
      router.RecordLoad(BackendServerId("n0"), draining, now);
      router.RecordLoad(BackendServerId("n1"), IdleLoad(2), now);
      router.SetReachable(BackendServerId("n0"), true, now);
      router.SetReachable(BackendServerId("n1"), true, now);
      const RoutingRequest request{ServiceId("s"), true, true, 0, {}};
      for (int call = 0; call < 50; ++call) {
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), router.Choose(request, now).server.Value());
      }
      router.SetEligible(BackendServerId("n1"), false, now);
      CPPUNIT_ASSERT(router.Choose(request, now).refusal == Reason::kNoServer);
    }
  }

  // Guards against sending many calls at once to a server that has just become reachable again.
  void TakesHealedServerBackByTrial() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("i"), RegionId("west"), DataCentreId("w")}, 3);
    const TimePoint now{std::chrono::seconds(1)};
    router.SetDeclaration(SimulatedDeclaration(2, 0, 0), now);
    const BackendServerId recovered("n0");
    const BackendServerId other("n1");
    for (const BackendServerId& id : {recovered, other}) {
      router.RecordLoad(id, IdleLoad(1), now);
      router.SetReachable(id, true, now);
    }
    router.SetReachable(recovered, false, now);
    router.SetReachable(recovered, true, now);
    RoutingRequest request{ServiceId("s"), false, true, 0, {}};
    CPPUNIT_ASSERT(router.Choose(request, now).server == other);
    request.idempotent = true;
    CPPUNIT_ASSERT(router.Choose(request, now).server == recovered);
    router.RecordSent(recovered, CallId{1}, 0, now);
    for (int call = 0; call < 50; ++call) {
      CPPUNIT_ASSERT(router.Choose(request, now).server == other);
    }
    router.RecordEnded(recovered, CallId{1}, AttemptResult::kAnswered, now);
    int chosen = 0;
    for (int call = 0; call < 1000; ++call) {
      if (router.Choose(request, now).server == recovered) ++chosen;
    }
    CPPUNIT_ASSERT(chosen > 0 && chosen < 100);
  }

  // Guards against ejecting all servers of a service when the calls themselves cause the errors.
  void EjectsAtMostHalf() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("i"), RegionId("west"), DataCentreId("w")}, 3);
    TimePoint now{std::chrono::seconds(1)};
    router.SetDeclaration(SimulatedDeclaration(5, 0, 0), now);
    for (int server = 0; server < 5; ++server) {
      const BackendServerId id("n" + std::to_string(server));
      router.RecordLoad(id, IdleLoad(1), now);
      router.SetReachable(id, true, now);
    }
    const RoutingRequest request{ServiceId("s"), true, true, 0, {}};
    std::map<std::string, int> last_calls;
    for (std::uint64_t call = 1; call <= 400; ++call) {
      const RoutingChoice choice = router.Choose(request, now);
      router.RecordSent(choice.server, CallId{call}, 0, now);
      router.RecordEnded(choice.server, CallId{call}, AttemptResult::kError, now);
      now += std::chrono::microseconds(100);
      if (call > 200) ++last_calls[choice.server.Value()];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, last_calls.size());
  }

  // Guards against calls that use up their attempts on owners whose backend refuses connections.
  void AvoidsServersWithoutBackend() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("i"), RegionId("west"), DataCentreId("w")}, 3);
    const TimePoint now{std::chrono::seconds(1)};
    router.SetDeclaration(SimulatedDeclaration(4, 0, 0), now);
    for (int server = 0; server < 4; ++server) {
      const BackendServerId id("n" + std::to_string(server));
      router.RecordLoad(id, IdleLoad(1), now);
      router.SetReachable(id, true, now);
      if (server == 3) continue;
      router.RecordSent(id, CallId{static_cast<std::uint64_t>(server) + 1}, 0, now);
      router.RecordEnded(id, CallId{static_cast<std::uint64_t>(server) + 1},
                         AttemptResult::kNoBackend, now);
    }
    const RoutingRequest request{ServiceId("s"), true, true, 0, {}};
    for (int call = 0; call < 50; ++call) {
      CPPUNIT_ASSERT_EQUAL(std::string("n3"), router.Choose(request, now).server.Value());
    }
    // Each server is eligible again after its suspension.
    CPPUNIT_ASSERT(router.Choose(request, now + std::chrono::milliseconds(300)).server !=
                   BackendServerId("n3"));
  }

  // Guards against urgent calls that cross the paid link because the near servers are full of less
  // urgent calls, which urgent ones overtake in the owner's queue.
  void KeepsUrgentCallsNearDuringFlood() {
    const TimePoint now{std::chrono::seconds(1)};
    std::shared_ptr<const Declaration> declaration = SimulatedDeclaration(1, 1, 1000000);
    const BackendServer& near = declaration->backend_servers[0];
    const BackendServer& far = declaration->backend_servers[1];
    CPPUNIT_ASSERT(near.region != far.region);
    Router router("adaptive", NodeLocation{BackendServerId("i"), near.region, near.data_centre}, 3);
    router.SetDeclaration(declaration, now);
    for (const BackendServerId& id : {near.id, far.id}) {
      router.RecordLoad(id, IdleLoad(1), now);
      router.SetReachable(id, true, now);
    }
    for (std::uint64_t call = 1; call <= 100; ++call) {
      router.RecordSent(near.id, CallId{call}, 1, now);
    }
    RoutingRequest request{ServiceId("s"), true, true, 0, {}};
    CPPUNIT_ASSERT(router.Choose(request, now).server == near.id);
    request.priority_index = 1;
    CPPUNIT_ASSERT(router.Choose(request, now).server == far.id);
  }

  // Guards against subsets and scores of the wrong server when servers move between services and
  // regions.
  void ReplacesServersOfASubset() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("i"), RegionId("west"), DataCentreId("w")}, 3);
    const TimePoint now{std::chrono::seconds(1)};
    RandomSource random(11);
    for (int round = 0; round < 200; ++round) {
      Declaration declaration;
      declaration.budgets.paid_link_bytes_per_second = 1000;
      for (const char* name : {"a", "b"}) {
        Service service;
        service.id = ServiceId(name);
        service.subset_size = 3;
        declaration.services.push_back(service);
      }
      for (int server = 0; server < 8; ++server) {
        if (random.Below(4) == 0) continue;
        BackendServer entry;
        entry.id = BackendServerId("n" + std::to_string(server));
        entry.service = ServiceId(random.Below(2) == 0 ? "a" : "b");
        entry.region = RegionId(random.Below(2) == 0 ? "west" : "east");
        entry.data_centre = DataCentreId("w");
        declaration.backend_servers.push_back(entry);
      }
      router.SetDeclaration(std::make_shared<const Declaration>(declaration), now);
      router.SetEligible(BackendServerId("n1"), random.Below(2) == 0, now);
      for (const Service& service : declaration.services) {
        const std::vector<BackendServerId> subset = router.SubsetOf(service.id);
        for (const BackendServerId& id : subset) {
          CPPUNIT_ASSERT(declaration.FindServer(id) != nullptr);
          CPPUNIT_ASSERT(declaration.FindServer(id)->service == service.id);
          CPPUNIT_ASSERT_EQUAL(1L, std::count(subset.begin(), subset.end(), id));
        }
      }
    }
  }

 private:
  static constexpr TimePoint kQueryTime{std::chrono::seconds(100)};

  // Returns a router with two near servers and a far one, all reachable and idle, and a paid link
  // budget that one call of more than 1000 bytes uses up.
  static Router MakeRouter() {
    Router router("adaptive",
                  NodeLocation{BackendServerId("self"), RegionId("west"), DataCentreId("w")}, 1);
    router.SetDeclaration(SimulatedDeclaration(2, 1, 1000), kQueryTime);
    for (const char* server : {"n0", "n1", "f0"}) {
      router.RecordLoad(BackendServerId(server), IdleLoad(1), kQueryTime);
      router.SetReachable(BackendServerId(server), true, kQueryTime);
    }
    return router;
  }

  // Returns a request of 100 bytes with 500 ms left to its target.
  static RoutingRequest MakeRequest() {
    RoutingRequest call{ServiceId("s"), true, true, 100, {}};
    call.target_left = std::chrono::milliseconds(500);
    return call;
  }

  const std::array<BackendServerId, 2> m_near{BackendServerId("n0"), BackendServerId("n1")};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace damaskhollow
