#include "policy/requesthome.h"

#include <algorithm>
#include <charconv>

#include "base/randomsource.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxTokenLength = 64;
// Latest accepted creation time, in the year 5138; prevents overflow in sums of times.
constexpr std::int64_t kMaxUnixMs = 99999999999999LL;

bool IsTokenCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' || character == '_' ||
         character == '-';
}

}  // namespace

std::optional<WallTime> CreationTime(std::string_view request_id) {
  const std::size_t separator = request_id.find('-');
  if (separator == std::string_view::npos || separator == 0) return std::nullopt;
  const std::string_view time = request_id.substr(0, separator);
  const std::string_view token = request_id.substr(separator + 1);
  if (token.empty() || token.size() > kMaxTokenLength) return std::nullopt;
  if (!std::all_of(token.begin(), token.end(), IsTokenCharacter)) return std::nullopt;
  std::int64_t milliseconds = 0;
  const auto [end, error] = std::from_chars(time.data(), time.data() + time.size(), milliseconds);
  if (error != std::errc() || end != time.data() + time.size()) return std::nullopt;
  if (milliseconds > kMaxUnixMs) return std::nullopt;
  return WallTime(std::chrono::milliseconds(milliseconds));
}

bool IsBefore(const BackendServerId& first, const BackendServerId& second,
              std::string_view request_id) {
  const std::uint64_t first_hash = StableHash(request_id, first.Value());
  const std::uint64_t second_hash = StableHash(request_id, second.Value());
  return first_hash != second_hash ? first_hash > second_hash : first < second;
}

std::vector<BackendServerId> HomeOrder(std::span<const BackendServerId> servers,
                                       std::string_view request_id) {
  std::vector<BackendServerId> order(servers.begin(), servers.end());
  std::sort(order.begin(), order.end(),
            [&](const BackendServerId& first, const BackendServerId& second) {
              return IsBefore(first, second, request_id);
            });
  return order;
}

RoutingChoice ChooseHome(const Declaration& declaration, const ServiceId& service,
                         std::string_view request_id, std::span<const BackendServerId> tried,
                         const AbsentSince& absent_since) {
  std::vector<BackendServerId> candidates;
  for (const BackendServer* server : declaration.ServersOf(service)) {
    const bool was_tried = std::find(tried.begin(), tried.end(), server->id) != tried.end();
    const bool is_absent = absent_since && absent_since(server->id).has_value();
    const bool is_evacuated = declaration.IsEvacuated(server->data_centre);
    if (!was_tried && !is_absent && !is_evacuated) candidates.push_back(server->id);
  }
  if (candidates.empty()) return RoutingChoice{Reason::kHomeUnreachable, {}};
  return RoutingChoice{Reason::kNone, HomeOrder(candidates, request_id).front()};
}

}  // namespace damaskhollow
