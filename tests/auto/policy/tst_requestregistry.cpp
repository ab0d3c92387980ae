#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "policy/requesthome.h"
#include "policy/requestregistry.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Kind = RequestDecision::Kind;

constexpr WallTime kStarted{seconds(1700000000)};
constexpr WallTime kNow = kStarted + minutes(30);
constexpr std::string_view kDigest = "digest of the request";

std::string IdAt(WallTime created, std::string_view token = "a") {
  return std::to_string(created.time_since_epoch().count()) + "-" + std::string(token);
}

const std::vector<BackendServerId>& Servers() {
  static const std::vector<BackendServerId> servers{BackendServerId("s1"), BackendServerId("s2"),
                                                    BackendServerId("s3")};
  return servers;
}

// Returns the registry of the server at `position` in the home order of `request_id`. All servers
// have used the current inventory, version 7, since `current`.
RequestRegistry RegistryAt(std::size_t position, std::string_view request_id,
                           WallTime current = kStarted, RegistryLimits limits = {}) {
  const BackendServerId self = HomeOrder(Servers(), request_id)[position];
  RequestRegistry registry(self, kStarted, limits);
  registry.SetInventory(Servers(), 7, current);
  for (const BackendServerId& server : Servers()) {
    registry.RecordConfigurationVersion(server, Incarnation{1}, 7, current);
  }
  return registry;
}

}  // namespace

class RequestRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRegistryTest);
  CPPUNIT_TEST(ParsesRequestIds);
  CPPUNIT_TEST(OrderDoesNotDependOnOtherServers);
  CPPUNIT_TEST(ChoosesFirstHomeThatIsNotRuledOut);
  CPPUNIT_TEST(AcceptsOnlyIdsThatItWouldRemember);
  CPPUNIT_TEST(ClockSetBackDoesNotRenewForgottenIds);
  CPPUNIT_TEST(AnswersResends);
  CPPUNIT_TEST(RefusesIdOfAnotherRequest);
  CPPUNIT_TEST(AsksHigherServers);
  CPPUNIT_TEST(AsksServersThatMayUseAnotherInventory);
  CPPUNIT_TEST(DoesNotAskServersThatWereAbsent);
  CPPUNIT_TEST(ReleasesOnlyWhatItHasNotSeen);
  CPPUNIT_TEST(BoundsEntriesAndAnswers);
  CPPUNIT_TEST(RefusesOutsideTheInventory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesRequestIds() {
    CPPUNIT_ASSERT(CreationTime("1700000000000-order_7.b-2") == kStarted);
    const std::string longest = "1-" + std::string(64, 'x');
    CPPUNIT_ASSERT(CreationTime(longest).has_value());
    for (const std::string& invalid :
         {std::string(), std::string("-a"), std::string("1700000000000"), std::string("17x-a"),
          std::string("1-"), std::string("1-a b"), std::string("+1-a"), std::string("1 -a"),
          std::string("999999999999999-a"), std::string("99999999999999999999999-a"),
          longest + "x"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, !CreationTime(invalid));
    }
  }

  // Guards against an inventory change that swaps the order of two servers: each would then wait
  // for the other, or neither would query the other.
  void OrderDoesNotDependOnOtherServers() {
    for (int token = 0; token < 50; ++token) {
      const std::string id = IdAt(kNow, std::to_string(token));
      std::vector<BackendServerId> all = Servers();
      all.emplace_back("s4");
      all.emplace_back("s5");
      std::vector<BackendServerId> order = HomeOrder(all, id);
      std::erase_if(order, [](const BackendServerId& server) { return server.Value() > "s3"; });
      CPPUNIT_ASSERT(order == HomeOrder(Servers(), id));
    }
  }

  void ChoosesFirstHomeThatIsNotRuledOut() {
    Declaration declaration;
    for (const BackendServerId& server : Servers()) {
      BackendServer& entry = declaration.backend_servers.emplace_back();
      entry.id = server;
      entry.service = ServiceId("portail");
    }
    const std::string id = IdAt(kNow);
    const std::vector<BackendServerId> order = HomeOrder(Servers(), id);
    const auto choose = [&](std::vector<BackendServerId> tried, const AbsentSince& absent) {
      return ChooseHome(declaration, ServiceId("portail"), id, tried, absent);
    };
    const AbsentSince first_absent = [&](const BackendServerId& server) -> std::optional<WallTime> {
      if (server == order[0]) return kNow;
      return std::nullopt;
    };
    CPPUNIT_ASSERT(choose({}, {}).server == order[0]);
    CPPUNIT_ASSERT(choose({order[0]}, {}).server == order[1]);
    CPPUNIT_ASSERT(choose({order[1]}, first_absent).server == order[2]);
    CPPUNIT_ASSERT(choose(order, {}).refusal == Reason::kHomeUnreachable);
  }

  // Guards against a second run after the home lost its record of the first, by age or by a
  // restart.
  void AcceptsOnlyIdsThatItWouldRemember() {
    struct Row {
      std::string_view name;
      WallTime created;
      Reason reason;
    };
    const std::array rows{
        Row{"now", kNow, Reason::kNone},
        Row{"ahead within the allowance", kNow + milliseconds(2000), Reason::kNone},
        Row{"ahead beyond the allowance", kNow + milliseconds(2001), Reason::kRequestIdInvalid},
        Row{"10 minutes old", kNow - minutes(10), Reason::kNone},
        Row{"over 10 minutes old", kNow - minutes(10) - milliseconds(1),
            Reason::kRequestIdExpired}};
    for (const Row& row : rows) {
      const std::string id = IdAt(row.created);
      RequestRegistry registry = RegistryAt(0, id);
      const RequestDecision decision = registry.RegisterArrival(id, kDigest, {}, kNow);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(row.name), static_cast<int>(row.reason),
                                   static_cast<int>(decision.reason));
    }
    for (const milliseconds after_start : {milliseconds(-5000), milliseconds(2000)}) {
      const std::string id = IdAt(kStarted + after_start);
      RequestRegistry registry = RegistryAt(0, id, kStarted - minutes(1));
      CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kStarted + seconds(5)).reason ==
                     Reason::kHomeRestarted);
    }
    const std::string id = IdAt(kStarted + milliseconds(2001));
    RequestRegistry registry = RegistryAt(0, id, kStarted - minutes(1));
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kStarted + seconds(5)).kind ==
                   Kind::kAccept);
    CPPUNIT_ASSERT(registry.RegisterArrival("no id", kDigest, {}, kNow).reason ==
                   Reason::kRequestIdInvalid);
  }

  // Guards against accepting an id again after its record was removed and the wall clock set back.
  void ClockSetBackDoesNotRenewForgottenIds() {
    const std::string id = IdAt(kNow);
    RequestRegistry registry = RegistryAt(0, id);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kAccept);
    registry.RecordResponse(id, {});
    registry.Sweep({}, kNow + minutes(11));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.Count());
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).reason ==
                   Reason::kRequestIdExpired);
    CPPUNIT_ASSERT(registry.Release(id, kNow).reason == Reason::kRequestIdExpired);
  }

  // Guards against answering a request with the response to another request with the same id.
  void RefusesIdOfAnotherRequest() {
    const std::string id = IdAt(kNow);
    RequestRegistry registry = RegistryAt(0, id);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kAccept);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, "another digest", {}, kNow).reason ==
                   Reason::kRequestIdConflict);
    registry.RecordResponse(id, StoredResponse{"head", "body"});
    CPPUNIT_ASSERT(registry.RegisterArrival(id, "another digest", {}, kNow).reason ==
                   Reason::kRequestIdConflict);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kReplay);
  }

  void AnswersResends() {
    const std::string id = IdAt(kNow);
    RequestRegistry registry = RegistryAt(0, id);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kAccept);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).reason ==
                   Reason::kAlreadyRunning);
    registry.RecordNotRun(id);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kAccept);
    registry.RecordResponse(id, {"head", "body"});
    const RequestDecision replay = registry.RegisterArrival(id, kDigest, {}, kNow + minutes(1));
    CPPUNIT_ASSERT(replay.kind == Kind::kReplay);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), replay.response->body);
    registry.RecordNotRun(id);  // A late refusal of another send must not remove the record.
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).kind == Kind::kReplay);

    const std::string failed = IdAt(kNow, "b");
    RequestRegistry other = RegistryAt(0, failed);
    other.RegisterArrival(failed, kDigest, {}, kNow);
    other.RecordUnknownOutcome(failed, Reason::kBackendClosed);
    CPPUNIT_ASSERT(other.RegisterArrival(failed, kDigest, {}, kNow).reason ==
                   Reason::kBackendClosed);
  }

  void AsksHigherServers() {
    const std::string id = IdAt(kNow);
    const std::vector<BackendServerId> order = HomeOrder(Servers(), id);
    for (std::size_t position = 0; position < order.size(); ++position) {
      RequestRegistry registry = RegistryAt(position, id);
      std::vector<BackendServerId> queried =
          registry.RegisterArrival(id, kDigest, {}, kNow).servers_to_query;
      CPPUNIT_ASSERT_EQUAL(position, queried.size());
      for (std::size_t higher = 0; higher < position; ++higher) {
        CPPUNIT_ASSERT(std::count(queried.begin(), queried.end(), order[higher]) == 1);
      }
      // Until all have replied, the id is released to no other server.
      CPPUNIT_ASSERT(registry.Release(id, kNow).reason == Reason::kAlreadyRunning);
    }
  }

  // Guards against a request that runs at two homes because servers use different inventories.
  void AsksServersThatMayUseAnotherInventory() {
    const std::string id = IdAt(kNow);
    const std::vector<BackendServerId> order = HomeOrder(Servers(), id);
    const std::vector<BackendServerId> all_lower{order[1], order[2]};
    const auto queried = [&](RequestRegistry& registry, const std::string& request) {
      std::vector<BackendServerId> servers =
          registry.RegisterArrival(request, kDigest, {}, kNow).servers_to_query;
      registry.RecordNotRun(request);
      std::sort(servers.begin(), servers.end(),
                [&](const auto& first, const auto& second) { return IsBefore(first, second, id); });
      return servers;
    };

    // A newly started node has no information on which inventory the others use.
    RequestRegistry fresh(order[0], kStarted);
    fresh.SetInventory(Servers(), 7, kStarted);
    CPPUNIT_ASSERT(queried(fresh, id) == all_lower);
    fresh.RecordConfigurationVersion(order[1], Incarnation{1}, 6, kStarted);
    CPPUNIT_ASSERT(queried(fresh, id) == all_lower);
    fresh.RecordConfigurationVersion(order[1], Incarnation{1}, 7, kStarted);
    CPPUNIT_ASSERT(queried(fresh, id) == std::vector{order[2]});
    fresh.RecordConfigurationVersion(order[2], Incarnation{1}, 7, kNow - seconds(1));
    // The id may be older than the time since which that server has used the version.
    CPPUNIT_ASSERT(queried(fresh, id) == std::vector{order[2]});
    fresh.RecordConfigurationVersion(order[1], Incarnation{2}, 0, kStarted);  // A restart.
    CPPUNIT_ASSERT(queried(fresh, id) == all_lower);

    // A server that was removed from the inventory may not have applied that version yet.
    RequestRegistry registry = RegistryAt(0, id);
    registry.SetInventory(std::vector{order[0], order[1]}, 8, kNow - minutes(2));
    CPPUNIT_ASSERT(queried(registry, id) == all_lower);
    registry.RecordConfigurationVersion(order[1], Incarnation{1}, 8, kNow - minutes(1));
    CPPUNIT_ASSERT(queried(registry, id) == std::vector{order[2]});
    registry.RecordConfigurationVersion(order[2], Incarnation{1}, 8, kNow - minutes(1));
    CPPUNIT_ASSERT(queried(registry, id).empty());

    // A server with a newer version may never have applied the version that this node uses.
    registry.RecordConfigurationVersion(order[1], Incarnation{1}, 9, kNow - minutes(1));
    CPPUNIT_ASSERT(queried(registry, id) == std::vector{order[1]});
    registry.SetInventory(std::vector{order[0], order[1]}, 9, kNow - seconds(30));
    CPPUNIT_ASSERT(queried(registry, id).empty());

    // A version that leaves this service's inventory unchanged requires no further queries.
    registry.SetInventory(std::vector{order[0], order[1]}, 10, kNow);
    CPPUNIT_ASSERT(queried(registry, id).empty());
  }

  void DoesNotAskServersThatWereAbsent() {
    const std::string id = IdAt(kNow);
    const std::vector<BackendServerId> order = HomeOrder(Servers(), id);
    struct Row {
      WallTime absent_since;
      std::size_t queried;
    };
    for (const Row& row : {Row{kNow - seconds(3), 0}, Row{kNow - seconds(2), 1}, Row{kNow, 1}}) {
      RequestRegistry registry = RegistryAt(1, id);
      const AbsentSince absent = [&](const BackendServerId& server) -> std::optional<WallTime> {
        if (server == order[0]) return row.absent_since;
        return std::nullopt;
      };
      CPPUNIT_ASSERT_EQUAL(
          row.queried, registry.RegisterArrival(id, kDigest, absent, kNow).servers_to_query.size());
    }
  }

  void ReleasesOnlyWhatItHasNotSeen() {
    const std::string id = IdAt(kNow);
    RequestRegistry unseen = RegistryAt(0, id);
    CPPUNIT_ASSERT(unseen.Release(id, kNow).released);
    CPPUNIT_ASSERT(unseen.Release(id, kNow).released);
    CPPUNIT_ASSERT(unseen.RegisterArrival(id, kDigest, {}, kNow).reason == Reason::kHomeReleased);

    RequestRegistry ran = RegistryAt(0, id);
    ran.RegisterArrival(id, kDigest, {}, kNow);
    ran.RecordResponse(id, {});
    const ReleaseReply reply = ran.Release(id, kNow);
    CPPUNIT_ASSERT(!reply.released && reply.reason == Reason::kAlreadyRan);

    // The request may have run under the previous incarnation of a restarted process.
    RequestRegistry restarted(BackendServerId("s1"), kNow);
    CPPUNIT_ASSERT(restarted.Release(id, kNow + seconds(1)).reason == Reason::kHomeRestarted);
  }

  void BoundsEntriesAndAnswers() {
    RegistryLimits limits;
    limits.entries = 2;
    limits.total_response_bytes = 100;
    limits.response_bytes = 60;
    RequestRegistry registry(BackendServerId("s1"), kStarted, limits);
    registry.SetInventory(std::vector{BackendServerId("s1")}, 1, kStarted);
    const std::string first = IdAt(kNow, "1");
    const std::string second = IdAt(kNow, "2");
    for (const std::string& id : {first, second}) registry.RegisterArrival(id, kDigest, {}, kNow);
    CPPUNIT_ASSERT(registry.RegisterArrival(IdAt(kNow, "3"), kDigest, {}, kNow).reason ==
                   Reason::kRegistryFull);
    CPPUNIT_ASSERT(registry.Release(IdAt(kNow, "3"), kNow).reason == Reason::kRegistryFull);
    registry.RecordResponse(first, {"", std::string(60, 'x')});
    CPPUNIT_ASSERT(registry.RegisterArrival(first, kDigest, {}, kNow).kind == Kind::kReplay);
    registry.RecordResponse(second, {"", std::string(60, 'x')});
    CPPUNIT_ASSERT(registry.RegisterArrival(first, kDigest, {}, kNow).reason ==
                   Reason::kAlreadyRan);
    CPPUNIT_ASSERT(registry.RegisterArrival(second, kDigest, {}, kNow).kind == Kind::kReplay);
    // Expired entries make room for new ones.
    const WallTime later = kNow + minutes(11);
    const std::string large = IdAt(later, "4");
    CPPUNIT_ASSERT(registry.RegisterArrival(large, kDigest, {}, later).kind == Kind::kAccept);
    registry.RecordResponse(large, {"", std::string(61, 'x')});
    CPPUNIT_ASSERT(registry.RegisterArrival(large, kDigest, {}, later).reason ==
                   Reason::kAlreadyRan);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.Count());
  }

  void RefusesOutsideTheInventory() {
    const std::string id = IdAt(kNow);
    RequestRegistry registry(BackendServerId("s9"), kStarted);
    registry.SetInventory(Servers(), 1, kStarted);
    CPPUNIT_ASSERT(registry.RegisterArrival(id, kDigest, {}, kNow).reason == Reason::kWrongServer);
    CPPUNIT_ASSERT(registry.Release(id, kNow).released);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRegistryTest);

}  // namespace damaskhollow
