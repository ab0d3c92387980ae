// Throws an exception in one place where an event loop runs code of a node, named by the first
// argument, and prints "alive" when the loops have gone on after it.

#include <sys/eventfd.h>

#include <QSocketNotifier>
#include <QTimer>
#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string_view>

#include "logging/logger.h"
#include "logging/terminationreport.h"
#include "runtime/errorboundary.h"
#include "runtime/eventthread.h"

namespace {

using damaskhollow::EventThread;

[[noreturn]] void Throw() { throw std::runtime_error("test exception"); }

[[noreturn]] void ThrowOther() { throw 1; }

// The objects of one place. They live until the program ends.
struct Objects {
  EventThread thread{"thrower"};
  std::unique_ptr<QTimer> timer;
  std::unique_ptr<QSocketNotifier> notifier;
};

void ThrowInTimer(Objects& objects) {
  objects.timer = std::make_unique<QTimer>();
  objects.timer->setSingleShot(true);
  QObject::connect(objects.timer.get(), &QTimer::timeout, objects.timer.get(), [] { Throw(); });
  objects.timer->start(0);
}

void ThrowInNotifier(Objects& objects) {
  const int descriptor = ::eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC);
  objects.notifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
  QObject::connect(objects.notifier.get(), &QSocketNotifier::activated, objects.notifier.get(),
                   [&objects] {
                     objects.notifier->setEnabled(false);
                     Throw();
                   });
}

struct Place {
  std::string_view name;
  void (*run)(Objects& objects);
};

constexpr std::array kPlaces{
    Place{"task", [](Objects& objects) { objects.thread.Post([] { Throw(); }); }},
    Place{"task, no exception type", [](Objects& objects) { objects.thread.Post(&ThrowOther); }},
    Place{"timer", &ThrowInTimer},
    Place{"notifier", &ThrowInNotifier},
    Place{"timer of a thread",
          [](Objects& objects) { objects.thread.RunAndWait([&] { ThrowInTimer(objects); }); }},
    Place{"notifier of a thread",
          [](Objects& objects) { objects.thread.RunAndWait([&] { ThrowInNotifier(objects); }); }},
};

// Ends the objects of the thread on the thread.
void Finish(Objects& objects) {
  objects.thread.RunAndWait([&] {
    objects.timer.reset();
    objects.notifier.reset();
  });
  const bool is_reported = damaskhollow::UnexpectedErrors() == 1;
  damaskhollow::StopLogging();
  std::cout << (is_reported ? "alive" : "no error was reported") << std::endl;
  QCoreApplication::quit();
}

}  // namespace

int main(int argc, char** argv) {
  damaskhollow::GuardedApplication application(argc, argv);
  const std::string_view name = argc > 1 ? argv[1] : "";
  const auto place =
      std::ranges::find_if(kPlaces, [&](const Place& entry) { return entry.name == name; });
  if (place == kPlaces.end()) {
    std::cerr << "throwing-program: unknown place " << name << '\n';
    return 2;
  }
  damaskhollow::StartLogging(damaskhollow::LogLevel::kInfo);
  damaskhollow::InstallTerminationReport(nullptr);
  Objects objects;
  place->run(objects);
  // Runs after the exception, as it was queued or became due before.
  constexpr int kAfterExceptionMs = 200;
  QTimer::singleShot(kAfterExceptionMs, [&] { Finish(objects); });
  return QCoreApplication::exec();
}
