#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>

#include "support/scriptedserver.h"
#include "support/tabletest.h"

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
    AnswerRow{"bytes that are no answer", "\x01\x02garbage\r\n\r\n", ScriptedServer::End::kKeepOpen,
              Reason::kBackendMalformed, ""},
    AnswerRow{"cut short", std::string(kOwnHead) + "Content-Length: 9\r\n\r\nabc",
              ScriptedServer::End::kClose, Reason::kBackendClosed, "abc"},
    AnswerRow{"without length, closed", std::string(kOwnHead) + "\r\nabc",
              ScriptedServer::End::kClose, std::nullopt, "abc"},
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

}  // namespace

}  // namespace damaskhollow
