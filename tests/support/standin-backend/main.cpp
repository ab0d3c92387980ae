#include <QCommandLineParser>
#include <QCoreApplication>
#include <csignal>
#include <iostream>

#include "support/standin-backend/backendmodel.h"

namespace {

using damaskhollow::test::BackendSettings;

BackendSettings ParseSettings(const QCommandLineParser& parser) {
  BackendSettings settings;
  settings.slots = parser.value("slots").toULong();
  settings.queue_limit = parser.value("queue-limit").toULong();
  settings.service_ms = parser.value("service-ms").toDouble();
  settings.distribution = parser.value("distribution").toStdString();
  settings.seed = parser.value("seed").toULongLong();
  settings.shed_status = parser.value("shed-status").toInt();
  settings.drain_status = parser.value("drain-status").toInt();
  settings.cold_factor = parser.value("cold-factor").toDouble();
  settings.cold_ms = parser.value("cold-ms").toDouble();
  settings.run_log = parser.value("run-log").toStdString();
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  parser.setApplicationDescription("Stand-in for a backend server.");
  parser.addHelpOption();
  parser.addOptions({
      {"listen", "Address to listen on.", "IP:PORT"},
      {"slots", "Requests that run concurrently.", "N", "9"},
      {"queue-limit", "Requests that wait; more are shed.", "N", "1000"},
      {"service-ms", "Mean service time.", "MS", "5"},
      {"distribution", "fixed or exponential.", "NAME", "fixed"},
      {"seed", "Seed of the service times.", "N", "1"},
      {"shed-status", "Status of a shed request.", "STATUS", "503"},
      {"drain-status", "Status of /health while draining.", "STATUS", "503"},
      {"cold-factor", "Slowdown factor right after the start.", "F", "1"},
      {"run-log", "File that preserves runs by test id across crashes.", "FILE"},
      {"cold-ms", "Time over which the slowdown falls to 1.", "MS", "0"},
  });
  parser.process(application);
  const auto endpoint = damaskhollow::ParseEndpoint(parser.value("listen").toStdString());
  damaskhollow::test::BackendModel model(ParseSettings(parser));
  if (!endpoint || !model.Listen(endpoint.value())) {
    std::cerr << "standin-backend: cannot listen on " << parser.value("listen").toStdString()
              << '\n';
    return 1;
  }
  return QCoreApplication::exec();
}
