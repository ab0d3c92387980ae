#include "owner/responsemarks.h"

#include <string_view>

#include "calls/callheaders.h"

namespace damaskhollow {

namespace {

bool IsMarkedNotRun(const HttpResponseHead& head, const CallConvention& convention,
                    std::optional<int> shed_status) {
  if (!convention.not_run.empty()) return HasHeader(head.headers, convention.not_run);
  return shed_status == head.status;
}

std::optional<ServerLoad> ReadLoad(const HttpResponseHead& head, const CallConvention& convention) {
  if (convention.decode_load == nullptr) return std::nullopt;
  const std::string_view text = FindHeader(head.headers, convention.load);
  return text.empty() ? std::nullopt : convention.decode_load(text);
}

std::optional<bool> ReadDrain(const HttpResponseHead& head, const CallConvention& convention) {
  if (convention.drain.empty()) return std::nullopt;
  const std::string_view value = FindHeader(head.headers, convention.drain);
  return value.empty() ? std::nullopt : std::optional(value == "1");
}

}  // namespace

ResponseMarks ReadMarks(const HttpResponseHead& head, const CallConvention& convention,
                        std::optional<int> shed_status) {
  ResponseMarks marks;
  marks.not_run = IsMarkedNotRun(head, convention, shed_status);
  marks.load = ReadLoad(head, convention);
  marks.is_leaving = ReadDrain(head, convention);
  const bool is_wrong_server = head.status == kMisdirectedStatus;
  const bool has_free_slot =
      marks.load && marks.load->running + marks.load->waiting < marks.load->slots;
  marks.server_was_full = marks.not_run && !is_wrong_server && !has_free_slot;
  return marks;
}

}  // namespace damaskhollow
