#ifndef DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_
#define DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_

#include <QObject>
#include <QThread>
#include <functional>
#include <memory>
#include <string>

namespace damaskhollow {

// A thread with a Qt event loop. Runs tasks one at a time, in the order in which they were posted.
// An exception ends only the task that throws it; see RunGuarded.
class EventThread {
 public:
  // Starts the thread. `name` is the name of the thread.
  explicit EventThread(const std::string& name);
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  // Queues `task` to run on the thread and returns immediately. May be called from any thread.
  // Tasks posted after Stop() are dropped.
  void Post(std::function<void()> task);

  // Runs `task` on the thread and waits until it has finished. Rethrows its exception. Must not be
  // called from this thread, which would deadlock, or after Stop().
  void RunAndWait(std::function<void()> task);

  // Ends the event loop once the tasks posted so far have run, and waits for the thread to finish.
  void Stop();

 private:
  QThread m_thread;
  std::unique_ptr<QObject>
      m_context;  // Lives on the thread, so that tasks invoked on it run there.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_
