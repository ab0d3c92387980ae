#include "runtime/errorboundary.h"

#include <QThread>
#include <atomic>
#include <string>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

std::atomic<std::uint64_t> unexpected_errors{0};

}  // namespace

void ReportUnexpectedError(std::string_view task, std::string_view detail) {
  unexpected_errors.fetch_add(1, std::memory_order_relaxed);
  EventLine(LogPart::kNode, LogLevel::kError, "unexpected_error")
      .With("thread", QThread::currentThread()->objectName().toStdString())
      .With("task", task)
      .With("detail", detail);
}

std::uint64_t UnexpectedErrors() { return unexpected_errors.load(std::memory_order_relaxed); }

bool GuardedApplication::notify(QObject* receiver, QEvent* event) {
  bool handled = false;
  RunGuarded(receiver->metaObject()->className(),
             [&] { handled = QCoreApplication::notify(receiver, event); });
  return handled;
}

}  // namespace damaskhollow
