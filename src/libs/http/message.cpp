#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace damaskhollow {

namespace {

constexpr std::array<std::string_view, 10> kConnectionFields{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",     "Expect"};

bool IsSameName(std::string_view left, std::string_view right) {
  return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

}  // namespace

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

std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers) {
  const std::string_view connection = FindHeader(headers, "Connection");
  boost::beast::http::token_list named({connection.data(), connection.size()});
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : headers) {
    const bool is_hop_by_hop =
        std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                    [&](std::string_view name) { return IsSameName(header.name, name); }) ||
        named.exists({header.name.data(), header.name.size()});
    if (!is_hop_by_hop) kept.push_back(header);
  }
  return kept;
}

bool HasNoBody(std::string_view method, int status) {
  return method == "HEAD" || status == 204 || status == 304 || (status >= 100 && status < 200);
}

}  // namespace damaskhollow
