#include "runtime/eventthread.h"

#include <QMetaObject>
#include <exception>
#include <utility>

#include "runtime/errorboundary.h"

namespace damaskhollow {

EventThread::EventThread(const std::string& name) : m_context(std::make_unique<QObject>()) {
  m_thread.setObjectName(QString::fromStdString(name));
  m_context->moveToThread(&m_thread);
  m_thread.start();
}

EventThread::~EventThread() { Stop(); }

void EventThread::Post(std::function<void()> task) {
  QMetaObject::invokeMethod(
      m_context.get(), [task = std::move(task)] { RunGuarded("posted task", task); },
      Qt::QueuedConnection);
}

void EventThread::RunAndWait(std::function<void()> task) {
  std::exception_ptr error;
  const auto run = [&] {
    try {
      task();
    } catch (...) {
      error = std::current_exception();
    }
  };
  QMetaObject::invokeMethod(m_context.get(), run, Qt::BlockingQueuedConnection);
  if (error) std::rethrow_exception(error);
}

void EventThread::Stop() {
  if (!m_thread.isRunning()) return;
  Post([this] { m_thread.quit(); });
  m_thread.wait();
}

}  // namespace damaskhollow
