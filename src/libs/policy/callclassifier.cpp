#include "policy/callclassifier.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "policy/requesthome.h"

namespace damaskhollow {

namespace {

std::optional<std::uint64_t> ParseWhole(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

const Service* FindCalledService(const Declaration& declaration, const CallDescription& call) {
  if (!call.service.empty()) return declaration.FindService(ServiceId(std::string(call.service)));
  return declaration.FindServiceByHost(call.host);
}

// The path of a request target, without its query.
std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

const Priority* EffectivePriority(const Declaration& declaration, const Rule& rule,
                                  std::string_view wanted) {
  const Priority* declared = declaration.FindPriority(rule.priority);
  const Priority* asked =
      wanted.empty() ? nullptr : declaration.FindPriority(PriorityId(std::string(wanted)));
  const bool is_lower = asked != nullptr && declared != nullptr && asked->rank > declared->rank;
  return is_lower ? asked : declared;
}

Classification Refuse(Reason reason) { return Classification{reason, {}}; }

}  // namespace

Classification ClassifyCall(const Declaration& declaration, const CallDescription& call) {
  const Service* service = FindCalledService(declaration, call);
  if (service == nullptr) return Refuse(Reason::kUnknownService);
  const Rule* rule = Declaration::FindRule(*service, call.method, PathOf(call.target));
  if (rule == nullptr) return Refuse(Reason::kNoRule);
  const Priority* priority = EffectivePriority(declaration, *rule, call.priority);
  if (priority == nullptr) return Refuse(Reason::kNoRule);

  Classification classification;
  CallClass& call_class = classification.call_class;
  call_class.service = service->id;
  call_class.priority = priority->id;
  call_class.priority_index = static_cast<std::size_t>(priority - declaration.priorities.data());
  call_class.idempotent = rule->idempotent;
  call_class.may_cross_regions = priority->may_cross_regions;
  if (!call.request_id.empty() && !CreationTime(call.request_id)) {
    return Refuse(Reason::kRequestIdInvalid);
  }
  call_class.request_id = std::string(call.request_id);
  call_class.deadline = rule->deadline.value_or(service->default_deadline);
  if (!call.deadline.empty()) {
    const std::optional<std::uint64_t> milliseconds = ParseWhole(call.deadline);
    constexpr std::uint64_t kDayMs = 86400000;
    if (!milliseconds || *milliseconds == 0) return Refuse(Reason::kDeadlineInvalid);
    call_class.deadline = std::min<Duration>(
        call_class.deadline, std::chrono::milliseconds(std::min(*milliseconds, kDayMs)));
  }
  if (!call.depth.empty()) {
    const std::optional<std::uint64_t> depth = ParseWhole(call.depth);
    if (!depth || *depth > kMaxDepth) return Refuse(Reason::kDepthExceeded);
    call_class.depth = static_cast<std::uint32_t>(*depth);
  }
  return classification;
}

std::size_t MaxBodyBytes(const Declaration& declaration, const CallDescription& call,
                         std::size_t fallback) {
  const Service* service = FindCalledService(declaration, call);
  return service == nullptr ? fallback : service->max_body_bytes;
}

}  // namespace damaskhollow
