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

// A request with its complete body.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Status and header fields of a response. Without a content length its body is sent chunked.
struct HttpResponseHead {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::optional<std::size_t> content_length;
};

// Whether the response body is chunked and whether the connection persists after the response.
struct ResponseFraming {
  bool chunked = false;
  bool keep_alive = false;
};

// Serializes the status line and header fields of an HTTP/1.1 response, including the fields that
// `framing` requires.
std::string SerializeResponseHead(const HttpResponseHead& head, const ResponseFraming& framing);

// The value of the first field with this name, ignoring case; empty if there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers, std::string_view name);

bool HasHeader(std::span<const HttpHeader> headers, std::string_view name);

// Whether the text is a valid name or value of a field (RFC 9110, 5.1 and 5.5).
bool IsFieldName(std::string_view text);
bool IsFieldValue(std::string_view text);

// Whether a field with this name belongs to a connection or to the framing of a message, so that it
// is not forwarded.
bool IsHopByHopField(std::string_view name);

// Whether the Connection field names the field as one of the connection.
bool IsNamedByConnection(std::span<const HttpHeader> headers, std::string_view name);

// The fields that an intermediary may forward: without connection-specific fields (RFC 9110, 7.6.1)
// and without lengths, which the sender of a message sets itself.
std::vector<HttpHeader> EndToEndHeaders(std::span<const HttpHeader> headers);

// Whether a response to `method` with `status` has no body by definition.
bool HasNoBody(std::string_view method, int status);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_MESSAGE_H_
