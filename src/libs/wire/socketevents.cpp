#include "wire/socketevents.h"

#include <utility>

namespace damaskhollow {

std::string_view SocketEventName(SocketEvent event) {
  static constexpr std::array<std::string_view, static_cast<std::size_t>(SocketEvent::kCount)>
      kNames{"interrupted",  "queue_full",       "peer_gone", "reply_dropped",
             "no_resources", "invalid_argument", "failed"};
  return kNames[static_cast<std::size_t>(event)];
}

void SocketEvents::Count(SocketEvent event, int error) {
  Sum& sum = m_sums[static_cast<std::size_t>(event)];
  ++sum.count;
  sum.last_error = error;
}

void SocketEvents::TakeAll(const std::function<void(const Entry&)>& take) {
  for (std::size_t index = 0; index < m_sums.size(); ++index) {
    const Sum sum = std::exchange(m_sums[index], Sum{});
    if (sum.count > 0) take(Entry{static_cast<SocketEvent>(index), sum.count, sum.last_error});
  }
}

}  // namespace damaskhollow
