#ifndef DAMASKHOLLOW_HTTP_RESPONSECHECK_H_
#define DAMASKHOLLOW_HTTP_RESPONSECHECK_H_

#include <string>
#include <string_view>

#include "http/message.h"

namespace damaskhollow {

// Status of a server that is not the one the request is meant for.
inline constexpr int kMisdirectedStatus = 421;

// Header fields that tie a response to its request. Fields with an empty name are not checked.
struct ResponseCheck {
  std::string id_field;              // Field in which the response repeats the request's id.
  std::string id;                    // Id of the request; empty if it has none.
  std::string success_marker_field;  // Field present in every success response.
  std::string not_run_field;         // Field of a response that says the request was not run.
  // Callers take the statuses 408, 429 and 503 to say that the request was not run, so a response
  // may have them only together with `not_run_field`.
  bool status_means_not_run = false;
};

// The rule that a malformed response breaks.
enum class ResponseFault {
  kNone,
  kSyntax,
  kTooLong,
  kStatus,
  kLineFolding,
  kSecondHead,
  kProtocolSwitch,
  kTransferCoding,
  kMissingId,
  kMissingMarker,
  kContentEncoding,
  kNotRunMark,
  kCount,
};

// Returns the name of a fault in log lines.
std::string_view FaultName(ResponseFault fault);

// Finds a line that begins with a blank or tab (obs-fold; RFC 9112, 5.2) in a head or trailer that
// is read in pieces. The parser joins such a line to the value of the line before, which hides a
// field or changes one.
class LineFoldingDetector {
 public:
  // Adds the next piece. Returns whether a folded line has begun in it.
  bool Add(std::string_view piece);

 private:
  bool m_is_line_start = false;
};

bool IsInterim(int status);

// Whether the status is one of a final response.
bool IsFinal(int status);

// What the status line of a response says apart from the status. `version` is 10 or 11.
struct StatusLineRest {
  unsigned version;
  std::string_view reason_phrase;
};

// Returns the rule that the head of an interim or final response breaks, whichever request it
// belongs to.
ResponseFault FindHeadFault(const HttpResponseHead& head, const StatusLineRest& status_line,
                            const ResponseCheck& check);

// Whether a response has the id of another request than that of `check`.
bool BelongsToOtherRequest(const HttpResponseHead& head, const ResponseCheck& check);

// Returns the rule that the fields which tie a final response to its request break: a success has
// the request's id and the success marker; a response that says the request was not run has the id
// and the status of a refusal.
ResponseFault FindMarkFault(const HttpResponseHead& head, const ResponseCheck& check);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_RESPONSECHECK_H_
