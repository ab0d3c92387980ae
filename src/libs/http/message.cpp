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

bool IsNamedByConnection(std::span<const HttpHeader> headers, std::string_view name) {
  const std::string_view connection = FindHeader(headers, "Connection");
  boost::beast::http::token_list named({connection.data(), connection.size()});
  return named.exists({name.data(), name.size()});
}

std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers) {
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : headers) {
    const bool is_hop_by_hop =
        std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                    [&](std::string_view name) { return IsSameName(header.name, name); }) ||
        IsNamedByConnection(headers, header.name);
    if (!is_hop_by_hop) kept.push_back(header);
  }
  return kept;
}

bool HasNoBody(std::string_view method, int status) {
  return method == "HEAD" || status == 204 || status == 304 || (status >= 100 && status < 200);
}

}  // namespace damaskhollow
