#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTcpServer>
#include <array>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/callerconnection.h"
#include "support/rawclient.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxPipelined = 4;

// A server that records dispatched requests; the test supplies the responses.
class RecordingServer : public QTcpServer, public CallerEvents {
 public:
  RecordingServer() { listen(QHostAddress::LocalHost); }

  Endpoint Address() const { return Endpoint{"127.0.0.1", serverPort()}; }
  CallerConnection& Connection() { return *m_connection; }
  bool HasConnection() const { return m_connection != nullptr; }
  void DeleteConnection() { m_connection.reset(); }
  // The targets of the requests that were dispatched and not rejected, in order.
  const std::vector<std::string>& Targets() const { return m_targets; }
  bool IsCallerDisconnected() const { return m_disconnected; }

  bool WaitForTargets(std::size_t count) {
    return test::WaitUntil([&] { return m_targets.size() >= count; });
  }

  // Responds to a request with `text`, or with a body that contains its number.
  void Respond(std::uint64_t number, std::string_view text = "") {
    const std::string body = text.empty() ? "answer-" + std::to_string(number) : std::string(text);
    SendHead(number, body.size());
    m_connection->SendBody(number, body);
    m_connection->FinishResponse(number);
  }

  void SendHead(std::uint64_t number, std::size_t length) {
    HttpResponseHead head;
    head.status = 200;
    head.content_length = length;
    m_connection->StartResponse(number, head);
  }

  std::size_t BodyLimit(const HttpRequest&) const override { return 1024; }
  void OnRequest(ExchangeId, HttpRequest request, std::size_t) override {
    m_targets.push_back(request.target);
  }
  void OnBadRequest(ExchangeId exchange, Reason) override { Respond(exchange.number, "bad"); }
  void OnBodySent(ExchangeId, std::size_t) override {}
  void OnCallerDisconnected(ConnectionId) override { m_disconnected = true; }

 protected:
  void incomingConnection(qintptr descriptor) override {
    CallerLimits limits;
    limits.max_pipelined_requests = kMaxPipelined;
    m_connection =
        std::make_unique<CallerConnection>(ConnectionId{1}, descriptor, limits, m_budget, *this);
  }

 private:
  BodyBudget m_budget{1UL << 20U};
  std::unique_ptr<CallerConnection> m_connection;
  std::vector<std::string> m_targets;
  bool m_disconnected = false;
};

std::string Get(std::string_view target, std::string_view fields = "") {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: h\r\n" + std::string(fields) + "\r\n";
}

std::string Post(std::string_view target) {
  return "POST " + std::string(target) + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
}

// Requests that a caller sends without waiting, and the targets expected to be dispatched before
// any response.
struct ReadAheadRow {
  std::string_view name;
  std::string requests;
  std::vector<std::string> dispatched;
  std::vector<std::string> dispatched_in_total;  // After all responses.
};

const std::array read_ahead_rows{
    // Callers that pipeline lookups before the first response.
    ReadAheadRow{"safe ones together",
                 Get("/1") + Get("/2") + Get("/3"),
                 {"/1", "/2", "/3"},
                 {"/1", "/2", "/3"}},
    ReadAheadRow{"up to the limit",
                 Get("/1") + Get("/2") + Get("/3") + Get("/4") + Get("/5"),
                 {"/1", "/2", "/3", "/4"},
                 {"/1", "/2", "/3", "/4", "/5"}},
    ReadAheadRow{"an unsafe one waits for those before it",
                 Get("/1") + Get("/2") + Post("/3"),
                 {"/1", "/2"},
                 {"/1", "/2", "/3"}},
    ReadAheadRow{"nothing behind an unsafe one", Post("/1") + Get("/2"), {"/1"}, {"/1", "/2"}},
    ReadAheadRow{"nothing behind one that closes",
                 Get("/1") + Get("/2", "Connection: close\r\n") + Get("/3"),
                 {"/1", "/2"},
                 {"/1", "/2"}},
    ReadAheadRow{"nothing behind a malformed one",
                 Get("/1") + "nonsense\r\n\r\n" + Get("/2"),
                 {"/1"},
                 {"/1"}},
    ReadAheadRow{"nothing behind one of HTTP/1.0",
                 "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + Get("/2"),
                 {"/1"},
                 {"/1", "/2"}},
};

// Guards against requests that are left unread behind a slow one, and against responses out of the
// order of the requests.
void TestReadAhead(const ReadAheadRow& row) {
  RecordingServer server;
  test::RawClient client(server.Address());
  client.Send(row.requests);
  CPPUNIT_ASSERT(server.WaitForTargets(row.dispatched.size()));
  test::RunFor(std::chrono::milliseconds(50));
  CPPUNIT_ASSERT(server.Targets() == row.dispatched);
  for (std::size_t number = row.dispatched.size(); number > 0; --number) server.Respond(number);
  CPPUNIT_ASSERT(server.WaitForTargets(row.dispatched_in_total.size()));
  for (std::size_t number = row.dispatched.size(); number < row.dispatched_in_total.size();
       ++number) {
    server.Respond(number + 1);
  }
  std::size_t position = 0;
  for (std::size_t number = 1; number <= row.dispatched_in_total.size(); ++number) {
    const std::string answer = "answer-" + std::to_string(number);
    CPPUNIT_ASSERT_MESSAGE(answer, client.WaitFor(answer));
    const std::size_t found = client.Received().find(answer);
    CPPUNIT_ASSERT(found >= position);
    position = found;
  }
  CPPUNIT_ASSERT(server.Targets() == row.dispatched_in_total);
}

const test::TableTest<ReadAheadRow> read_ahead_test("CallerReadAhead", read_ahead_rows,
                                                    TestReadAhead);

// A scenario with two requests of a caller awaiting responses.
struct TwoPendingRow {
  std::string_view name;
  void (*run)(RecordingServer& server, test::RawClient& client);
};

// Guards against a response that fails midway and closes the connection that the other needs.
void ReplacesBufferedResponse(RecordingServer& server, test::RawClient& client) {
  server.SendHead(1, 100);
  server.Connection().SendBody(1, "half");
  CPPUNIT_ASSERT(server.Connection().DiscardUnsentResponse(1));
  server.Respond(1, "replaced");
  server.Respond(2);
  CPPUNIT_ASSERT(client.WaitFor("answer-2"));
  CPPUNIT_ASSERT(client.Received().find("half") == std::string::npos);
  CPPUNIT_ASSERT(client.Received().find("replaced") != std::string::npos);
}

// Guards against discarding a response of which the caller already has bytes.
void KeepsSentResponse(RecordingServer& server, test::RawClient& client) {
  server.Respond(1);
  server.SendHead(2, 100);
  server.Connection().SendBody(2, "half");
  CPPUNIT_ASSERT(!server.Connection().DiscardUnsentResponse(2));
  CPPUNIT_ASSERT(client.WaitFor("half"));
}

// Guards against closing a connection with dispatched requests that have no response yet.
void RespondsToAllBeforeClosing(RecordingServer& server, test::RawClient& client) {
  server.Connection().CloseWhenIdle();
  client.Send(Get("/3"));
  server.Respond(2);
  server.Respond(1);
  CPPUNIT_ASSERT(client.WaitForClose());
  const std::string received = client.Received();
  CPPUNIT_ASSERT(received.find("answer-1") < received.find("Connection: close"));
  CPPUNIT_ASSERT(received.find("answer-2") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.Targets().size());
}

void ReportsDisconnectedCaller(RecordingServer& server, test::RawClient& client) {
  client.Abort();
  CPPUNIT_ASSERT(test::WaitUntil([&] { return server.IsCallerDisconnected(); }));
}

constexpr std::array kTwoPendingRows{
    TwoPendingRow{"broken answer is replaced", ReplacesBufferedResponse},
    TwoPendingRow{"sent answer is not taken back", KeepsSentResponse},
    TwoPendingRow{"closes after all answers", RespondsToAllBeforeClosing},
    TwoPendingRow{"caller leaves", ReportsDisconnectedCaller},
};

void TestTwoPending(const TwoPendingRow& row) {
  RecordingServer server;
  test::RawClient client(server.Address());
  client.Send(Get("/1") + Get("/2"));
  CPPUNIT_ASSERT(server.WaitForTargets(2));
  row.run(server, client);
}

const test::TableTest<TwoPendingRow> two_pending_test("CallerTwoDue", kTwoPendingRows,
                                                      TestTwoPending);

// What a caller has sent when the server closes a connection to make room for others.
struct MakeRoomRow {
  std::string_view name;
  std::string read;      // Read by the server before.
  std::string arrived;   // In the kernel's buffer; the server's event loop has not read it.
  std::size_t requests;  // Dispatched before the server closes.
  std::size_t answered;  // Responded to immediately before the server closes.
  bool is_closed;
};

const std::array make_room_rows{
    MakeRoomRow{"nothing sent", "", "", 0, 0, true},
    MakeRoomRow{"part of a head read", "GET /1 HT", "", 0, 0, true},
    MakeRoomRow{"part of a head arrived", "", "GET /1 HT", 0, 0, true},
    MakeRoomRow{"complete request arrived", "", Get("/1"), 0, 0, false},
    MakeRoomRow{"rest of a request arrived", "GET /1 HT", "TP/1.1\r\nHost: h\r\n\r\n", 0, 0, false},
    MakeRoomRow{"complete head arrived", "",
                "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", 0, 0, false},
    MakeRoomRow{"response due", Get("/1"), "", 1, 0, false},
    MakeRoomRow{"response not handed to the network", Get("/1"), "", 1, 1, false},
};

// Guards against a complete request that ends without a response because its connection is closed
// to make room while the request is unread or its response is unsent.
void TestMakeRoom(const MakeRoomRow& row) {
  RecordingServer server;
  test::RawClient client(server.Address());
  CPPUNIT_ASSERT(test::WaitUntil([&] { return server.HasConnection(); }));
  client.Send(row.read);
  client.Flush();
  CPPUNIT_ASSERT(server.WaitForTargets(row.requests));
  test::RunFor(std::chrono::milliseconds(50));
  client.Send(row.arrived);
  CPPUNIT_ASSERT(client.FlushNow());
  for (std::size_t number = 1; number <= row.answered; ++number) server.Respond(number);
  server.Connection().CloseIfAwaitingHead();
  CPPUNIT_ASSERT_EQUAL(row.is_closed, server.IsCallerDisconnected());
  if (row.is_closed) return;
  if (server.Targets().empty() && row.arrived.starts_with("POST")) client.Send("ab");
  CPPUNIT_ASSERT(server.WaitForTargets(1));
  if (row.answered == 0) server.Respond(1);
  CPPUNIT_ASSERT(client.WaitFor("answer-1"));
}

const test::TableTest<MakeRoomRow> make_room_test("CallerMakeRoom", make_room_rows, TestMakeRoom);

// Receives from a server as the kernel reports it, which tells a reset from an orderly end.
class SystemClient {
 public:
  SystemClient(const Endpoint& server, std::string_view request)
      : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    ::send(m_descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  }
  ~SystemClient() { ::close(m_descriptor); }
  SystemClient(const SystemClient&) = delete;
  SystemClient& operator=(const SystemClient&) = delete;

  bool WaitFor(std::string_view text) {
    return test::WaitUntil([&] { return Read() || m_received.find(text) != std::string::npos; });
  }

  // Waits for the end of the connection and returns its error; 0 for an orderly end.
  int WaitForEnd() {
    CPPUNIT_ASSERT(test::WaitUntil([this] { return Read(); }));
    return *m_end;
  }

 private:
  // Reads what has arrived. Returns whether the connection has ended.
  bool Read() {
    std::array<char, 4096> data{};
    while (!m_end) {
      const ssize_t count = ::recv(m_descriptor, data.data(), data.size(), MSG_DONTWAIT);
      if (count < 0 && errno == EAGAIN) return false;
      if (count > 0) m_received.append(data.data(), static_cast<std::size_t>(count));
      if (count <= 0) m_end = count < 0 ? errno : 0;
    }
    return true;
  }

  const int m_descriptor;
  std::string m_received;
  std::optional<int> m_end;
};

struct CloseDelimitedRow {
  std::string_view name;
  void (*end)(RecordingServer& server);
  int error;
};

constexpr std::array kCloseDelimitedRows{
    CloseDelimitedRow{"whole",
                      [](RecordingServer& server) { server.Connection().FinishResponse(1); }, 0},
    CloseDelimitedRow{"broken off", [](RecordingServer& server) { server.Connection().Abort(); },
                      ECONNRESET},
    CloseDelimitedRow{"broken off at the end of the process",
                      [](RecordingServer& server) { server.DeleteConnection(); }, ECONNRESET},
};

// Guards against a response without length that breaks off and looks complete to a caller of
// HTTP/1.0, to which the end of the connection is the end of the body.
void TestCloseDelimited(const CloseDelimitedRow& row) {
  RecordingServer server;
  SystemClient client(server.Address(), "GET /1 HTTP/1.0\r\n\r\n");
  CPPUNIT_ASSERT(server.WaitForTargets(1));
  HttpResponseHead head;
  head.status = 200;
  server.Connection().StartResponse(1, head);
  server.Connection().SendBody(1, "half");
  CPPUNIT_ASSERT(client.WaitFor("half"));
  row.end(server);
  CPPUNIT_ASSERT_EQUAL(row.error, client.WaitForEnd());
}

const test::TableTest<CloseDelimitedRow> close_delimited_test("CallerCloseDelimited",
                                                              kCloseDelimitedRows,
                                                              TestCloseDelimited);

}  // namespace

}  // namespace damaskhollow
