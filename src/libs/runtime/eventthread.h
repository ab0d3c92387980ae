#ifndef DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_
#define DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_

#include <QObject>
#include <QThread>
#include <functional>
#include <string>

namespace damaskhollow {

// A thread with a Qt event loop. Tasks run on it one after the other, in the order in which they
// were posted.
class EventThread {
 public:
  explicit EventThread(const std::string& name);
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  // Runs `task` on the thread later. May be called from any thread.
  void Post(std::function<void()> task);

  // Runs `task` on the thread and waits for it. Must not be called from the thread itself.
  void RunAndWait(std::function<void()> task);

  // Ends the event loop after the tasks posted so far and waits for the thread.
  void Stop();

 private:
  QThread m_thread;
  QObject* m_context;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_RUNTIME_EVENTTHREAD_H_
