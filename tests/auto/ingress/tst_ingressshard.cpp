#include <cppunit/TestAssert.h>

#include <QFile>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <array>
#include <atomic>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "declaration/declarationparser.h"
#include "ingress/ingressshard.h"
#include "support/responsegrammar.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

// Stands in for the links to the owners, which respond to each call with the same messages; without
// messages, not at all.
class ScriptedOwners : public Messenger {
 public:
  void RespondWith(std::vector<wire::Envelope> messages) { m_messages = std::move(messages); }
  void SetShard(IngressShard& shard) { m_shard = &shard; }

  void Send(const BackendServerId& owner, wire::Envelope message) override {
    if (!message.has_call_request()) return;
    for (wire::Envelope response : m_messages) {
      SetCallId(response, message.call_request().call_id());
      // An owner never responds before the call has been sent.
      QTimer::singleShot(0,
                         [this, owner, response] { m_shard->HandleOwnerMessage(owner, response); });
    }
  }
  void Reply(const ReplyRoute&, wire::Envelope) override {}

 private:
  static void SetCallId(wire::Envelope& response, std::uint64_t call) {
    if (response.has_response_chunk()) response.mutable_response_chunk()->set_call_id(call);
    if (response.has_refused()) response.mutable_refused()->set_call_id(call);
    if (response.has_call_failed()) response.mutable_call_failed()->set_call_id(call);
  }

  std::vector<wire::Envelope> m_messages;
  IngressShard* m_shard = nullptr;
};

class ShardServer : public QTcpServer {
 public:
  explicit ShardServer(IngressShard& shard) : m_shard(shard) { listen(QHostAddress::LocalHost); }

 protected:
  void incomingConnection(qintptr descriptor) override { m_shard.AddCaller(descriptor); }

 private:
  IngressShard& m_shard;
};

std::shared_ptr<const Declaration> ExampleDeclaration() {
  QFile file(DAMASKHOLLOW_EXAMPLES_DIR "/breizh.json");
  CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
  return std::make_shared<const Declaration>(
      ParseDeclaration("breizh", file.readAll().toStdString()).declaration);
}

// The ingress of a node that has no link to any other.
class ShardFixture {
 public:
  explicit ShardFixture(bool throws)
      : m_declaration(ExampleDeclaration()),
        m_own(m_declaration.load()->backend_servers.front()),
        m_router("adaptive", NodeLocation{m_own.id, m_own.region, m_own.data_centre}, 1),
        m_crash_guard(true),
        m_body_budget(1UL << 20U),
        m_shard(IngressContext{NodeIdentity{m_own.id, Incarnation{1}, WallNow()}, m_metrics,
                               m_owners, m_router, m_crash_guard, m_body_budget, m_declaration,
                               m_connections, m_max_connections, m_max_refused, [] {},
                               [throws](const BackendServerId&) -> std::optional<WallTime> {
                                 if (throws) throw std::bad_alloc();
                                 return std::nullopt;
                               },
                               m_convention, m_own.service, m_log, m_version},
                0, 1),
        m_server(m_shard) {
    m_router.SetDeclaration(m_declaration.load());
    m_owners.SetShard(m_shard);
  }

  // Makes all owners reachable and lets them respond to each call with `response`.
  void LetOwnersRespond(const wire::Envelope& response) {
    m_owners.RespondWith({response});
    wire::OwnerState state;
    state.set_incarnation(1);
    state.set_limit(9);
    state.set_service_time_us(1000);
    state.set_clock_us(1);
    for (const BackendServer& server : m_declaration.load()->backend_servers) {
      m_router.SetEligible(server.id, true);
      m_router.SetReachable(server.id, true);
      m_router.RecordOwnerState(server.id, state);
    }
  }

  // Returns all that a caller without a request id receives until its connection closes.
  std::string CallOnce() {
    QTcpSocket caller;
    caller.connectToHost(QHostAddress::LocalHost, m_server.serverPort());
    const std::string request =
        "POST /datasets HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n"
        "Damaskhollow-Service: " +
        m_own.service.Value() + "\r\nDamaskhollow-Deadline-Ms: 2000\r\n\r\n";
    caller.write(request.data(), static_cast<qint64>(request.size()));
    std::string received;
    test::WaitUntil([&] {
      received += caller.readAll().toStdString();
      return caller.state() == QAbstractSocket::UnconnectedState;
    });
    return received;
  }

  // Returns the response to a call with a request id; empty if there is none.
  std::string Call() {
    QTcpSocket caller;
    caller.connectToHost(QHostAddress::LocalHost, m_server.serverPort());
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string request =
        "POST /datasets HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nDamaskhollow-Service: " +
        m_own.service.Value() + "\r\nDamaskhollow-Deadline-Ms: 1000\r\nDamaskhollow-Request-Id: " +
        std::to_string(now.count()) + "-abc\r\n\r\n";
    caller.write(request.data(), static_cast<qint64>(request.size()));
    test::WaitUntil([&] { return caller.canReadLine(); });
    return caller.readAll().toStdString();
  }

 private:
  MetricsRegistry m_metrics;
  ScriptedOwners m_owners;
  std::atomic<std::shared_ptr<const Declaration>> m_declaration;
  const BackendServer m_own;
  SharedRouter m_router;
  SharedCrashGuard m_crash_guard;
  BodyBudget m_body_budget;
  std::atomic<std::size_t> m_connections{1};
  std::atomic<std::size_t> m_max_connections{100};
  std::atomic<std::size_t> m_max_refused{10};
  const CallConvention m_convention;
  RequestLog m_log;
  std::atomic<std::uint64_t> m_version{1};
  IngressShard m_shard;
  ShardServer m_server;
};

struct ShardRow {
  std::string_view name;
  bool throws;  // Choosing an owner throws.
  std::string_view status;
  std::string_view reason;
};

constexpr std::array kRows{
    ShardRow{"no owner is reachable", false, "HTTP/1.1 504 ", "deadline_exceeded"},
    ShardRow{"routing throws", true, "HTTP/1.1 503 ", "internal_error"},
};

// Guards against a call that nobody answers, as an exception ended its processing before it had an
// owner or a deadline.
void AnswersEachCall(const ShardRow& row) {
  ShardFixture fixture(row.throws);
  const std::string response = fixture.Call();
  CPPUNIT_ASSERT_MESSAGE(response, response.starts_with(row.status));
  CPPUNIT_ASSERT_MESSAGE(response, response.find(row.reason) != std::string::npos);
}

const test::TableTest<ShardRow> registration("IngressShard", kRows, &AnswersEachCall);

struct PeerRow {
  std::string_view name;
  bool has_head;
  std::uint32_t status;
  std::vector<HttpHeader> headers;
  std::string_view rule;  // Empty if the response is valid.
};

const std::array peer_rows{
    PeerRow{"valid", true, 200, {{"Seal", "s"}, {"Content-Length", "3"}}, ""},
    PeerRow{"valid, without length", true, 404, {{"Seal", "s"}}, ""},
    PeerRow{"no head", false, 0, {}, "status"},
    PeerRow{"status 0", true, 0, {{"Content-Length", "3"}}, "status"},
    PeerRow{"interim status", true, 103, {{"Content-Length", "3"}}, "status"},
    PeerRow{"status 600", true, 600, {{"Content-Length", "3"}}, "status"},
    PeerRow{"status over 999", true, 1000, {{"Content-Length", "3"}}, "status"},
    PeerRow{"status over 31 bits", true, 0xffffffff, {{"Content-Length", "3"}}, "status"},
    PeerRow{"blank in a name", true, 200, {{"X Y", "1"}, {"Content-Length", "3"}}, "syntax"},
    PeerRow{"control byte in a name", true, 200, {{"X\x01", "1"}}, "syntax"},
    PeerRow{"empty name", true, 200, {{"", "1"}}, "syntax"},
    PeerRow{"line end in a value", true, 200, {{"X", "1\r\nY: 2"}}, "syntax"},
    PeerRow{"length that is no number", true, 200, {{"Content-Length", "x"}}, "syntax"},
    PeerRow{"length with more behind it", true, 200, {{"Content-Length", "3x"}}, "syntax"},
    PeerRow{"two lengths", true, 200, {{"Content-Length", "3"}, {"content-length", "4"}}, "syntax"},
    PeerRow{"length in other case", true, 200, {{"content-length", "3"}}, ""},
    PeerRow{"framing of the connection",
            true,
            200,
            {{"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}},
            "syntax"},
};

// Guards against a response head that a node of another version sends and that reaches a caller,
// or ends the process, though no parser would take it.
void ChecksHeadsOfPeers(const PeerRow& row) {
  wire::Envelope message;
  wire::ResponseChunk& chunk = *message.mutable_response_chunk();
  if (row.has_head) {
    chunk.mutable_head()->set_status(row.status);
    for (const HttpHeader& header : row.headers) {
      wire::Header& field = *chunk.mutable_head()->add_headers();
      field.set_name(header.name);
      field.set_value(header.value);
    }
  }
  chunk.set_data("abc");
  chunk.set_last(true);
  ShardFixture fixture(false);
  fixture.LetOwnersRespond(message);
  const std::string response = fixture.CallOnce();
  CPPUNIT_ASSERT_MESSAGE(response, test::StartsWithValidHead(response));
  if (!row.rule.empty()) {
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_MESSAGE(response, response.find("backend_malformed") != std::string::npos);
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(
      response, response.starts_with(row.status == 200 ? "HTTP/1.1 200 " : "HTTP/1.1 404 "));
  CPPUNIT_ASSERT_MESSAGE(response, response.find("abc") != std::string::npos);
}

const test::TableTest<PeerRow> peer_test("PeerResponse", peer_rows, &ChecksHeadsOfPeers);

constexpr std::uint32_t kUnknownReason = 9999;

struct ReasonRow {
  std::string_view name;
  bool refused;  // Otherwise failed.
  std::uint32_t reason;
  std::string_view status;
  std::string_view outcome;
};

constexpr std::array kReasonRows{
    ReasonRow{"refused", true, static_cast<std::uint32_t>(Reason::kQueueFullTime), "HTTP/1.1 503 ",
              "not-run"},
    ReasonRow{"refused without reason", true, 0, "HTTP/1.1 503 ", "not-run"},
    ReasonRow{"refused for an unknown reason", true, kUnknownReason, "HTTP/1.1 503 ", "not-run"},
    ReasonRow{"refused for the reason of a failure", true,
              static_cast<std::uint32_t>(Reason::kBackendClosed), "HTTP/1.1 503 ", "not-run"},
    ReasonRow{"failed", false, static_cast<std::uint32_t>(Reason::kBackendClosed), "HTTP/1.1 502 ",
              "unknown"},
    ReasonRow{"ran before", false, static_cast<std::uint32_t>(Reason::kAlreadyRan), "HTTP/1.1 409 ",
              "answered"},
    ReasonRow{"failed without reason", false, 0, "HTTP/1.1 502 ", "unknown"},
    ReasonRow{"failed for an unknown reason", false, kUnknownReason, "HTTP/1.1 502 ", "unknown"},
    ReasonRow{"failed for the reason of a refusal", false,
              static_cast<std::uint32_t>(Reason::kQueueFullTime), "HTTP/1.1 502 ", "unknown"},
};

// Guards against a reason that a node of another version sends and from which this one makes a
// success, or a false statement on whether the call was run.
void ChecksReasonsOfPeers(const ReasonRow& row) {
  wire::Envelope message;
  if (row.refused) {
    message.mutable_refused()->set_reason(row.reason);
  } else {
    message.mutable_call_failed()->set_reason(row.reason);
  }
  ShardFixture fixture(false);
  fixture.LetOwnersRespond(message);
  const std::string response = fixture.CallOnce();
  CPPUNIT_ASSERT_MESSAGE(response, response.starts_with(row.status));
  const std::string outcome = "\r\nDamaskhollow-Outcome: " + std::string(row.outcome) + "\r\n";
  CPPUNIT_ASSERT_MESSAGE(response, response.find(outcome) != std::string::npos);
}

const test::TableTest<ReasonRow> reason_test("PeerReason", kReasonRows, &ChecksReasonsOfPeers);

}  // namespace

}  // namespace damaskhollow
