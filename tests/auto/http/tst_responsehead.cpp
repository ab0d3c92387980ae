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

}  // namespace

}  // namespace damaskhollow
