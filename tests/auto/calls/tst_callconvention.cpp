#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

#include "calls/callheaders.h"
#include "platform/wire.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{250};

// The expected status for callers that conclude from it whether a call has run.
struct StatusRow {
  std::string_view name;
  Reason reason;
  Outcome outcome;
  int status;
};

const std::array status_rows{
    StatusRow{"queue full, not run", Reason::kQueueFullTime, Outcome::kNotRun, 503},
    StatusRow{"expired in the queue, not run", Reason::kQueueExpired, Outcome::kNotRun, 503},
    StatusRow{"deadline before a send, not run", Reason::kDeadlineExceeded, Outcome::kNotRun, 503},
    StatusRow{"no connection, not run", Reason::kBackendUnreachable, Outcome::kNotRun, 503},
    StatusRow{"crashing request, not run", Reason::kCrashingRequest, Outcome::kNotRun, 503},
    StatusRow{"no configuration", Reason::kNoConfiguration, Outcome::kNotRun, 503},
    StatusRow{"no route", Reason::kNoRule, Outcome::kNotRun, 404},
    StatusRow{"slow caller", Reason::kRequestTimeout, Outcome::kNotRun, 408},
    StatusRow{"server broke off", Reason::kBackendClosed, Outcome::kUnknown, 502},
    StatusRow{"server timed out", Reason::kBackendTimeout, Outcome::kUnknown, 504},
    StatusRow{"not run by one send, unknown for the call", Reason::kQueueFullTime,
              Outcome::kUnknown, 502},
    StatusRow{"slow caller, unknown", Reason::kRequestTimeout, Outcome::kUnknown, 502},
};

void TestStatus(const StatusRow& row) {
  const GeneratedResponse answer = GenerateResponse(
      row.reason, row.outcome, platform::MakePlatformCallConvention(), kRetryAfter);
  CPPUNIT_ASSERT_EQUAL(row.status, answer.head.status);
  const bool may_retry = row.status == 503;
  CPPUNIT_ASSERT_EQUAL(std::string(may_retry ? "0.25" : ""),
                       std::string(FindHeader(answer.head.headers, "Retry-After")));
}

const test::TableTest<StatusRow> status_test("PromisedStatus", status_rows, TestStatus);

}  // namespace

class CallConventionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallConventionTest);
  CPPUNIT_TEST(PassesTheRequestOnUnchanged);
  CPPUNIT_TEST(CallerCannotNameItsOrigin);
  CPPUNIT_TEST(OwnConventionKeepsItsFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PassesTheRequestOnUnchanged() {
    wire::CallRequest call;
    call.set_method("POST");
    call.set_target("/a/b?c=d");
    call.set_body("bytes");
    AddHeader(call, "Host", "portal.example");
    AddHeader(call, "Request-Id", "9c41d07be2a35f68");
    AddHeader(call, "Deadline-Ms", "4000");
    AddHeader(call, "X-Other", "kept");
    const HttpRequest request =
        MakeBackendRequest(call, std::chrono::milliseconds(1500),
                           platform::MakePlatformCallConvention(), "i-7f3a91c2");
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c=d"), request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("bytes"), request.body);
    CPPUNIT_ASSERT_EQUAL(std::string("portal.example"), Field(request, "Host"));
    CPPUNIT_ASSERT_EQUAL(std::string("9c41d07be2a35f68"), Field(request, "Request-Id"));
    CPPUNIT_ASSERT_EQUAL(std::string("1500"), Field(request, "Deadline-Ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), Field(request, "X-Other"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), Field(request, "Expect-Instance"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, request.headers.size());
  }

  // Guards against a caller that claims to be another service, or that selects an instance.
  void CallerCannotNameItsOrigin() {
    HttpRequest request;
    request.headers = {{"caller-service", "forged"}, {"Expect-Instance", "i-1"}, {"Host", "h"}};
    ReplaceOriginHeaders(request, platform::MakePlatformCallConvention(), ServiceId("warehouse"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, request.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("warehouse"), Field(request, "Caller-Service"));
  }

  void OwnConventionKeepsItsFields() {
    const GeneratedResponse answer =
        GenerateResponse(Reason::kQueueExpired, Outcome::kNotRun, CallConvention(), kRetryAfter);
    CPPUNIT_ASSERT_EQUAL(504, answer.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         std::string(FindHeader(answer.head.headers, "Damaskhollow-Outcome")));
  }

 private:
  static void AddHeader(wire::CallRequest& call, const char* name, const char* value) {
    wire::Header& header = *call.add_headers();
    header.set_name(name);
    header.set_value(value);
  }

  static std::string Field(const HttpRequest& request, std::string_view name) {
    return std::string(FindHeader(request.headers, name));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallConventionTest);

}  // namespace damaskhollow
