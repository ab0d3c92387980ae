#include "http/responsecheck.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cstddef>

namespace damaskhollow {

namespace {

// RFC 9110, 15: other statuses are invalid.
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kLastStatus = 599;
constexpr int kServiceUnavailable = 503;
constexpr std::array kNotRunStatuses{408, 429, kServiceUnavailable};

// In the order of the enumeration.
constexpr std::array<std::string_view, static_cast<std::size_t>(ResponseFault::kCount)> kNames{
    "none",         "syntax",         "too_long",         "status",
    "line_folding", "second_head",    "protocol_switch",  "transfer_coding",
    "missing_id",   "missing_marker", "content_encoding", "not_run_mark"};

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

// Whether a status line begins in the text.
bool HasStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  for (std::size_t start = text.find(kVersion); start != std::string_view::npos;
       start = text.find(kVersion, start + 1)) {
    const std::string_view rest = text.substr(start + kVersion.size());
    if (rest.size() >= 3 && IsDigit(rest[0]) && rest[1] == ' ' && IsDigit(rest[2])) return true;
  }
  return false;
}

// Whether the server broke off one head and went on with another, or wrote one into the other.
bool HoldsTwoHeads(const HttpResponseHead& head, std::string_view reason_phrase,
                   const ResponseCheck& check) {
  if (HasStatusLine(reason_phrase)) return true;
  std::size_t ids = 0;
  for (const HttpHeader& header : head.headers) {
    if (HasStatusLine(header.value)) return true;
    const bool is_id =
        !check.id_field.empty() && boost::beast::iequals(header.name, check.id_field);
    if (is_id) ++ids;
  }
  return ids > 1;
}

// Whether the body has no transfer coding but chunked. Any other would reach the caller undecoded,
// as the field itself is not passed on. HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
bool HasKnownCoding(const HttpResponseHead& head, unsigned version) {
  constexpr unsigned kHttp11 = 11;
  return std::ranges::all_of(head.headers, [&](const HttpHeader& header) {
    if (!boost::beast::iequals(header.name, "Transfer-Encoding")) return true;
    return version >= kHttp11 && boost::beast::iequals(header.value, "chunked");
  });
}

bool IsSuccess(int status) { return status >= kFirstSuccess && status < kFirstRedirect; }

// Whether a server may answer a request that it did not run with this status.
bool IsRefusal(int status) {
  return (status >= kFirstClientError && status < kFirstServerError) ||
         status == kServiceUnavailable;
}

// Whether the caller gets the field: those that Connection names are not passed on.
bool HasForwardedHeader(const HttpResponseHead& head, std::string_view name) {
  return HasHeader(head.headers, name) && !IsNamedByConnection(head.headers, name);
}

bool LacksId(const HttpResponseHead& head, const ResponseCheck& check) {
  return !check.id_field.empty() && !check.id.empty() && !HasForwardedHeader(head, check.id_field);
}

bool IsMarkedNotRun(const HttpResponseHead& head, const ResponseCheck& check) {
  return !check.not_run_field.empty() && HasHeader(head.headers, check.not_run_field);
}

ResponseFault FindSuccessFault(const HttpResponseHead& head, const ResponseCheck& check) {
  if (IsMarkedNotRun(head, check)) return ResponseFault::kNotRunMark;
  if (LacksId(head, check)) return ResponseFault::kMissingId;
  if (check.success_marker_field.empty()) return ResponseFault::kNone;
  if (!HasForwardedHeader(head, check.success_marker_field)) return ResponseFault::kMissingMarker;
  // Callers request no content encoding, so the success marker does not vouch for an encoded body.
  if (HasHeader(head.headers, "Content-Encoding")) return ResponseFault::kContentEncoding;
  return ResponseFault::kNone;
}

}  // namespace

std::string_view FaultName(ResponseFault fault) {
  return kNames.at(static_cast<std::size_t>(fault));
}

bool LineFoldingDetector::Add(std::string_view piece) {
  bool is_folded = false;
  for (const char byte : piece) {
    is_folded = is_folded || (m_is_line_start && (byte == ' ' || byte == '\t'));
    m_is_line_start = byte == '\n';
  }
  return is_folded;
}

bool IsInterim(int status) { return status >= kFirstStatus && status < kFirstSuccess; }

bool IsFinal(int status) { return status >= kFirstSuccess && status <= kLastStatus; }

ResponseFault FindHeadFault(const HttpResponseHead& head, const StatusLineRest& status_line,
                            const ResponseCheck& check) {
  if (!IsInterim(head.status) && !IsFinal(head.status)) return ResponseFault::kStatus;
  if (HoldsTwoHeads(head, status_line.reason_phrase, check)) return ResponseFault::kSecondHead;
  // Requests never ask for another protocol: Upgrade is not passed on.
  if (head.status == kSwitchingProtocols) return ResponseFault::kProtocolSwitch;
  if (!HasKnownCoding(head, status_line.version)) return ResponseFault::kTransferCoding;
  return ResponseFault::kNone;
}

bool BelongsToOtherRequest(const HttpResponseHead& head, const ResponseCheck& check) {
  if (check.id_field.empty() || check.id.empty()) return false;
  const std::string_view id = FindHeader(head.headers, check.id_field);
  return !id.empty() && id != check.id;
}

ResponseFault FindMarkFault(const HttpResponseHead& head, const ResponseCheck& check) {
  if (IsSuccess(head.status)) return FindSuccessFault(head, check);
  const bool is_marked = IsMarkedNotRun(head, check);
  const bool is_promise = std::ranges::find(kNotRunStatuses, head.status) != kNotRunStatuses.end();
  if (check.status_means_not_run && is_promise && !is_marked) return ResponseFault::kNotRunMark;
  const bool means_not_run =
      is_marked || (check.status_means_not_run && head.status == kMisdirectedStatus);
  if (!means_not_run) return ResponseFault::kNone;
  // Without an id, it may be a late copy of the response to an earlier request.
  if (LacksId(head, check)) return ResponseFault::kMissingId;
  return IsRefusal(head.status) ? ResponseFault::kNone : ResponseFault::kNotRunMark;
}

}  // namespace damaskhollow
