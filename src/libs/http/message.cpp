#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace damaskhollow {

namespace {

constexpr std::array<std::string_view, 10> kConnectionFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",     "Expect"};

bool IsSameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

}  // namespace

std::string SerializeResponseHead(const HttpResponseHead& head, const ResponseFraming& framing) {
  namespace http = boost::beast::http;
  constexpr int kNoContent = 204;
  http::response_header<> message;
  message.version(11);
  message.result(static_cast<unsigned>(head.status));
  for (const HttpHeader& header : head.headers) message.insert(header.name, header.value);
  if (framing.chunked) message.set(http::field::transfer_encoding, "chunked");
  if (head.content_length && head.status != kNoContent) {
    message.set(http::field::content_length, std::to_string(*head.content_length));
  }
  message.set(http::field::connection, framing.keep_alive ? "keep-alive" : "close");
  std::ostringstream out;
  out << message;
  return out.str();
}

std::string_view FindHeader(std::span<const HttpHeader> headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (IsSameName(header.name, name)) return header.value;
  }
  return {};
}

bool HasHeader(std::span<const HttpHeader> headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const HttpHeader& header) { return IsSameName(header.name, name); });
}

bool IsFieldName(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](char byte) {
    const bool is_digit = byte >= '0' && byte <= '9';
    const bool is_letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return is_digit || is_letter || kMarks.find(byte) != std::string_view::npos;
  });
}

bool IsFieldValue(std::string_view text) {
  constexpr unsigned char kFirstPrintable = ' ';
  constexpr unsigned char kDelete = 0x7f;
  return std::ranges::all_of(text, [](char byte) {
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= kFirstPrintable && code != kDelete);
  });
}

bool IsHopByHopField(std::string_view name) {
  return std::ranges::any_of(kConnectionFields,
                             [&](std::string_view field) { return IsSameName(name, field); });
}

bool IsNamedByConnection(std::span<const HttpHeader> headers, std::string_view name) {
  const std::string_view connection = FindHeader(headers, "Connection");
  boost::beast::http::token_list named({connection.data(), connection.size()});
  return named.exists({name.data(), name.size()});
}

std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : headers) {
    const bool is_hop_by_hop =
        IsHopByHopField(header.name) || IsNamedByConnection(headers, header.name);
    if (!is_hop_by_hop) kept.push_back(header);
  }
  return kept;
}

bool HasNoBody(std::string_view method, int status) {
  return method == "HEAD" || status == 204 || status == 304 || (status >= 100 && status < 200);
}

}  // namespace damaskhollow
