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
  MetricsRegistry metrics;
  RecordingMessenger messenger;
  SharedCrashGuard crash_guard(false);
  RequestLog log;
  const CallConvention convention;
  const NodeIdentity identity{BackendServerId("10.0.0.1"), Incarnation{7}, WallNow()};
  std::vector<std::unique_ptr<EventThread>> no_workers;
  OwnerService owner(identity, metrics, messenger, crash_guard, convention, log);
  BackendPool pool(no_workers, owner);
  owner.SetBackendPool(&pool);
  owner.ApplyDeclaration(DeclarationOf(row.own_service), 1);

  wire::Envelope message;
  wire::CallRequest& request = *message.mutable_call_request();
  request.set_call_id(1);
  request.set_server_id("10.0.0.1");
  request.set_owner_incarnation(7);
  request.set_expires_at_us(ToClockMicroseconds(MonotonicNow() + std::chrono::seconds(5)));
  request.set_service(row.called_service);
  owner.HandleMessage(ReplyRoute{BackendServerId("10.0.0.2"), "10.0.0.2#1#1"}, std::move(message));

  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messenger.Messages().size());
  CPPUNIT_ASSERT(messenger.Messages().front().has_refused());
  CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(row.refusal),
                       messenger.Messages().front().refused().reason());
}

const test::TableTest<AddressRow> address_test("OwnerServiceAddress", address_rows, TestAddress);

}  // namespace

}  // namespace damaskhollow
