#include "support/responsegrammar.h"

#include <algorithm>
#include <string>

namespace damaskhollow::test {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

bool IsDigit(char byte) { return byte >= '0' && byte <= '9'; }

bool IsAlpha(char byte) { return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z'); }

// tchar (RFC 9110, 5.6.2).
bool IsTokenByte(char byte) {
  return IsDigit(byte) || IsAlpha(byte) ||
         std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
}

// HTAB, SP, VCHAR or obs-text: the bytes of field values and of the reason phrase.
bool IsTextByte(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  return code == '\t' || (code >= 0x20 && code != 0x7f);
}

bool IsText(std::string_view text) { return std::ranges::all_of(text, IsTextByte); }

// status-line = HTTP-version SP 3DIGIT SP [ reason-phrase ]
bool IsStatusLine(std::string_view line) {
  constexpr std::size_t kVersionBytes = 8;
  constexpr std::size_t kReasonStart = 13;
  const std::string_view version = line.substr(0, kVersionBytes);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  if (line.size() < kReasonStart || line[8] != ' ' || line[12] != ' ') return false;
  if (line[9] < '1' || line[9] > '5' || !IsDigit(line[10]) || !IsDigit(line[11])) return false;
  return IsText(line.substr(kReasonStart));
}

// field-line = field-name ":" OWS field-value OWS
bool IsFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) return false;
  return std::ranges::all_of(line.substr(0, colon), IsTokenByte) && IsText(line.substr(colon + 1));
}

}  // namespace

bool StartsWithValidHead(std::string_view bytes) {
  bool is_status_line = true;
  for (;;) {
    const std::size_t end = bytes.find(kLineEnd);
    if (end == std::string_view::npos) return false;
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + kLineEnd.size());
    if (line.empty()) return !is_status_line;
    if (is_status_line ? !IsStatusLine(line) : !IsFieldLine(line)) return false;
    is_status_line = false;
  }
}

}  // namespace damaskhollow::test
