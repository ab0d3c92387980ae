#include <cppunit/extensions/HelperMacros.h>

#include <QUrl>
#include <QUrlQuery>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/platformreader.h"
#include "support/httpserver.h"
#include "support/scriptedserver.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Records the events of a reader.
class Events : public PlatformEvents {
 public:
  void OnPlatformChanged(std::uint64_t version, std::string_view text) override {
    m_version = version;
    m_text = text;
    ++m_count;
  }
  void OnPlatformUnchanged() override {
    ++m_unchanged;
    ++m_count;
  }
  void OnPlatformFailed(std::string_view detail) override {
    m_failure = detail;
    ++m_count;
  }

  std::uint64_t Version() const { return m_version; }
  const std::string& Text() const { return m_text; }
  const std::string& Failure() const { return m_failure; }
  std::size_t Unchanged() const { return m_unchanged; }
  std::size_t Count() const { return m_count; }

 private:
  std::uint64_t m_version = 0;
  std::string m_text;
  std::string m_failure;
  std::size_t m_unchanged = 0;
  std::size_t m_count = 0;
};

}  // namespace

class PlatformReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformReaderTest);
  CPPUNIT_TEST(SilentConnectionEndsTheRead);
  CPPUNIT_TEST(ReadWaitsInSeveralRequests);
  CPPUNIT_TEST(ChangeInALaterRequestEndsTheRead);
  CPPUNIT_TEST(ServiceThatAnswersEarlyIsNotAskedInALoop);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_server.Listen(Endpoint{"127.0.0.1", 0});
    m_reader = std::make_unique<PlatformReader>(
        "http://127.0.0.1:" + std::to_string(m_server.serverPort()), "/v1/configuration", m_events);
  }

  void tearDown() override { m_reader.reset(); }

  // Guards against a node that learns of a change half a minute late, because its long poll hangs
  // on a connection that has gone silent while new ones work.
  void SilentConnectionEndsTheRead() {
    m_answers = false;
    m_reader->Start(StoreRead{1, seconds(30)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Count() > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::string("no response within the time limit"), m_events.Failure());
    m_answers = true;
    m_version = 2;
    m_reader->Start(StoreRead{1, seconds(30)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Version() == 2; }));
  }

  // Guards against a request that the service may hold for so long that a silent connection is
  // noticed too late, and against a read that ends before its wait.
  void ReadWaitsInSeveralRequests() {
    constexpr int kWaitMs = 4000;
    m_reader->Start(StoreRead{1, milliseconds(kWaitMs)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Unchanged() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_events.Count());
    CPPUNIT_ASSERT(m_waits.size() > 1);
    int total = 0;
    for (const int wait : m_waits) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(wait), wait <= 2000);
      total += wait;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(total), total <= kWaitMs);
  }

  void ChangeInALaterRequestEndsTheRead() {
    m_reader->Start(StoreRead{1, seconds(30)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_waits.size() == 2; }));
    m_version = 7;
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Count() > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, m_events.Version());
    CPPUNIT_ASSERT_EQUAL(std::string("text 7"), m_events.Text());
  }

  // Guards against a flood of requests to a service that does not hold them.
  void ServiceThatAnswersEarlyIsNotAskedInALoop() {
    m_holds = false;
    m_reader->Start(StoreRead{1, milliseconds(4000)});
    CPPUNIT_ASSERT(test::WaitUntil([&] { return m_events.Unchanged() == 1; }));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(m_waits.size()), m_waits.size() <= 4);
  }

 private:
  void Handle(ConnectionId connection, const HttpRequest& request) {
    if (!m_answers) return;
    const QUrlQuery query(QUrl(QString::fromStdString(request.target)));
    const int wait = query.queryItemValue("wait_ms").toInt();
    m_waits.push_back(wait);
    if (!m_holds) return Respond(connection);
    QTimer::singleShot(wait, &m_server, [this, connection] { Respond(connection); });
  }

  void Respond(ConnectionId connection) {
    const HttpHeader version{"Damaskhollow-Version", std::to_string(m_version)};
    if (m_version == 1) return m_server.SendResponse(connection, 304, "", {version});
    m_server.SendResponse(connection, 200, "text " + std::to_string(m_version), {version});
  }

  bool m_answers = true;  // Otherwise requests are read and never answered.
  bool m_holds = true;    // Otherwise requests without a new version are answered at once.
  std::uint64_t m_version = 1;
  std::vector<int> m_waits;  // Of the requests in order.
  test::HttpServer m_server{
      [this](ConnectionId connection, const HttpRequest& request) { Handle(connection, request); }};
  Events m_events;
  std::unique_ptr<PlatformReader> m_reader;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformReaderTest);

namespace {

struct BrokenRow {
  std::string_view name;
  std::string_view head;
};

constexpr std::array kBrokenRows{
    BrokenRow{"status 000", "HTTP/1.1 000 OK\r\nDamaskhollow-Version: 7\r\n"},
    BrokenRow{"status 600", "HTTP/1.1 600 OK\r\nDamaskhollow-Version: 7\r\n"},
    BrokenRow{"status 999", "HTTP/1.1 999 OK\r\nDamaskhollow-Version: 7\r\n"},
    BrokenRow{"folded version", "HTTP/1.1 200 OK\r\nDamaskhollow-Version: 7\r\n 8\r\n"},
    BrokenRow{"blank in the name of the version", "HTTP/1.1 200 OK\r\nDamaskhollow Version: 7\r\n"},
};

// Guards against a malformed response of the configuration service that is used.
void TestBrokenResponse(const BrokenRow& row) {
  const test::ScriptedServer server({std::string(row.head) + "Content-Length: 3\r\n\r\nabc"},
                                    test::ScriptedServer::End::kClose);
  Events events;
  PlatformReader reader("http://" + ToString(server.Address()), "/v1/configuration", events);
  reader.Start(StoreRead{0, milliseconds(0)});
  CPPUNIT_ASSERT(test::WaitUntil([&] { return events.Count() > 0; }));
  CPPUNIT_ASSERT(!events.Failure().empty());
  CPPUNIT_ASSERT_EQUAL(std::string(), events.Text());
}

const test::TableTest<BrokenRow> broken_test("PlatformReaderBroken", kBrokenRows,
                                             &TestBrokenResponse);

}  // namespace

}  // namespace damaskhollow
