#include <cppunit/TestAssert.h>

#include <QFile>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <atomic>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <string_view>

#include "declaration/declarationparser.h"
#include "ingress/ingressshard.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

class SilentMessenger : public Messenger {
 public:
  void Send(const BackendServerId&, wire::Envelope) override {}
  void Reply(const ReplyRoute&, wire::Envelope) override {}
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
                               m_messenger, m_router, m_crash_guard, m_body_budget, m_declaration,
                               m_connections, m_max_connections, m_max_refused, [] {},
                               [throws](const BackendServerId&) -> std::optional<WallTime> {
                                 if (throws) throw std::bad_alloc();
                                 return std::nullopt;
                               },
                               m_convention, m_own.service, m_log, m_version},
                0, 1),
        m_server(m_shard) {
    m_router.SetDeclaration(m_declaration.load());
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
  SilentMessenger m_messenger;
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

}  // namespace

}  // namespace damaskhollow
