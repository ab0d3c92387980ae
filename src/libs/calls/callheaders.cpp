#include "calls/callheaders.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

namespace damaskhollow {

namespace {

constexpr char kContentLength[] = "Content-Length";

bool IsSameName(std::string_view left, std::string_view right) {
  return !right.empty() &&
         boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

// Whether only nodes may set the field in responses. Such a field from a backend server could
// contradict the one that the node sets.
bool IsReservedField(std::string_view name, const CallConvention& convention) {
  for (const std::string* field : {&convention.outcome, &convention.reason, &convention.served_by,
                                   &convention.replayed, &convention.drain}) {
    if (IsSameName(name, *field)) return true;
  }
  return false;
}

// Whether the node sets the field in requests to backend servers itself.
bool IsReplacedField(std::string_view name, const CallConvention& convention) {
  return IsSameName(name, convention.deadline) || IsSameName(name, convention.depth) ||
         IsSameName(name, convention.expected_instance);
}

// Parses the value of a Content-Length field; empty if it is not a whole number that fits.
std::optional<std::size_t> ParseLength(std::string_view text) {
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return length;
}

// Returns the value of a header field; empty if the convention does not use the field.
std::string_view FieldOf(const HttpRequest& request, std::string_view name) {
  return name.empty() ? std::string_view() : FindHeader(request.headers, name);
}

// Adds a header field unless its name or value is empty.
void AddField(std::vector<HttpHeader>& headers, const std::string& name, std::string_view value) {
  if (!name.empty() && !value.empty()) headers.push_back({name, std::string(value)});
}

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// Formats a time as decimal seconds, without trailing zeros.
std::string ToSeconds(std::chrono::milliseconds time) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const std::int64_t whole = time.count() / kMillisecondsPerSecond;
  const std::int64_t remainder = time.count() % kMillisecondsPerSecond;
  if (remainder == 0) return std::to_string(whole);
  std::string fraction = std::to_string(kMillisecondsPerSecond + remainder).substr(1);
  fraction.erase(fraction.find_last_not_of('0') + 1);
  return std::to_string(whole) + "." + fraction;
}

// Returns the status for callers that conclude from it whether a call has run. Calls that were not
// run get 503 in place of any 5xx status or 422. Calls that may have run get 502 in place of a
// status that such callers take as "not run", which is 503 or any status below 500.
int StatusForOutcome(int status, Outcome outcome) {
  constexpr int kUnavailable = 503;
  constexpr int kBadGateway = 502;
  constexpr int kFirstServerError = 500;
  constexpr int kUnprocessable = 422;
  const bool is_failure_status = status >= kFirstServerError || status == kUnprocessable;
  if (outcome == Outcome::kNotRun) return is_failure_status ? kUnavailable : status;
  const bool means_not_run = status == kUnavailable || status < kFirstServerError;
  return means_not_run ? kBadGateway : status;
}

}  // namespace

CallDescription DescribeCall(const HttpRequest& request, const CallConvention& convention) {
  CallDescription call;
  call.method = request.method;
  call.target = request.target;
  call.host = FindHeader(request.headers, "Host");
  call.service = FieldOf(request, convention.service);
  call.priority = FieldOf(request, convention.priority);
  call.deadline = FieldOf(request, convention.deadline);
  call.depth = FieldOf(request, convention.depth);
  call.request_id = FieldOf(request, convention.request_id);
  return call;
}

void ReplaceOriginHeaders(HttpRequest& request, const CallConvention& convention,
                          const ServiceId& origin) {
  std::erase_if(request.headers, [&](const HttpHeader& header) {
    return IsSameName(header.name, convention.caller_service) ||
           IsSameName(header.name, convention.expected_instance);
  });
  AddField(request.headers, convention.caller_service, origin.Value());
}

HttpRequest MakeBackendRequest(wire::CallRequest& request, std::chrono::milliseconds remaining,
                               const CallConvention& convention, std::string_view instance) {
  HttpRequest http;
  http.method = request.method();
  http.target = request.target();
  for (const wire::Header& header : request.headers()) {
    if (IsReplacedField(header.name(), convention)) continue;
    http.headers.push_back({header.name(), header.value()});
  }
  AddField(http.headers, convention.deadline, std::to_string(remaining.count()));
  AddField(http.headers, convention.depth, std::to_string(request.depth() + 1));
  AddField(http.headers, convention.expected_instance, instance);
  http.body = std::move(*request.mutable_body());
  return http;
}

wire::ResponseHead ToWire(const HttpResponseHead& head, const CallConvention& convention) {
  wire::ResponseHead message;
  message.set_status(static_cast<std::uint32_t>(head.status));
  for (const HttpHeader& header : EndToEndHeaders(head.headers)) {
    if (IsReservedField(header.name, convention)) continue;
    wire::Header& field = *message.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
  if (head.content_length) {
    wire::Header& field = *message.add_headers();
    field.set_name(kContentLength);
    field.set_value(std::to_string(*head.content_length));
  }
  return message;
}

ResponseFault FindFault(const wire::ResponseHead& head) {
  // Compared unsigned: the value may exceed the range of int.
  constexpr std::uint32_t kMaxStatus = 999;
  const bool is_final = head.status() <= kMaxStatus && IsFinal(static_cast<int>(head.status()));
  if (!is_final) return ResponseFault::kStatus;
  bool has_length = false;
  for (const wire::Header& header : head.headers()) {
    if (!IsFieldName(header.name()) || !IsFieldValue(header.value())) {
      return ResponseFault::kSyntax;
    }
    if (!IsHopByHopField(header.name())) continue;
    // Of these fields, owners send only the length.
    const bool is_length = IsSameName(header.name(), kContentLength);
    if (!is_length || has_length || !ParseLength(header.value())) return ResponseFault::kSyntax;
    has_length = true;
  }
  return ResponseFault::kNone;
}

HttpResponseHead MakeResponseHead(const wire::ResponseHead& head, const CallConvention& convention,
                                  std::string_view server) {
  HttpResponseHead answer;
  answer.status = static_cast<int>(head.status());
  for (const wire::Header& header : head.headers()) {
    if (IsSameName(header.name(), kContentLength)) {
      answer.content_length = ParseLength(header.value());
    } else {
      answer.headers.push_back({header.name(), header.value()});
    }
  }
  AddField(answer.headers, convention.outcome, OutcomeName(Outcome::kAnswered));
  AddField(answer.headers, convention.served_by, server);
  if (head.replayed()) AddField(answer.headers, convention.replayed, "1");
  return answer;
}

GeneratedResponse GenerateResponse(Reason reason, Outcome outcome, const CallConvention& convention,
                                   std::chrono::milliseconds retry_after) {
  constexpr int kUnavailable = 503;
  const ReasonInfo& info = InfoOf(reason);
  QJsonObject json;
  json.insert("outcome", ToQString(OutcomeName(outcome)));
  json.insert("reason", ToQString(info.name));
  json.insert("explanation", ToQString(info.explanation));
  GeneratedResponse answer;
  answer.body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString() + "\n";
  answer.head.status = convention.status_guarantees_not_run
                           ? StatusForOutcome(info.http_status, outcome)
                           : info.http_status;
  answer.head.content_length = answer.body.size();
  answer.head.headers.push_back({"Content-Type", "application/json"});
  AddField(answer.head.headers, convention.outcome, OutcomeName(outcome));
  AddField(answer.head.headers, convention.reason, info.name);
  if (answer.head.status == kUnavailable) {
    answer.head.headers.push_back({"Retry-After", ToSeconds(retry_after)});
  }
  return answer;
}

}  // namespace damaskhollow
