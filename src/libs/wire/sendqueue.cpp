#include "wire/sendqueue.h"

#include <utility>

namespace damaskhollow {

void SendQueue::Push(bool is_control, Task send) {
  const std::lock_guard lock(m_lock);
  (is_control ? m_control : m_calls).push_back(std::move(send));
}

SendQueue::Task SendQueue::Pop() {
  const std::lock_guard lock(m_lock);
  std::deque<Task>& first = m_control.empty() ? m_calls : m_control;
  if (first.empty()) return {};
  Task next = std::move(first.front());
  first.pop_front();
  return next;
}

}  // namespace damaskhollow
