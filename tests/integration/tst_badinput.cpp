#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>

#include "support/fleet.h"
#include "support/patternbody.h"
#include "support/rawclient.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::size_t kBodyLimitBytes = 1UL << 20U;
constexpr std::size_t kHeaderBytes = 40000;

FleetOptions OneNode() {
  return {.servers = SmallFleet(1, 2), .max_body_bytes = static_cast<int>(kBodyLimitBytes)};
}

void AssertServes(Fleet& fleet) {
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(0).IsRunning());
  const HttpResponse response =
      fleet.Call(0, "GET", "/read?ms=0&bytes=10", {{"X-Test-Id", "after"}});
  CPPUNIT_ASSERT_MESSAGE(response.Describe(), response.body == PatternBody("after", 10));
}

// A request that must be refused without being run.
struct RefusedCase {
  std::string_view name;
  std::string_view request;  // @H: a long header value; @B: a body above the limit.
  std::string_view status;
  std::string_view reason;
};

constexpr std::array kRefusedCases{
    RefusedCase{"no HTTP", "\x16\x03\x01\x02 nonsense\r\n\r\n", "400", "malformed_request"},
    RefusedCase{"oversized header", "GET /read HTTP/1.1\r\nHost: shop.test\r\nX-Long: @H\r\n\r\n",
                "431", "header_too_large"},
    RefusedCase{"oversized target", "GET /read/@H HTTP/1.1\r\nHost: shop.test\r\n\r\n", "431",
                "header_too_large"},
    RefusedCase{"oversized body with length",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 1048577\r\n\r\n", "413",
                "body_too_large"},
    RefusedCase{"oversized body in chunks",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n"
                "200000\r\n@B",
                "413", "body_too_large"},
    RefusedCase{"bad chunk size",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n"
                "xyz\r\nabc\r\n0\r\n\r\n",
                "400", "malformed_request"},
    RefusedCase{"chunk longer than its size",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nabcdef\r\n0\r\n\r\n",
                "400", "malformed_request"},
    RefusedCase{"negative length",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nContent-Length: -1\r\n\r\n", "400",
                "malformed_request"},
    RefusedCase{"two lengths",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 1\r\n"
                "Content-Length: 2\r\n\r\nab",
                "400", "malformed_request"},
    RefusedCase{"length and chunks",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "400", "malformed_request"},
    RefusedCase{"space before the colon",
                "POST /book HTTP/1.1\r\nHost: shop.test\r\nContent-Length : 0\r\n\r\n", "400",
                "malformed_request"},
    RefusedCase{"target with a host",
                "GET http://shop.test/read HTTP/1.1\r\nHost: shop.test\r\n\r\n", "400",
                "malformed_request"},
    RefusedCase{"unknown host", "GET /read HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "404",
                "unknown_service"},
    RefusedCase{"no host", "GET /read HTTP/1.1\r\nAccept: */*\r\n\r\n", "400", "malformed_request"},
    RefusedCase{"no host in HTTP/1.0", "GET /read HTTP/1.0\r\nAccept: */*\r\n\r\n", "404",
                "unknown_service"},
    RefusedCase{"no rule", "DELETE /read HTTP/1.1\r\nHost: shop.test\r\n\r\n", "404", "no_rule"},
    RefusedCase{"bad deadline",
                "GET /read HTTP/1.1\r\nHost: shop.test\r\nDamaskhollow-Deadline-Ms: soon\r\n\r\n",
                "400", "deadline_invalid"},
    RefusedCase{"deadline of zero",
                "GET /read HTTP/1.1\r\nHost: shop.test\r\nDamaskhollow-Deadline-Ms: 0\r\n\r\n",
                "400", "deadline_invalid"},
    RefusedCase{"too deep",
                "GET /read HTTP/1.1\r\nHost: shop.test\r\nDamaskhollow-Depth: 33\r\n\r\n", "508",
                "depth_exceeded"},
};

// Replaces @H and @B in a request of the table by text of the intended length.
std::string ExpandPlaceholders(std::string_view request) {
  std::string text(request);
  const auto expand = [&text](std::string_view placeholder, std::size_t bytes) {
    const std::size_t position = text.find(placeholder);
    if (position != std::string::npos) {
      text.replace(position, placeholder.size(), std::string(bytes, 'x'));
    }
  };
  expand("@H", kHeaderBytes);
  expand("@B", kBodyLimitBytes + 1);
  return text;
}

// Guards against invalid requests that are run, crash the node or are answered with a misleading
// status.
void RefusesBadInput(const RefusedCase& row) {
  Fleet fleet(OneNode());
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  RawClient client(fleet.Caller(0));
  client.Send(ExpandPlaceholders(row.request));
  const bool is_answered = client.WaitFor("\r\n\r\n");
  const std::string& received = client.Received();
  CPPUNIT_ASSERT_MESSAGE(received, is_answered);
  CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 ") + std::string(row.status), received.substr(0, 12));
  CPPUNIT_ASSERT_MESSAGE(received, received.find("Damaskhollow-Reason: " +
                                                 std::string(row.reason)) != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(received,
                         received.find("Damaskhollow-Outcome: not-run") != std::string::npos);
  CPPUNIT_ASSERT_EQUAL(0, fleet.Runs(0)["total"].toObject()["ran"].toInt());
  AssertServes(fleet);
}

const TableTest<RefusedCase> refused_registration("BadInput", kRefusedCases, &RefusesBadInput);

// An unusual behaviour of callers or peers that a node must survive.
struct BehaviourCase {
  std::string_view name;
  void (*run)(Fleet&);
};

// Guards against sending pipelined responses in the order of completion instead of the order of the
// requests.
void RespondsInRequestOrder(Fleet& fleet) {
  RawClient client(fleet.Caller(0));
  std::string requests;
  for (const std::string_view delay_ms : {"200", "100", "0"}) {
    requests += "GET /read?bytes=100&ms=" + std::string(delay_ms) +
                " HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: after-" + std::string(delay_ms) +
                "\r\n\r\n";
  }
  client.Send(requests);
  CPPUNIT_ASSERT(client.WaitFor(PatternBody("after-0", 100)));
  const std::size_t first = client.Received().find(PatternBody("after-200", 100));
  const std::size_t second = client.Received().find(PatternBody("after-100", 100));
  const std::size_t third = client.Received().find(PatternBody("after-0", 100));
  CPPUNIT_ASSERT(first < second && second < third);
}

// A connection of a caller that sends requests but never reads responses.
class NonReadingCaller {
 public:
  explicit NonReadingCaller(const Endpoint& node) : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kSmallBuffer = 4096;
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof(kSmallBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node.port);
    ::inet_pton(AF_INET, node.address.c_str(), &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(m_socket, generic, sizeof(address)));
  }
  ~NonReadingCaller() { ::close(m_socket); }
  NonReadingCaller(const NonReadingCaller&) = delete;
  NonReadingCaller& operator=(const NonReadingCaller&) = delete;

  void Send(const std::string& bytes) const {
    CPPUNIT_ASSERT(::send(m_socket, bytes.data(), bytes.size(), 0) ==
                   static_cast<ssize_t>(bytes.size()));
  }

 private:
  const int m_socket;
};

// Guards against rejecting or repeating a request that arrives byte by byte.
void AcceptsASlowSender(Fleet& fleet) {
  RawClient client(fleet.Caller(0));
  const std::string request =
      "POST /book?ms=0&bytes=50 HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: slow\r\n"
      "Content-Length: 10\r\n\r\n0123456789";
  for (const char byte : request) {
    client.Send(std::string_view(&byte, 1));
    RunFor(std::chrono::milliseconds(1));
  }
  CPPUNIT_ASSERT(client.WaitFor(PatternBody("slow", 50)));
  CPPUNIT_ASSERT_EQUAL(1, fleet.RunsOf("slow").completed);
}

// Guards against running a request whose connection is aborted in the middle of a chunk.
void DiscardsTruncatedChunk(Fleet& fleet) {
  RawClient client(fleet.Caller(0));
  client.Send(
      "POST /book HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: truncated\r\n"
      "Transfer-Encoding: chunked\r\n\r\n64\r\nabc");
  client.Flush();
  client.Abort();
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Metric(0, "damaskhollow_caller_connections") == 0; }));
  CPPUNIT_ASSERT_EQUAL(0, fleet.RunsOf("truncated").ran);
}

// Guards against a slot that stays occupied by an idempotent call whose caller has disconnected,
// and against side effects on concurrent calls of other callers.
void FreesSlotWhenCallerDisconnects(Fleet& fleet) {
  bool other_ended = false;
  HttpResponse other;
  fleet.Send(0, MakeRequest("GET", "/read?ms=500&bytes=100", {{"X-Test-Id", "other"}}),
             [&](const HttpResponse& response) {
               other = response;
               other_ended = true;
             });
  RawClient leaving(fleet.Caller(0));
  leaving.Send("GET /read?ms=600000 HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: left\r\n\r\n");
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("left").ran == 1; }));
  leaving.Abort();
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("left").cut == 1; }));
  CPPUNIT_ASSERT(WaitUntil([&] { return other_ended; }));
  CPPUNIT_ASSERT_MESSAGE(other.Describe(), other.body == PatternBody("other", 100));
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Status(0)["in_flight"].toInt() == 0; }));
}

// Guards against aborting a non-idempotent request because its caller has disconnected.
void FinishesNonIdempotentRequest(Fleet& fleet) {
  RawClient leaving(fleet.Caller(0));
  leaving.Send(
      "POST /book?ms=300 HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: booked\r\n"
      "Content-Length: 0\r\n\r\n");
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("booked").ran == 1; }));
  leaving.Abort();
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("booked").completed == 1; }));
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Status(0)["in_flight"].toInt() == 0; }));
}

// Guards against a node that fails on bytes on its peer port that do not follow the peer protocol.
void SurvivesGarbageFromAPeer(Fleet& fleet) {
  for (const std::string_view bytes : {"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff",
                                       "\xff\x00\x00\x00\x00\x00\x00\x00\x01\x7f\x03\x00NULL"}) {
    RawClient client(fleet.Peer(0));
    client.Send(bytes);
    client.Send(PatternBody("garbage", 100000));
    client.Flush();
    client.Abort();
  }
}

// Guards against buffering more of a request body than the body limit allows.
void LimitsMemoryDuringHugeUpload(Fleet& fleet) {
  constexpr std::size_t kUploadBytes = 100UL * 1000UL * 1000UL;
  constexpr std::size_t kMemoryLimitKilobytes = 32UL * 1024UL;
  RawClient client(fleet.Caller(0));
  client.Send("POST /book HTTP/1.1\r\nHost: shop.test\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  for (std::size_t sent = 0; sent < kUploadBytes && client.IsOpen(); sent += 0x10000) {
    client.Send(chunk);
    client.Flush();
  }
  CPPUNIT_ASSERT_MESSAGE(client.Received().substr(0, 100),
                         client.Received().starts_with("HTTP/1.1 413"));
  const std::size_t peak = fleet.Node(0).PeakResidentKilobytes();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak > 0 && peak < kMemoryLimitKilobytes);
}

constexpr std::array kBehaviourCases{
    BehaviourCase{"pipelined requests are answered in order", &RespondsInRequestOrder},
    BehaviourCase{"slow sender", &AcceptsASlowSender},
    BehaviourCase{"truncated chunk", &DiscardsTruncatedChunk},
    BehaviourCase{"caller leaves during an idempotent request", &FreesSlotWhenCallerDisconnects},
    BehaviourCase{"caller leaves during another request", &FinishesNonIdempotentRequest},
    BehaviourCase{"garbage on the peer port", &SurvivesGarbageFromAPeer},
    BehaviourCase{"body of 100 MB", &LimitsMemoryDuringHugeUpload},
};

void SurvivesCallerBehaviour(const BehaviourCase& row) {
  Fleet fleet(OneNode());
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  row.run(fleet);
  AssertServes(fleet);
}

// Why the responses on one connection are not sent completely before their deadlines.
struct LateCase {
  std::string_view name;
  bool owner_is_paused;  // Otherwise only the caller is slow.
};

constexpr std::array kLateCases{
    LateCase{"caller does not read", false},
    LateCase{"caller does not read, owner stands still", true},
};

// Guards against a crash of the node when it aborts a partly sent response at its deadline while
// the pipelined responses behind it on the same connection reach their deadlines at the same
// moment.
void EndsLateResponsesOfOneConnection(const LateCase& row) {
  Fleet fleet({.servers = FleetWithIngressOnlyNode(2)});
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Start());
  const NonReadingCaller caller(fleet.Caller(0));
  std::string requests;
  for (const std::string_view id : {"late-1", "late-2"}) {
    requests += "GET /read?ms=0&bytes=20000000 HTTP/1.1\r\nHost: shop.test\r\nX-Test-Id: " +
                std::string(id) + "\r\nDamaskhollow-Deadline-Ms: 1500\r\n\r\n";
  }
  caller.Send(requests);
  CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunsOf("late-2").ran == 1; }));
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Metric(0, "damaskhollow_caller_connections") == 1; }));
  if (row.owner_is_paused) fleet.Node(1).Signal(SIGSTOP);
  CPPUNIT_ASSERT(
      WaitUntil([&] { return fleet.Metric(0, "damaskhollow_caller_connections") == 0; }));
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(0).IsRunning());
  fleet.Node(1).Signal(SIGCONT);
}

const TableTest<LateCase> late_registration("LateAnswers", kLateCases,
                                            &EndsLateResponsesOfOneConnection);

const TableTest<BehaviourCase> behaviour_registration("CallerManners", kBehaviourCases,
                                                      &SurvivesCallerBehaviour);

// A start that must fail, with the exit status and a part of the error message.
struct StartCase {
  std::string_view name;
  std::string_view argument;     // Added to a valid command line.
  std::string_view declaration;  // Replaces the valid one unless empty; @none: no file.
  int exit_status;
  std::string_view message;
};

constexpr std::array kStartCases{
    StartCase{"unknown flag", "--colour=red", "", 2, "invalid_setting"},
    StartCase{"workers out of range", "--workers=0", "", 2, "--workers"},
    StartCase{"host name as address", "--listen=localhost:80", "", 2, "--listen"},
    StartCase{"unknown strategy", "--routing-strategy=best", "", 2, "--routing-strategy"},
    StartCase{"declaration is no JSON", "", "{\"format\": ", 1, "syntax"},
    StartCase{"declaration is empty", "", "{}", 1, "missing_field"},
    StartCase{"declaration has an unknown field", "", "{\"colour\": 1}", 1, "declaration.json"},
    StartCase{"declaration file is missing", "", "@none", 1, "file_unreadable"},
};

// Guards against a node that starts with invalid settings or an invalid declaration.
void RefusesToStart(const StartCase& row) {
  FleetOptions options = OneNode();
  if (!row.argument.empty()) options.node_arguments.emplace_back(row.argument);
  Fleet fleet(options);
  const std::string file = fleet.Folder() + "/declaration.json";
  if (row.declaration == "@none") {
    std::filesystem::remove(file);
  } else if (!row.declaration.empty()) {
    std::ofstream(file) << row.declaration;
  }
  fleet.Node(0).Start();
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(), fleet.Node(0).WaitForExit(kWaitLimit));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.NodeOutput(), row.exit_status, fleet.Node(0).ExitStatus());
  CPPUNIT_ASSERT_MESSAGE(fleet.NodeOutput(),
                         fleet.NodeOutput().find(row.message) != std::string::npos);
}

const TableTest<StartCase> start_registration("BadStart", kStartCases, &RefusesToStart);

}  // namespace

}  // namespace damaskhollow::test
