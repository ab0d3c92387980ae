#ifndef DAMASKHOLLOW_HTTP_MESSAGE_H_
#define DAMASKHOLLOW_HTTP_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace damaskhollow {

// One header field, as received.
struct HttpHeader {
  std::string name;
  std::string value;
};

// A request. Its body is complete.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

// The start of an answer. Without a content length its body is sent in chunks.
struct HttpResponseHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::optional<std::size_t> content_length;
};

// How the body of an answer is delimited and what becomes of the connection.
struct ResponseFraming {
  bool chunked = false;
  bool keep_alive = false;
};

// The status line and header fields of an HTTP/1.1 answer, with the fields that the framing calls
// for.
std::string SerializeResponseHead(const HttpResponseHead& head, const ResponseFraming& framing);

// The value of the first field with this name, compared without case; empty when there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers, std::string_view name);

bool HasHeader(std::span<const HttpHeader> headers, std::string_view name);

// The fields that may be passed on: without those of the connection (RFC 9110, 7.6.1) and without
// lengths, which the sender of a message sets itself.
std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers);

// Whether an answer to `method` with `status` has no body by definition.
bool HasNoBody(std::string_view method, int status);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_MESSAGE_H_
