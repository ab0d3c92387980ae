#include "runtime/eventthread.h"

#include <QMetaObject>
#include <utility>

namespace damaskhollow {

EventThread::EventThread(const std::string& name) : m_context(new QObject) {
  m_thread.setObjectName(QString::fromStdString(name));
  m_context->moveToThread(&m_thread);
  QObject::connect(&m_thread, &QThread::finished, m_context, &QObject::deleteLater);
  m_thread.start();
}

EventThread::~EventThread() { Stop(); }

void EventThread::Post(std::function<void()> task) {
  QMetaObject::invokeMethod(m_context, std::move(task), Qt::QueuedConnection);
}

void EventThread::RunAndWait(std::function<void()> task) {
  QMetaObject::invokeMethod(m_context, std::move(task), Qt::BlockingQueuedConnection);
}

void EventThread::Stop() {
  if (!m_thread.isRunning()) return;
  Post([this] { m_thread.quit(); });
  m_thread.wait();
}

}  // namespace damaskhollow
