#include "policy/callclassifier.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "policy/requesthome.h"

namespace damaskhollow {

namespace {

std::optional<std::uint64_t> ParseUnsigned(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

const Service* FindCalledService(const Declaration& declaration, const CallDescription& call) {
  if (!call.service.empty()) return declaration.FindService(ServiceId(std::string(call.service)));
  return declaration.FindServiceByHost(call.host);
}

// Returns the path of a request target without its query.
std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Returns the requested priority if it is less urgent than the declared one, otherwise the declared
// one.
const Priority* EffectivePriority(const Declaration& declaration, const Rule& rule,
                                  std::string_view requested_id) {
  const Priority* declared = declaration.FindPriority(rule.priority);
  const Priority* requested = requested_id.empty()
                                  ? nullptr
                                  : declaration.FindPriority(PriorityId(std::string(requested_id)));
  const bool is_lower =
      requested != nullptr && declared != nullptr && requested->rank > declared->rank;
  return is_lower ? requested : declared;
}

Classification Refuse(Reason reason) { return Classification{reason, {}}; }

// Reads the remaining time and the depth from the headers of a call. Returns kNone, or the reason
// why the call is refused.
Reason ReadLimits(const CallDescription& call, CallClass& call_class) {
  if (!call.deadline.empty()) {
    const std::optional<std::uint64_t> milliseconds = ParseUnsigned(call.deadline);
    constexpr std::uint64_t kDayMs = 86400000;
    if (!milliseconds || *milliseconds == 0) return Reason::kDeadlineInvalid;
    call_class.deadline = std::min<Duration>(
        call_class.deadline, std::chrono::milliseconds(std::min(*milliseconds, kDayMs)));
  }
  if (!call.depth.empty()) {
    const std::optional<std::uint64_t> depth = ParseUnsigned(call.depth);
    if (!depth || *depth > kMaxDepth) return Reason::kDepthExceeded;
    call_class.depth = static_cast<std::uint32_t>(*depth);
  }
  return Reason::kNone;
}

void SetPriority(const Declaration& declaration, const Priority& priority, CallClass& call_class) {
  call_class.priority = priority.id;
  call_class.priority_index = static_cast<std::size_t>(&priority - declaration.priorities.data());
  call_class.may_cross_regions = priority.may_cross_regions;
  call_class.target = priority.target;
}

Classification ClassifyByRoute(const Declaration& declaration, const CallDescription& call) {
  const Route* route = declaration.FindRoute(call.host, PathOf(call.target));
  if (route == nullptr) return Refuse(Reason::kNoRule);
  if (route->unreadable) return Refuse(Reason::kRouteUnreadable);
  Classification classification;
  CallClass& call_class = classification.call_class;
  classification.route = route;
  call_class.route = route->id;
  SetPriority(declaration, *declaration.FindPriority(route->priority), call_class);
  call_class.idempotent = route->idempotent;
  call_class.attempts = route->attempts;
  call_class.allowed_regions = route->allowed_regions;
  call_class.deadline = route->timeout;
  classification.refusal = ReadLimits(call, call_class);
  return classification;
}

}  // namespace

Classification ClassifyCall(const Declaration& declaration, const CallDescription& call) {
  if (!declaration.routes.empty()) return ClassifyByRoute(declaration, call);
  const Service* service = FindCalledService(declaration, call);
  if (service == nullptr) return Refuse(Reason::kUnknownService);
  const Rule* rule = Declaration::FindRule(*service, call.method, PathOf(call.target));
  if (rule == nullptr) return Refuse(Reason::kNoRule);
  const Priority* priority = EffectivePriority(declaration, *rule, call.priority);
  if (priority == nullptr) return Refuse(Reason::kNoRule);

  Classification classification;
  CallClass& call_class = classification.call_class;
  call_class.service = service->id;
  SetPriority(declaration, *priority, call_class);
  call_class.idempotent = rule->idempotent;
  if (!call.request_id.empty() && !CreationTime(call.request_id)) {
    return Refuse(Reason::kRequestIdInvalid);
  }
  call_class.request_id = std::string(call.request_id);
  call_class.deadline = rule->deadline.value_or(service->default_deadline);
  classification.refusal = ReadLimits(call, call_class);
  return classification;
}

std::size_t MaxBodyBytes(const Declaration& declaration, const CallDescription& call,
                         std::size_t fallback) {
  if (declaration.caller_bounds.body_bytes > 0) return declaration.caller_bounds.body_bytes;
  const Service* service = FindCalledService(declaration, call);
  return service == nullptr ? fallback : service->max_body_bytes;
}

}  // namespace damaskhollow
