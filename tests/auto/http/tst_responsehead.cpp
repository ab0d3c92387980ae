#include <cppunit/TestAssert.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/scriptedserver.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

using test::ScriptedServer;

std::string StatusLine(int status) {
  const std::string digits = std::to_string(status);
  return "HTTP/1.1 " + std::string(3 - digits.size(), '0') + digits + " Status\r\n";
}

struct StatusRow {
  std::string_view name;
  int first;
  int last;
  std::string_view more_fields;
  bool accepted;
};

constexpr std::string_view kOwnFields = "Request-Id: mine\r\nSeal: s\r\nContent-Length: 3\r\n";

constexpr std::array kStatusRows{
    StatusRow{"below the range", 0, 99, kOwnFields, false},
    StatusRow{"below the range, without id, seal and length", 0, 99, "", false},
    StatusRow{"success", 200, 299, kOwnFields, true},
    StatusRow{"redirect and error", 300, 599, kOwnFields, true},
    StatusRow{"above the range", 600, 999, kOwnFields, false},
    StatusRow{"above the range, without id, seal and length", 600, 999, "", false},
};

// Guards against a response that is passed on although its status is outside the range of RFC 9110,
// 15, so that the caller cannot tell success from failure.
void TestStatus(const StatusRow& row) {
  for (int status = row.first; status <= row.last; ++status) {
    const std::string response = StatusLine(status) + std::string(row.more_fields) + "\r\nabc";
    const ScriptedServer server({response}, ScriptedServer::End::kClose);
    const test::CollectedResponse answer = test::FetchFrom(server);
    const std::string text = std::to_string(status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, row.accepted ? status : 0, answer.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, row.accepted, answer.complete);
    CPPUNIT_ASSERT_MESSAGE(text, row.accepted || answer.failure == Reason::kBackendMalformed);
    CPPUNIT_ASSERT_MESSAGE(text, row.accepted || answer.fault == ResponseFault::kStatus);
  }
}

const test::TableTest<StatusRow> status_test("ResponseStatus", kStatusRows, TestStatus);

struct FieldRow {
  std::string_view name;
  std::string bytes;
  ResponseFault fault;
};

const std::string own_start = "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\n";
const std::string own_end = "Content-Length: 3\r\n\r\nabc";
const std::string own_chunked =
    "HTTP/1.1 200 OK\r\nRequest-Id: mine\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n";

const std::array field_rows{
    FieldRow{"well-formed", own_start + "Seal: s\r\n" + own_end, ResponseFault::kNone},
    FieldRow{"empty value", own_start + "Seal:\r\n" + own_end, ResponseFault::kNone},
    FieldRow{"blanks around a value", own_start + "Seal: \t s \t \r\n" + own_end,
             ResponseFault::kNone},
    FieldRow{"well-formed trailer", own_chunked + "0\r\nX: 1\r\n\r\n", ResponseFault::kNone},
    // The parser joins the line to the value before it: the caller would get another seal.
    FieldRow{"folded value", own_start + "Seal: s\r\n x\r\n" + own_end,
             ResponseFault::kLineFolding},
    FieldRow{"folded by a tab", own_start + "Seal: s\r\n\tx\r\n" + own_end,
             ResponseFault::kLineFolding},
    FieldRow{"folded, only blanks", own_start + "Seal: s\r\n  \r\n" + own_end,
             ResponseFault::kLineFolding},
    FieldRow{"folded, empty first line", own_start + "Seal:\r\n s\r\n" + own_end,
             ResponseFault::kLineFolding},
    FieldRow{"blank before the name of the length",
             own_start + "Seal: s\r\n Content-Length: 3\r\n\r\nabc", ResponseFault::kLineFolding},
    // The caller would get the chunk headers as part of the body.
    FieldRow{"blank before the name of the coding",
             own_start + "Seal: s\r\n Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
             ResponseFault::kLineFolding},
    FieldRow{"folded last line", own_start + "Seal: s\r\nContent-Length: 3\r\n \r\n\r\nabc",
             ResponseFault::kLineFolding},
    FieldRow{
        "folded interim head",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + own_start + "Seal: s\r\n" + own_end,
        ResponseFault::kLineFolding},
    FieldRow{"folded head of another request",
             "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\n x\r\nContent-Length: 0\r\n\r\n" +
                 own_start + "Seal: s\r\n" + own_end,
             ResponseFault::kLineFolding},
    FieldRow{"folded trailer", own_chunked + "0\r\nX: 1\r\n 2\r\n\r\n",
             ResponseFault::kLineFolding},
    FieldRow{"blank before the first name",
             "HTTP/1.1 200 OK\r\n Request-Id: mine\r\nSeal: s\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"blank in a name", own_start + "Se al: s\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"blank behind a name", own_start + "Seal : s\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"control byte in a name", own_start + "Seal: s\r\nX\x01Y: 1\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"escape before a name", own_start + "Seal: s\r\n\x1bX: 1\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"delete in a name", own_start + "Seal: s\r\nX\x7fY: 1\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"zero byte in a name", own_start + std::string("Seal: s\r\nX\0Y: 1\r\n", 17) + own_end,
             ResponseFault::kSyntax},
    FieldRow{"empty name", own_start + "Seal: s\r\n: 1\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"no colon", own_start + "Seal: s\r\nX\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"control byte in a value", own_start + "Seal: s\x01\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"carriage return in a value", own_start + "Seal: s\rx\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"line feed alone", own_start + "Seal: s\nX: 1\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"blank in the name of an interim head",
             "HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + own_start + "Seal: s\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"blank in the name of a trailer", own_chunked + "0\r\nX Y: 1\r\n\r\n",
             ResponseFault::kSyntax},
};

// Guards against a field line that is not valid and changes the fields or the body that a caller
// gets, however the response is split in transit.
void TestFields(const FieldRow& row) {
  std::vector<std::vector<std::string>> splits{{row.bytes}};
  std::vector<std::string> bytes;
  for (const char byte : row.bytes) bytes.emplace_back(1, byte);
  splits.push_back(bytes);
  for (std::size_t at = 1; at < row.bytes.size(); ++at) {
    splits.push_back({row.bytes.substr(0, at), row.bytes.substr(at)});
  }
  for (const std::vector<std::string>& pieces : splits) {
    const ScriptedServer server(pieces, ScriptedServer::End::kClose);
    const test::CollectedResponse answer = test::FetchFrom(server);
    const bool is_accepted = row.fault == ResponseFault::kNone;
    const std::string text = "split at " + std::to_string(pieces.front().size());
    const bool has_whole_head = row.bytes.starts_with(own_chunked);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, is_accepted, answer.complete);
    CPPUNIT_ASSERT_MESSAGE(text, is_accepted || has_whole_head || answer.status == 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(FaultName(row.fault)),
                                 std::string(FaultName(answer.fault)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(is_accepted ? "abc" : ""),
                                 answer.complete ? answer.body : std::string());
  }
}

const test::TableTest<FieldRow> field_test("ResponseFields", field_rows, TestFields);

const std::string unsealed_chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";

// Fields of a trailer do not belong to the head (RFC 9110, 6.5.1), also if both arrive together.
const std::array trailer_rows{
    FieldRow{"seal", own_start + unsealed_chunks + "Seal: s\r\n\r\n",
             ResponseFault::kMissingMarker},
    FieldRow{"id", "HTTP/1.1 200 OK\r\nSeal: s\r\n" + unsealed_chunks + "Request-Id: mine\r\n\r\n",
             ResponseFault::kMissingId},
    FieldRow{"id of another request", own_chunked + "0\r\nRequest-Id: other\r\n\r\n",
             ResponseFault::kNone},
    FieldRow{"mark of a refusal", own_chunked + "0\r\nNot-Run: 1\r\n\r\n", ResponseFault::kNone},
    FieldRow{"content encoding", own_chunked + "0\r\nContent-Encoding: gzip\r\n\r\n",
             ResponseFault::kNone},
    FieldRow{"length", own_chunked + "0\r\nContent-Length: 1\r\n\r\n", ResponseFault::kSyntax},
};

const test::TableTest<FieldRow> trailer_test("ResponseTrailer", trailer_rows, TestFields);

const std::string own_sealed = own_start + "Seal: s\r\n";
const std::string chunks = "\r\n3\r\nabc\r\n0\r\n\r\n";

// Heads that promise a protocol, a coding or a body that this connection cannot carry.
const std::array promise_rows{
    // What follows is in a protocol that the request did not ask for (RFC 9110, 7.8).
    FieldRow{"switched protocol",
             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" +
                 own_sealed + own_end,
             ResponseFault::kProtocolSwitch},
    FieldRow{"other interim response", "HTTP/1.1 102 Processing\r\n\r\n" + own_sealed + own_end,
             ResponseFault::kNone},
    FieldRow{"upgrade offered in a final response",
             own_sealed + "Upgrade: x\r\nConnection: upgrade\r\n" + own_end, ResponseFault::kNone},
    FieldRow{"chunked", own_sealed + "Transfer-Encoding: chunked\r\n" + chunks,
             ResponseFault::kNone},
    FieldRow{"chunked in other case", own_sealed + "transfer-encoding: Chunked\r\n" + chunks,
             ResponseFault::kNone},
    FieldRow{"other coding", own_sealed + "Transfer-Encoding: gzip\r\n\r\nabc",
             ResponseFault::kTransferCoding},
    FieldRow{"other coding with a length", own_sealed + "Transfer-Encoding: gzip\r\n" + own_end,
             ResponseFault::kTransferCoding},
    FieldRow{"no coding", own_sealed + "Transfer-Encoding:\r\n\r\nabc",
             ResponseFault::kTransferCoding},
    FieldRow{"identity", own_sealed + "Transfer-Encoding: identity\r\n" + own_end,
             ResponseFault::kTransferCoding},
    FieldRow{"other coding before chunked",
             own_sealed + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
             ResponseFault::kTransferCoding},
    FieldRow{"other coding in a line before chunked",
             own_sealed + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks,
             ResponseFault::kTransferCoding},
    FieldRow{"chunked not last", own_sealed + "Transfer-Encoding: chunked, gzip\r\n" + chunks,
             ResponseFault::kTransferCoding},
    FieldRow{
        "chunked in HTTP/1.0",
        "HTTP/1.0 200 OK\r\nRequest-Id: mine\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n" + chunks,
        ResponseFault::kTransferCoding},
    FieldRow{"chunked twice",
             own_sealed + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
             ResponseFault::kSyntax},
    FieldRow{"chunked with a length", own_sealed + "Transfer-Encoding: chunked\r\n" + own_end,
             ResponseFault::kSyntax},
    FieldRow{"length and chunked",
             own_sealed + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" + chunks,
             ResponseFault::kSyntax},
    FieldRow{"two lengths", own_sealed + "Content-Length: 2\r\n" + own_end, ResponseFault::kSyntax},
    FieldRow{"the same length twice", own_sealed + "Content-Length: 3\r\n" + own_end,
             ResponseFault::kNone},
    FieldRow{"length with a sign", own_sealed + "Content-Length: +3\r\n\r\nabc",
             ResponseFault::kSyntax},
    FieldRow{"length over 64 bits", own_sealed + "Content-Length: 18446744073709551619\r\n\r\nabc",
             ResponseFault::kSyntax},
    // The connection's own fields are not passed on, so the caller would get a success without
    // seal.
    FieldRow{"seal named by Connection", own_sealed + "Connection: seal\r\n" + own_end,
             ResponseFault::kMissingMarker},
    FieldRow{"id named by Connection", own_sealed + "Connection: close, Request-Id\r\n" + own_end,
             ResponseFault::kMissingId},
    FieldRow{"other field named by Connection", own_sealed + "X: 1\r\nConnection: X\r\n" + own_end,
             ResponseFault::kNone},
};

const test::TableTest<FieldRow> promise_test("ResponsePromise", promise_rows, TestFields);

struct NoBodyRow {
  std::string_view name;
  std::string_view head;
  std::string_view body;
  bool reusable;
};

constexpr std::array kNoBodyRows{
    NoBodyRow{"no content", "HTTP/1.1 204 No Content\r\n", "", true},
    NoBodyRow{"no content, length 0", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", "", true},
    NoBodyRow{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n", "", true},
    NoBodyRow{"no content, with a body", "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n", "abc",
              false},
    NoBodyRow{"not modified, with a body", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n",
              "abc", false},
    // The body may arrive when the connection carries the next request.
    NoBodyRow{"no content, body awaited", "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n", "",
              false},
    NoBodyRow{"no content, chunks awaited",
              "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n", "", false},
};

// Guards against a body where there may be none (RFC 9112, 6.3) that is passed on, or taken for the
// response to the next request on the connection.
void TestNoBody(const NoBodyRow& row) {
  const std::string bytes =
      std::string(row.head) + "Request-Id: mine\r\nSeal: s\r\n\r\n" + std::string(row.body);
  const ScriptedServer server({bytes}, ScriptedServer::End::kKeepOpen);
  const test::CollectedResponse answer = test::FetchFrom(server);
  CPPUNIT_ASSERT(answer.complete);
  CPPUNIT_ASSERT_EQUAL(std::string(), answer.body);
  CPPUNIT_ASSERT_EQUAL(row.reusable, answer.reusable);
}

const test::TableTest<NoBodyRow> no_body_test("ResponseNoBody", kNoBodyRows, TestNoBody);

}  // namespace

}  // namespace damaskhollow
