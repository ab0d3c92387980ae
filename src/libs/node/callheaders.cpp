#include "node/callheaders.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <string>
#include <utility>

namespace damaskhollow {

namespace {

// Fields by which a backend server could contradict the node.
constexpr std::array<std::string_view, 5> kNodeFields{
    kOutcomeHeader, kReasonHeader, kServedByHeader, kReplayedHeader, kDrainHeader};

bool IsNodeField(std::string_view name) {
  return std::any_of(kNodeFields.begin(), kNodeFields.end(), [&](std::string_view field) {
    return boost::beast::iequals({field.data(), field.size()}, {name.data(), name.size()});
  });
}

bool IsReplacedField(std::string_view name) {
  return boost::beast::iequals({name.data(), name.size()},
                               {kDeadlineHeader.data(), kDeadlineHeader.size()}) ||
         boost::beast::iequals({name.data(), name.size()},
                               {kDepthHeader.data(), kDepthHeader.size()});
}

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

CallDescription DescribeCall(const HttpRequest& request) {
  CallDescription call;
  call.method = request.method;
  call.target = request.target;
  call.host = FindHeader(request.headers, "Host");
  call.service = FindHeader(request.headers, kServiceHeader);
  call.priority = FindHeader(request.headers, kPriorityHeader);
  call.deadline = FindHeader(request.headers, kDeadlineHeader);
  call.depth = FindHeader(request.headers, kDepthHeader);
  call.request_id = FindHeader(request.headers, kRequestIdHeader);
  return call;
}

HttpRequest BackendRequestOf(wire::CallRequest& request, std::chrono::milliseconds remaining) {
  HttpRequest http;
  http.method = request.method();
  http.target = request.target();
  for (const wire::Header& header : request.headers()) {
    if (!IsReplacedField(header.name())) http.headers.push_back({header.name(), header.value()});
  }
  http.headers.push_back({std::string(kDeadlineHeader), std::to_string(remaining.count())});
  http.headers.push_back({std::string(kDepthHeader), std::to_string(request.depth() + 1)});
  http.body = std::move(*request.mutable_body());
  return http;
}

wire::ResponseHead ToWire(const HttpResponseHead& head) {
  wire::ResponseHead message;
  message.set_status(static_cast<std::uint32_t>(head.status));
  for (const HttpHeader& header : EndToEndHeaders(head.headers)) {
    if (IsNodeField(header.name)) continue;
    wire::Header& field = *message.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
  if (head.content_length) {
    wire::Header& field = *message.add_headers();
    field.set_name("Content-Length");
    field.set_value(std::to_string(*head.content_length));
  }
  return message;
}

HttpResponseHead AnsweredHead(const wire::ResponseHead& head, std::string_view server) {
  HttpResponseHead answer;
  answer.status = static_cast<int>(head.status());
  for (const wire::Header& header : head.headers()) {
    if (header.name() != "Content-Length") {
      answer.headers.push_back({header.name(), header.value()});
      continue;
    }
    std::size_t length = 0;
    const std::string& text = header.value();
    std::from_chars(text.data(), text.data() + text.size(), length);
    answer.content_length = length;
  }
  answer.headers.push_back(
      {std::string(kOutcomeHeader), std::string(OutcomeName(Outcome::kAnswered))});
  answer.headers.push_back({std::string(kServedByHeader), std::string(server)});
  if (head.replayed()) answer.headers.push_back({std::string(kReplayedHeader), "1"});
  return answer;
}

ReasonAnswer AnswerFor(Reason reason, Outcome outcome) {
  const ReasonInfo& info = InfoOf(reason);
  QJsonObject json;
  json.insert("outcome", ToQString(OutcomeName(outcome)));
  json.insert("reason", ToQString(info.name));
  json.insert("explanation", ToQString(info.explanation));
  ReasonAnswer answer;
  answer.body = QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString() + "\n";
  answer.head.status = info.http_status;
  answer.head.content_length = answer.body.size();
  answer.head.headers.push_back({"Content-Type", "application/json"});
  answer.head.headers.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(outcome))});
  answer.head.headers.push_back({std::string(kReasonHeader), std::string(info.name)});
  if (info.http_status == 503) answer.head.headers.push_back({"Retry-After", "1"});
  return answer;
}

}  // namespace damaskhollow
