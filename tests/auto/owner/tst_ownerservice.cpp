#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "owner/ownerservice.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

// Keeps what the owner answers.
class RecordingMessenger : public Messenger {
 public:
  void Send(const BackendServerId&, wire::Envelope message) override {
    m_messages.push_back(std::move(message));
  }
  void Reply(const ReplyRoute&, wire::Envelope message) override {
    m_messages.push_back(std::move(message));
  }
  const std::vector<wire::Envelope>& Messages() const { return m_messages; }

 private:
  std::vector<wire::Envelope> m_messages;
};

std::shared_ptr<const Declaration> DeclarationOf(const std::string& service) {
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
  server.address = "127.0.0.1:9";
  server.slots = 9;
  declaration->backend_servers = {server};
  return declaration;
}

// An owner of the VM 10.0.0.1 without connections to its backend server.
class OwnerFixture {
 public:
  OwnerFixture()
      : m_owner({BackendServerId("10.0.0.1"), Incarnation{7}, WallNow()}, m_metrics, m_messenger,
                m_crash_guard, m_convention, m_log),
        m_pool(m_no_workers, m_owner) {
    m_owner.SetBackendPool(&m_pool);
  }

  OwnerService& Owner() { return m_owner; }

  void Call(std::string_view service) {
    wire::Envelope message;
    wire::CallRequest& request = *message.mutable_call_request();
    request.set_call_id(1);
    request.set_server_id("10.0.0.1");
    request.set_owner_incarnation(7);
    request.set_expires_at_us(ToClockMicroseconds(MonotonicNow() + std::chrono::seconds(5)));
    request.set_service(std::string(service));
    m_owner.HandleMessage(ReplyRoute{BackendServerId("10.0.0.2"), "10.0.0.2#1#1"},
                          std::move(message));
  }

  // The reasons of the refusals so far; other answers count as kNone.
  std::vector<Reason> Refusals() const {
    std::vector<Reason> reasons;
    for (const wire::Envelope& message : m_messenger.Messages()) {
      reasons.push_back(static_cast<Reason>(message.refused().reason()));
    }
    return reasons;
  }

 private:
  MetricsRegistry m_metrics;
  RecordingMessenger m_messenger;
  SharedCrashGuard m_crash_guard{false};
  RequestLog m_log;
  const CallConvention m_convention;
  std::vector<std::unique_ptr<EventThread>> m_no_workers;
  OwnerService m_owner;
  BackendPool m_pool;
};

struct AddressRow {
  std::string_view name;
  std::string own_service;     // Of the server that has the VM's address now.
  std::string called_service;  // That the ingress takes it for.
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

struct PassedRow {
  std::string_view name;
  std::string next_service;  // Of the server that gets the VM's address while a call waits.
  std::vector<Reason> refusals;
};

const std::array passed_rows{
    PassedRow{"server of the same service", "portal", {}},
    PassedRow{"server of another service", "warehouse", {Reason::kWrongServer}},
};

// Guards against a call that was taken for one service and is dispatched to the server of another
// that has got the VM's address since.
void TestAddressPassedWhileCallWaits(const PassedRow& row) {
  OwnerFixture fixture;
  fixture.Owner().ApplyDeclaration(DeclarationOf("portal"), 1);
  // Nothing is dispatched until the owner has ticked again.
  fixture.Owner().Tick(MonotonicNow() - std::chrono::seconds(5));
  fixture.Call("portal");
  CPPUNIT_ASSERT(fixture.Refusals().empty());
  fixture.Owner().ApplyDeclaration(DeclarationOf(row.next_service), 2);
  CPPUNIT_ASSERT(fixture.Refusals() == row.refusals);
  CPPUNIT_ASSERT_EQUAL(!row.refusals.empty(), fixture.Owner().IsIdle());
}

const test::TableTest<PassedRow> passed_test("OwnerServiceAddressPassed", passed_rows,
                                             TestAddressPassedWhileCallWaits);

}  // namespace

}  // namespace damaskhollow
