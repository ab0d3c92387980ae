#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <QTcpServer>
#include <QTcpSocket>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/backendconnection.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;

// A server that answers each request with the same bytes.
class ScriptedServer : public QTcpServer {
 public:
  enum class End { kKeepOpen, kClose, kReset };

  ScriptedServer(std::string bytes, End end) : m_bytes(std::move(bytes)), m_end(end) {
    listen(QHostAddress::LocalHost);
  }

  Endpoint Address() const { return Endpoint{"127.0.0.1", serverPort()}; }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto* socket = new QTcpSocket(this);
    socket->setSocketDescriptor(descriptor);
    connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
      if (!socket->readAll().contains("\r\n\r\n")) return;
      socket->write(m_bytes.data(), static_cast<qint64>(m_bytes.size()));
      if (m_end == End::kKeepOpen) return;
      socket->flush();
      // The bytes are read before the end, as a reset may overtake them.
      QTimer::singleShot(kEndDelay, socket, [this, socket] {
        if (m_end == End::kReset) SetReset(*socket);
        socket->abort();
      });
    });
  }

 private:
  static constexpr milliseconds kEndDelay{50};

  // Makes the close a reset.
  static void SetReset(const QTcpSocket& socket) {
    const linger at_once{1, 0};
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &at_once,
                 sizeof(at_once));
  }

  const std::string m_bytes;
  const End m_end;
};

// Collects what became of one request.
class Collector : public BackendEvents {
 public:
  void OnBackendPart(ConnectionId, AnswerPart part, bool reusable) override {
    if (part.head) m_status = part.head->status;
    m_body += part.data;
    m_ended = part.last;
    m_reusable = reusable;
  }
  void OnBackendFailed(ConnectionId, Reason reason, bool) override { m_failure = reason; }
  void OnBackendIdleClosed(ConnectionId) override {}

  bool HasEnded() const { return m_ended || m_failure; }
  int Status() const { return m_status; }
  const std::string& Body() const { return m_body; }
  std::optional<Reason> Failure() const { return m_failure; }
  bool IsReusable() const { return m_reusable; }

 private:
  int m_status = 0;
  std::string m_body;
  bool m_ended = false;
  bool m_reusable = false;
  std::optional<Reason> m_failure;
};

constexpr char kOwn[] = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nSeal: s\r\n";

struct AnswerRow {
  std::string_view name;
  std::string bytes;
  ScriptedServer::End end;
  std::optional<Reason> failure;
  std::string_view body;
};

const std::string own_answer = std::string(kOwn) + "Content-Length: 3\r\n\r\nabc";
const std::string other_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nxxxxx";

// Answers as a faulty server gives them. None of them may pass for another's, and none that is
// whole is thrown away.
const std::array answer_rows{
    AnswerRow{"own answer", own_answer, ScriptedServer::End::kKeepOpen, std::nullopt, "abc"},
    AnswerRow{"late answer of another request first", other_answer + own_answer,
              ScriptedServer::End::kKeepOpen, std::nullopt, "abc"},
    AnswerRow{"two late answers first", other_answer + other_answer + own_answer,
              ScriptedServer::End::kKeepOpen, std::nullopt, "abc"},
    AnswerRow{"second answer behind the own", own_answer + other_answer,
              ScriptedServer::End::kKeepOpen, std::nullopt, "abc"},
    AnswerRow{"answer of another request only", other_answer, ScriptedServer::End::kClose,
              Reason::kBackendClosed, ""},
    AnswerRow{"success without mark",
              "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
              ScriptedServer::End::kKeepOpen, Reason::kBackendMalformed, ""},
    AnswerRow{"success without id", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 3\r\n\r\nabc",
              ScriptedServer::End::kKeepOpen, Reason::kBackendMalformed, ""},
    AnswerRow{"encoded success",
              std::string(kOwn) + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
              ScriptedServer::End::kKeepOpen, Reason::kBackendMalformed, ""},
    AnswerRow{"refusal without id", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
              ScriptedServer::End::kKeepOpen, std::nullopt, ""},
    AnswerRow{"bytes that are no answer", "\x01\x02garbage\r\n\r\n", ScriptedServer::End::kKeepOpen,
              Reason::kBackendMalformed, ""},
    AnswerRow{"cut short", std::string(kOwn) + "Content-Length: 9\r\n\r\nabc",
              ScriptedServer::End::kClose, Reason::kBackendClosed, "abc"},
    AnswerRow{"without length, closed", std::string(kOwn) + "\r\nabc", ScriptedServer::End::kClose,
              std::nullopt, "abc"},
    AnswerRow{"without length, reset", std::string(kOwn) + "\r\nabc", ScriptedServer::End::kReset,
              Reason::kBackendClosed, "abc"},
};

void TestAnswer(const AnswerRow& row) {
  const ScriptedServer server(row.bytes, row.end);
  Collector collector;
  auto connection =
      std::make_unique<BackendConnection>(ConnectionId{1}, server.Address(), collector);
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Host", "h"}, {"Request-Id", "mine"}};
  connection->Send(request, 65536, milliseconds(5000), AnswerCheck{"Request-Id", "mine", "Seal"});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return collector.HasEnded(); }));
  CPPUNIT_ASSERT(row.failure == collector.Failure());
  CPPUNIT_ASSERT_EQUAL(std::string(row.body), collector.Body());
}

const test::TableTest<AnswerRow> answer_test("BackendAnswer", answer_rows, TestAnswer);

}  // namespace

}  // namespace damaskhollow
