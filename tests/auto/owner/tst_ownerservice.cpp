#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "owner/ownerservice.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

// Records the messages that the owner sends.
class RecordingMessenger : public Messenger {
 public:
  void Send(const BackendServerId&, wire::Envelope message) override { Record(std::move(message)); }
  void Reply(const ReplyRoute&, wire::Envelope message) override { Record(std::move(message)); }
  std::vector<wire::Envelope> Messages() const {
    const std::lock_guard lock(m_lock);
    return m_messages;
  }

 private:
  void Record(wire::Envelope message) {
    const std::lock_guard lock(m_lock);
    m_messages.push_back(std::move(message));
  }

  mutable std::mutex m_lock;
  std::vector<wire::Envelope> m_messages;
};

std::shared_ptr<const Declaration> DeclarationOf(const std::string& service,
                                                 const std::string& address = "127.0.0.1:9") {
  auto declaration = std::make_shared<Declaration>();
  Priority priority;
  priority.id = PriorityId("normal");
  declaration->priorities = {priority};
  for (const char* name : {"portal", "warehouse"}) {
    Service entry;
    entry.id = ServiceId(name);
    declaration->services.push_back(entry);
  }
  BackendServer server;
  server.id = BackendServerId("10.0.0.1");
  server.service = ServiceId(service);
  server.address = address;
  server.slots = 9;
  declaration->backend_servers = {server};
  return declaration;
}

// Sets up the owner of the VM 10.0.0.1.
class OwnerFixture {
 public:
  // With no workers, a test must not let a call be dispatched.
  explicit OwnerFixture(std::size_t workers = 0, CallConvention convention = {})
      : m_convention(std::move(convention)),
        m_workers(MakeWorkers(workers)),
        m_owner({BackendServerId("10.0.0.1"), Incarnation{7}, WallNow()}, m_metrics, m_messenger,
                m_crash_guard, m_convention, m_log),
        m_pool(m_workers, m_owner) {
    m_owner.SetBackendPool(&m_pool);
  }
  ~OwnerFixture() {
    m_pool.Stop();
    for (const std::unique_ptr<EventThread>& worker : m_workers) worker->Stop();
  }
  OwnerFixture(const OwnerFixture&) = delete;
  OwnerFixture& operator=(const OwnerFixture&) = delete;

  OwnerService& Owner() { return m_owner; }

  // Sends the owner a call for a service. `header` is the request's only header field, unless its
  // name is empty.
  void Call(std::string_view service, std::uint64_t call_id = 1, const HttpHeader& header = {}) {
    wire::Envelope message;
    wire::CallRequest& request = *message.mutable_call_request();
    request.set_call_id(call_id);
    request.set_server_id("10.0.0.1");
    request.set_owner_incarnation(7);
    request.set_expires_at_us(ToClockMicroseconds(MonotonicNow() + std::chrono::seconds(5)));
    request.set_service(std::string(service));
    request.set_method("GET");
    request.set_target("/");
    if (!header.name.empty()) {
      wire::Header& field = *request.add_headers();
      field.set_name(header.name);
      field.set_value(header.value);
    }
    m_owner.HandleMessage(ReplyRoute{BackendServerId("10.0.0.2"), "10.0.0.2#1#1"},
                          std::move(message));
  }

  // Asks the owner to cancel a call unless it runs, and returns the state that it replies.
  wire::CallState CancelUnlessRunning(std::uint64_t call_id) {
    wire::Envelope message;
    message.mutable_cancel()->set_call_id(call_id);
    message.mutable_cancel()->set_unless_running(true);
    m_owner.HandleMessage(ReplyRoute{BackendServerId("10.0.0.2"), "10.0.0.2#1#1"},
                          std::move(message));
    return m_messenger.Messages().back().cancel_result().call_state();
  }

  // Holds up the only worker until the returned function is called.
  std::function<void()> HoldWorker() {
    auto held = std::make_shared<std::promise<void>>();
    auto released = std::make_shared<std::promise<void>>();
    m_workers.front()->Post([held, future = released->get_future().share()] {
      held->set_value();
      future.wait();
    });
    held->get_future().wait();
    return [released] { released->set_value(); };
  }

  // Returns how a call ended: "refused", "failed", or the body of its response; empty if it has
  // not ended.
  std::string ResultOf(std::uint64_t call_id) const {
    std::string body;
    for (const wire::Envelope& message : m_messenger.Messages()) {
      if (message.refused().call_id() == call_id) return "refused";
      if (message.call_failed().call_id() == call_id) return "failed";
      if (message.response_chunk().call_id() == call_id) body += message.response_chunk().data();
    }
    return body;
  }

  // Returns the reasons of the refusals so far, with kNone for each message of another kind.
  std::vector<Reason> Refusals() const {
    std::vector<Reason> reasons;
    for (const wire::Envelope& message : m_messenger.Messages()) {
      reasons.push_back(static_cast<Reason>(message.refused().reason()));
    }
    return reasons;
  }

 private:
  static std::vector<std::unique_ptr<EventThread>> MakeWorkers(std::size_t count) {
    std::vector<std::unique_ptr<EventThread>> workers;
    for (std::size_t index = 0; index < count; ++index) {
      workers.push_back(std::make_unique<EventThread>("worker-" + std::to_string(index)));
    }
    return workers;
  }

  MetricsRegistry m_metrics;
  RecordingMessenger m_messenger;
  SharedCrashGuard m_crash_guard{false};
  RequestLog m_log;
  const CallConvention m_convention;
  const std::vector<std::unique_ptr<EventThread>> m_workers;
  OwnerService m_owner;
  BackendPool m_pool;
};

struct AddressRow {
  std::string_view name;
  std::string own_service;     // Of the server that now has the VM's address.
  std::string called_service;  // Service that the ingress expects there.
  Reason refusal;
};

const std::array address_rows{
    AddressRow{"address passed to another service", "warehouse", "portal", Reason::kWrongServer},
    AddressRow{"service that the rules do not name", "unknown", "portal", Reason::kWrongServer},
};

void TestAddress(const AddressRow& row) {
  OwnerFixture fixture;
  fixture.Owner().ApplyDeclaration(DeclarationOf(row.own_service), 1);
  fixture.Call(row.called_service);
  CPPUNIT_ASSERT(fixture.Refusals() == std::vector<Reason>{row.refusal});
}

const test::TableTest<AddressRow> address_test("OwnerServiceAddress", address_rows, TestAddress);

struct ReassignedRow {
  std::string_view name;
  std::string next_service;  // Of the server that is assigned the VM's address while a call waits.
  std::vector<Reason> refusals;
};

const std::array reassigned_rows{
    ReassignedRow{"server of the same service", "portal", {}},
    ReassignedRow{"server of another service", "warehouse", {Reason::kWrongServer}},
};

// Guards against a call that is accepted for one service and dispatched to a server of another one,
// because the VM's address was reassigned in the meantime.
void TestAddressReassignedWhileCallWaits(const ReassignedRow& row) {
  OwnerFixture fixture;
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal"), 1);
  // A last tick 5 s ago looks like a pause, so nothing is dispatched before the next tick.
  fixture.Owner().Tick(MonotonicNow() - std::chrono::seconds(5));
  fixture.Call("portal");
  CPPUNIT_ASSERT(fixture.Refusals().empty());
  fixture.Owner().ApplyDeclaration(DeclarationOf(row.next_service), 2);
  CPPUNIT_ASSERT(fixture.Refusals() == row.refusals);
  CPPUNIT_ASSERT_EQUAL(!row.refusals.empty(), fixture.Owner().IsIdle());
}

const test::TableTest<ReassignedRow> reassigned_test("OwnerServiceAddressPassed", reassigned_rows,
                                                     TestAddressReassignedWhileCallWaits);

std::string AnswerTo(std::string_view id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) + "\r\nContent-Length: 3\r\n\r\nran";
}

struct WithdrawnRow {
  std::string_view name;
  bool is_dispatched;
  wire::CallState state;  // That the owner replies.
};

constexpr std::array kWithdrawnRows{
    WithdrawnRow{"queued", false, wire::CALL_STATE_CANCELLED},
    WithdrawnRow{"running", true, wire::CALL_STATE_RUNNING},
};

// Guards against a node that ends running calls when it withdraws its waiting ones before it stops,
// and against a withdrawn call that runs later.
void TestWithdrawnCall(const WithdrawnRow& row) {
  const test::ScriptedServer server({AnswerTo("mine")}, test::ScriptedServer::End::kKeepOpen);
  CallConvention convention;
  convention.call_id = "Request-Id";
  OwnerFixture fixture(1, convention);
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal", ToString(server.Address())), 1);
  const std::function<void()> release = fixture.HoldWorker();
  // A last tick 5 s ago looks like a pause, so nothing is dispatched before the next tick.
  if (!row.is_dispatched) fixture.Owner().Tick(MonotonicNow() - std::chrono::seconds(5));
  fixture.Call("portal", 1, {"Request-Id", "mine"});
  CPPUNIT_ASSERT_EQUAL(row.state, fixture.CancelUnlessRunning(1));
  fixture.Owner().Tick(MonotonicNow());
  CPPUNIT_ASSERT_EQUAL(!row.is_dispatched, fixture.Owner().IsIdle());
  release();
  if (!row.is_dispatched) return;
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(1).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), fixture.ResultOf(1));
}

struct LeavingRow {
  std::string_view name;
  void (*leave)(OwnerService& owner);
  Reason reason = Reason::kDraining;
};

void SetLeaving(OwnerService& owner) { owner.SetBackendLeaving(true); }

void SetListedAsLeaving(OwnerService& owner) { owner.SetListedAsLeaving(true); }

void RemoveFromInventory(OwnerService& owner) {
  auto declaration = std::make_shared<Declaration>(*DeclarationOf("portal"));
  declaration->backend_servers.clear();
  owner.ApplyDeclaration(declaration, 2);
}

void Evacuate(OwnerService& owner) {
  auto declaration = std::make_shared<Declaration>(*DeclarationOf("portal"));
  declaration->backend_servers[0].data_centre = DataCentreId("south-a");
  declaration->evacuated_data_centres = {DataCentreId("south-a")};
  owner.ApplyDeclaration(declaration, 2);
}

constexpr std::array kLeavingRows{
    LeavingRow{"leaving", SetLeaving},
    LeavingRow{"listed as leaving", SetListedAsLeaving},
    LeavingRow{"removed from the inventory", RemoveFromInventory},
    LeavingRow{"evacuated", Evacuate, Reason::kEvacuated},
};

// Guards against calls that wait for a leaving server although another one could run them, and
// against running calls that are ended because their server leaves.
void TestLeavingServer(const LeavingRow& row) {
  const test::ScriptedServer server({AnswerTo("mine")}, test::ScriptedServer::End::kKeepOpen);
  CallConvention convention;
  convention.call_id = "Request-Id";
  OwnerFixture fixture(1, convention);
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal", ToString(server.Address())), 1);
  const std::function<void()> release = fixture.HoldWorker();
  fixture.Call("portal", 1, {"Request-Id", "mine"});
  // A last tick 5 s ago looks like a pause, so nothing is dispatched before the next tick.
  fixture.Owner().Tick(MonotonicNow() - std::chrono::seconds(5));
  fixture.Call("portal", 2);
  CPPUNIT_ASSERT(fixture.Refusals().empty());
  row.leave(fixture.Owner());
  CPPUNIT_ASSERT(fixture.Refusals() == std::vector<Reason>{row.reason});
  CPPUNIT_ASSERT_EQUAL(std::string("refused"), fixture.ResultOf(2));
  release();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(1).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), fixture.ResultOf(1));
}

struct ColdOwnerRow {
  std::string_view name;
  double calls_per_second;
  bool is_removed;  // Whether the server leaves the inventory before the call arrives.
  Reason refusal;   // kNone if the call runs.
};

constexpr std::array kColdOwnerRows{
    ColdOwnerRow{"no bound", 0.0, false, Reason::kNone},
    ColdOwnerRow{"no start within the deadline", 0.001, false, Reason::kQueueFullTime},
    ColdOwnerRow{"removed from the inventory", 0.001, true, Reason::kWrongServer},
};

// Guards against an owner that sends calls to a server that may be cold without regard to what it
// tolerates, and against one that ends when its server with such a bound leaves the inventory.
void TestColdOwner(const ColdOwnerRow& row) {
  const test::ScriptedServer server({AnswerTo("mine")}, test::ScriptedServer::End::kKeepOpen);
  CallConvention convention;
  convention.call_id = "Request-Id";
  OwnerFixture fixture(1, convention);
  auto declaration =
      std::make_shared<Declaration>(*DeclarationOf("portal", ToString(server.Address())));
  for (Service& service : declaration->services) {
    service.cold_calls_per_second = row.calls_per_second;
    service.cold_burst = 1.0;
    service.health = HealthCheck{"/healthz", std::chrono::seconds(1)};
  }
  fixture.Owner().SetLoadProbe([] {});
  fixture.Owner().ApplyDeclaration(declaration, 1);
  if (row.is_removed) RemoveFromInventory(fixture.Owner());
  fixture.Owner().Tick(MonotonicNow());
  fixture.Call("portal", 1, {"Request-Id", "mine"});
  fixture.Owner().Tick(MonotonicNow());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(1).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string(row.refusal == Reason::kNone ? "ran" : "refused"),
                       fixture.ResultOf(1));
  if (row.refusal == Reason::kNone) return;
  CPPUNIT_ASSERT(fixture.Refusals() == std::vector<Reason>{row.refusal});
}

const test::TableTest<ColdOwnerRow> cold_owner_test("OwnerServiceCold", kColdOwnerRows,
                                                    TestColdOwner);

const test::TableTest<LeavingRow> leaving_test("OwnerServiceLeaving", kLeavingRows,
                                               TestLeavingServer);

const test::TableTest<WithdrawnRow> withdrawn_test("OwnerServiceWithdrawn", kWithdrawnRows,
                                                   TestWithdrawnCall);

struct RejectedRow {
  std::string_view name;
  std::string_view answer;  // Head of the backend server's response, without its last field.
  std::uint32_t limit;      // Of calls in flight afterwards; before, 7 with 9 slots.
};

constexpr std::array kRejectedRows{
    RejectedRow{"full", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLoad: full\r\n", 6},
    RejectedRow{"with slots free", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLoad: calm\r\n", 7},
    RejectedRow{"that tells no load", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", 6},
    RejectedRow{"that is another one", "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\n", 7},
};

std::optional<ServerLoad> DecodeTestLoad(std::string_view text) {
  return ServerLoad{text == "full" ? std::size_t{9} : std::size_t{2}, 0, 9, 1.0};
}

// Guards against an owner that leaves its server idle because the server rejects calls for a reason
// other than lack of free slots. Occurs with servers that reject half of their calls while their
// health check is good.
void TestLimitAfterRejection(const RejectedRow& row) {
  const test::ScriptedServer server({std::string(row.answer) + "Content-Length: 0\r\n\r\n"},
                                    test::ScriptedServer::End::kKeepOpen);
  CallConvention convention;
  convention.not_run = "Not-Run";
  convention.load = "Load";
  convention.decode_load = DecodeTestLoad;
  OwnerFixture fixture(1, convention);
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal", ToString(server.Address())), 1);
  fixture.Call("portal");
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.Refusals().empty(); }));
  CPPUNIT_ASSERT(fixture.Refusals() == std::vector<Reason>{Reason::kBackendShed});
  CPPUNIT_ASSERT_EQUAL(row.limit, fixture.Owner().State().limit());
}

const test::TableTest<RejectedRow> rejected_test("OwnerServiceTurnedAway", kRejectedRows,
                                                 TestLimitAfterRejection);

const std::string refusal_of_first =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n";

struct RepeatedRefusalRow {
  std::string_view name;
  std::string_view second_id;  // Request id of the second call; that of the first one is "first".
  std::string idle_bytes;      // Sent on the kept connection between the two calls.
  std::vector<std::vector<std::string>> responses;
};

const std::array repeated_refusal_rows{
    RepeatedRefusalRow{"of the same request id",
                       "first",
                       "",
                       {{refusal_of_first, refusal_of_first}, {AnswerTo("first")}}},
    RepeatedRefusalRow{"of the same request id, before the second call",
                       "first",
                       refusal_of_first,
                       {{refusal_of_first, AnswerTo("first")}, {AnswerTo("first")}}},
    RepeatedRefusalRow{"without id, before the second call",
                       "second",
                       "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                       {{refusal_of_first, AnswerTo("second")}, {AnswerTo("second")}}},
    RepeatedRefusalRow{"half of it before the second call",
                       "second",
                       "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nReq",
                       {{refusal_of_first, AnswerTo("second")}, {AnswerTo("second")}}},
    RepeatedRefusalRow{"of another request id",
                       "second",
                       "",
                       {{refusal_of_first, refusal_of_first + AnswerTo("second")}}},
};

// Guards against a call that runs and is reported as not run, because the server repeats the
// refusal of an earlier call on a kept connection.
void TestRepeatedRefusal(const RepeatedRefusalRow& row) {
  test::ConversationServer server(row.responses);
  CallConvention convention;
  convention.call_id = "Request-Id";
  convention.not_run = "Not-Run";
  OwnerFixture fixture(1, convention);
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal", ToString(server.Address())), 1);
  fixture.Call("portal", 1, {"Request-Id", "first"});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(1).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string("refused"), fixture.ResultOf(1));
  // The worker handles the second call before it reads the bytes.
  const std::function<void()> release = fixture.HoldWorker();
  if (!row.idle_bytes.empty()) server.SendNow(0, row.idle_bytes);
  fixture.Call("portal", 2, {"Request-Id", std::string(row.second_id)});
  release();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(2).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string("ran"), fixture.ResultOf(2));
}

const test::TableTest<RepeatedRefusalRow> repeated_refusal_test("OwnerServiceRepeatedRefusal",
                                                                repeated_refusal_rows,
                                                                TestRepeatedRefusal);

struct UnmarkedRow {
  std::string_view name;
  std::string_view head;  // Without the length.
  std::string_view result;
};

constexpr std::array kUnmarkedRows{
    UnmarkedRow{"status 503", "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\n", "failed"},
    UnmarkedRow{"status 429", "HTTP/1.1 429 Slow Down\r\nRequest-Id: mine\r\n", "failed"},
    UnmarkedRow{"status 408", "HTTP/1.1 408 Time-out\r\nRequest-Id: mine\r\n", "failed"},
    UnmarkedRow{"status 421 without id", "HTTP/1.1 421 Misdirected\r\n", "failed"},
    UnmarkedRow{"status 421", "HTTP/1.1 421 Misdirected\r\nRequest-Id: mine\r\n", "ran"},
    UnmarkedRow{"status 500", "HTTP/1.1 500 Failed\r\nRequest-Id: mine\r\n", "ran"},
    UnmarkedRow{"status 503 with mark", "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nNot-Run: 1\r\n",
                "refused"},
};

// Guards against a status that promises callers that the request was not run, although the server
// did not state that.
void TestUnmarkedRefusal(const UnmarkedRow& row) {
  const test::ScriptedServer server({std::string(row.head) + "Content-Length: 3\r\n\r\nran"},
                                    test::ScriptedServer::End::kKeepOpen);
  CallConvention convention;
  convention.call_id = "Request-Id";
  convention.not_run = "Not-Run";
  convention.status_guarantees_not_run = true;
  OwnerFixture fixture(1, convention);
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal", ToString(server.Address())), 1);
  fixture.Call("portal", 1, {"Request-Id", "mine"});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return !fixture.ResultOf(1).empty(); }));
  CPPUNIT_ASSERT_EQUAL(std::string(row.result), fixture.ResultOf(1));
}

const test::TableTest<UnmarkedRow> unmarked_test("OwnerServiceUnmarkedRefusal", kUnmarkedRows,
                                                 TestUnmarkedRefusal);

}  // namespace

}  // namespace damaskhollow
