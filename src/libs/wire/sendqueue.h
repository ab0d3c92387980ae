#ifndef DAMASKHOLLOW_WIRE_SENDQUEUE_H_
#define DAMASKHOLLOW_WIRE_SENDQUEUE_H_

#include <deque>
#include <functional>
#include <mutex>

namespace damaskhollow {

// The messages that wait for the transport's thread. Control messages are sent before the messages
// of calls, each kind in the order in which it was added. When calls come faster than the thread
// can send them, a query for a new configuration and its answer would otherwise wait behind seconds
// of them and time out. Control messages are few, so calls are hardly delayed by them. May be used
// from any thread.
class SendQueue {
 public:
  using Task = std::function<void()>;

  void Push(bool is_control, Task send);

  // Removes and returns the next task; empty if none waits.
  Task Pop();

 private:
  std::mutex m_lock;
  std::deque<Task> m_control;
  std::deque<Task> m_calls;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_WIRE_SENDQUEUE_H_
