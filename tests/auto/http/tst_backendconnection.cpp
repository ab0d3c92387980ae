#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/scriptedserver.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow {

namespace {

using test::ScriptedServer;

constexpr char kOwnHead[] = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nSeal: s\r\n";

struct AnswerRow {
  std::string_view name;
  std::string bytes;
  ScriptedServer::End end;
  std::optional<Reason> failure;
  std::string_view body;
};

const std::string own_answer = std::string(kOwnHead) + "Content-Length: 3\r\n\r\nabc";
const std::string other_answer =
    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nxxxxx";

// Responses of a faulty server. A response must not be accepted for another request, and a complete
// one must not be lost.
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
              std::string(kOwnHead) + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
              ScriptedServer::End::kKeepOpen, Reason::kBackendMalformed, ""},
    AnswerRow{"refusal without id", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
              ScriptedServer::End::kKeepOpen, std::nullopt, ""},
    AnswerRow{"not run, with id",
              "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
              ScriptedServer::End::kKeepOpen, std::nullopt, ""},
    AnswerRow{"not run, without id, perhaps of another request",
              "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
              ScriptedServer::End::kKeepOpen, Reason::kBackendMalformed, ""},
    AnswerRow{"bytes that are no answer", "\x01\x02garbage\r\n\r\n", ScriptedServer::End::kKeepOpen,
              Reason::kBackendMalformed, ""},
    AnswerRow{"cut short", std::string(kOwnHead) + "Content-Length: 9\r\n\r\nabc",
              ScriptedServer::End::kClose, Reason::kBackendClosed, "abc"},
    AnswerRow{"without length, closed", std::string(kOwnHead) + "\r\nabc",
              ScriptedServer::End::kClose, std::nullopt, "abc"},
    AnswerRow{"cut short, reset", std::string(kOwnHead) + "Content-Length: 9\r\n\r\nabc",
              ScriptedServer::End::kReset, Reason::kBackendClosed, "abc"},
    AnswerRow{"chunks, closed before the last one",
              std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
              ScriptedServer::End::kClose, Reason::kBackendClosed, "abc"},
    AnswerRow{"chunks, closed in the last one",
              std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
              ScriptedServer::End::kClose, Reason::kBackendClosed, "abc"},
    AnswerRow{"without length, reset", std::string(kOwnHead) + "\r\nabc",
              ScriptedServer::End::kReset, Reason::kBackendClosed, "abc"},
};

void TestAnswer(const AnswerRow& row) {
  const ScriptedServer server({row.bytes}, row.end);
  const test::CollectedResponse answer = test::FetchFrom(server);
  CPPUNIT_ASSERT(row.failure == answer.failure);
  CPPUNIT_ASSERT_EQUAL(std::string(row.body), answer.body);
}

const test::TableTest<AnswerRow> answer_test("BackendAnswer", answer_rows, TestAnswer);

struct RefusalRow {
  std::string_view name;
  std::vector<std::string> pieces;
  std::optional<Reason> failure;
  bool refused;
  std::string_view body;
};

const std::string other_refusal =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n";
const std::string own_refusal =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: mine\r\nContent-Length: 0\r\n\r\n";

std::string StartOf(std::string_view text, std::string_view end) {
  return std::string(text.substr(0, text.find(end) + end.size()));
}

std::string RestOf(std::string_view text, std::string_view end) {
  return std::string(text.substr(text.find(end) + end.size()));
}

const std::array refusal_rows{
    RefusalRow{
        "of another request first", {other_refusal + own_answer}, std::nullopt, false, "abc"},
    RefusalRow{
        "together with the own refusal", {other_refusal + own_refusal}, std::nullopt, true, ""},
    RefusalRow{"in two halves",
               {StartOf(other_refusal, "Request-Id: o"),
                RestOf(other_refusal, "Request-Id: o") + own_answer},
               std::nullopt,
               false,
               "abc"},
    RefusalRow{"after an interim response",
               {"HTTP/1.1 103 Early Hints\r\n\r\n" + other_refusal, own_answer},
               std::nullopt,
               false,
               "abc"},
    RefusalRow{"inside a field of the own head",
               {StartOf(own_answer, "Seal: s") + other_refusal, RestOf(own_answer, "Seal: s")},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"cut in a field, the own answer behind",
               {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 0." + own_answer},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"cut in the reason, the own answer behind",
               {"HTTP/1.1 500 Bus" + own_answer},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"two ids",
               {"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: mine\r\nRequest-Id: other\r\n"
                "Content-Length: 0\r\n\r\n"},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"mark on a success",
               {std::string(kOwnHead) + "Not-Run: 1\r\nContent-Length: 3\r\n\r\nabc"},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"mark on a server error",
               {"HTTP/1.1 500 Failed\r\nNot-Run: 1\r\nRequest-Id: mine\r\n"
                "Content-Length: 0\r\n\r\n"},
               Reason::kBackendMalformed,
               false,
               ""},
    RefusalRow{"own status 421",
               {"HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nRequest-Id: mine\r\n"
                "Content-Length: 0\r\n\r\n"},
               std::nullopt,
               true,
               ""},
};

// Guards against a repeated refusal of an earlier request that is taken for the response, and
// against a request that was run and is reported as not run.
void TestRefusal(const RefusalRow& row) {
  const ScriptedServer server(row.pieces, ScriptedServer::End::kKeepOpen);
  const test::CollectedResponse answer = test::FetchFrom(server);
  CPPUNIT_ASSERT_EQUAL(row.refused, answer.refused);
  CPPUNIT_ASSERT_EQUAL(std::string(row.body), answer.body);
  CPPUNIT_ASSERT(row.failure == answer.failure);
}

const test::TableTest<RefusalRow> refusal_test("RepeatedRefusal", refusal_rows, TestRefusal);

struct CutRow {
  std::string_view name;
  std::string head;  // As far as it was sent.
};

const std::array cut_rows{
    CutRow{"nothing sent", ""},
    CutRow{"in the version", "HTTP/1."},
    CutRow{"in the status line", "HTTP/1.1 200 O"},
    CutRow{"after the status line", "HTTP/1.1 200 OK\r\n"},
    CutRow{"in a field name", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nSea"},
    CutRow{"in a field value", "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nSeal: s"},
    CutRow{"in the digits of the length", std::string(kOwnHead) + "Content-Length: 1"},
    CutRow{"after the digit 0 of the length", std::string(kOwnHead) + "Content-Length: 0"},
    CutRow{"after the length", std::string(kOwnHead) + "Content-Length: 0\r\n"},
    CutRow{"before the length", kOwnHead},
    CutRow{"in the coding", std::string(kOwnHead) + "Transfer-Encoding: chunk"},
    CutRow{"before the blank line", std::string(kOwnHead) + "Connection: close\r\n"},
    CutRow{"in the blank line", std::string(kOwnHead) + "Connection: close\r\n\r"},
    CutRow{"refusal before the blank line",
           "HTTP/1.1 503 Busy\r\nRequest-Id: mine\r\nNot-Run: 1\r\n"},
};

// Bytes before the head that is cut.
const std::array<std::string, 3> cut_prefixes{"", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n",
                                              other_answer};

// Guards against a head that is cut by the end of the connection and taken for a whole one, with an
// empty body or one without length.
void TestCut(const CutRow& row) {
  for (const std::string& prefix : cut_prefixes) {
    for (const ScriptedServer::End end : {ScriptedServer::End::kClose, ScriptedServer::End::kReset,
                                          ScriptedServer::End::kResetAtOnce}) {
      const ScriptedServer server({prefix + row.head}, end);
      const test::CollectedResponse answer = test::FetchFrom(server);
      CPPUNIT_ASSERT_EQUAL(0, answer.status);
      CPPUNIT_ASSERT(answer.failure == Reason::kBackendClosed && !answer.complete);
    }
  }
}

const test::TableTest<CutRow> cut_test("CutHead", cut_rows, TestCut);

struct EndlessRow {
  std::string_view name;
  std::string start;
  std::string repeated;
  Reason failure;
};

// More than a server can have sent before the client closed: what the client may read, and what
// the sockets of both sides hold.
constexpr std::size_t kMaxSentBytes = 24UL * 1024UL * 1024UL;
constexpr std::size_t kCredit = 65536;
constexpr std::chrono::milliseconds kTimeout{1500};

const std::string block(16384, 'x');

// Bytes of a faulty server that do not end until the client closes. What can't be an answer fails
// at once; a body fails at the time-out of the request, and is read only as far as it may be.
const std::array endless_rows{
    EndlessRow{"no status line", "", block, Reason::kBackendMalformed},
    EndlessRow{"header field", "HTTP/1.1 200 OK\r\nX: ", block, Reason::kBackendMalformed},
    EndlessRow{"header fields", "HTTP/1.1 200 OK\r\n", "X: 1\r\n", Reason::kBackendMalformed},
    EndlessRow{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", Reason::kBackendMalformed},
    EndlessRow{"answers of other requests", "", other_answer + other_answer,
               Reason::kBackendMalformed},
    EndlessRow{"body of another request's answer",
               "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\n\r\n", block,
               Reason::kBackendMalformed},
    EndlessRow{"chunk extension", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n3;x=",
               block, Reason::kBackendMalformed},
    EndlessRow{"trailer", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
               "X: 1\r\n", Reason::kBackendMalformed},
    EndlessRow{"body without length", std::string(kOwnHead) + "\r\n", block,
               Reason::kBackendTimeout},
    EndlessRow{"body of endless length",
               std::string(kOwnHead) + "Content-Length: 9000000000000000000\r\n\r\n", block,
               Reason::kBackendTimeout},
    EndlessRow{"endless chunks", std::string(kOwnHead) + "Transfer-Encoding: chunked\r\n\r\n",
               "4\r\nabcd\r\n", Reason::kBackendTimeout},
};

// Guards against memory and processor time that a server in trouble can take without limit.
void TestEndless(const EndlessRow& row) {
  // Small pieces are sent many at a time, so that a limit is reached soon.
  std::string repeated;
  while (repeated.size() < block.size()) repeated += row.repeated;
  const ScriptedServer server({row.start, repeated}, ScriptedServer::End::kRepeatLast);
  const test::CollectedResponse answer = test::FetchFrom(server, kTimeout, kCredit);
  CPPUNIT_ASSERT(answer.failure);
  CPPUNIT_ASSERT_EQUAL(std::string(InfoOf(row.failure).name),
                       std::string(InfoOf(*answer.failure).name));
  CPPUNIT_ASSERT(answer.body_bytes <= kCredit);
  CPPUNIT_ASSERT(server.RepeatedBytes() <= kMaxSentBytes);
  CPPUNIT_ASSERT(test::WaitUntil([&] { return server.OpenConnections() == 0; }));
}

const test::TableTest<EndlessRow> endless_test("EndlessAnswer", endless_rows, TestEndless);

}  // namespace

}  // namespace damaskhollow
