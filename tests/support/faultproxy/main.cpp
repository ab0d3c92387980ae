#include <QCommandLineParser>
#include <QCoreApplication>
#include <csignal>
#include <iostream>

#include "support/faultproxy/proxycontrol.h"

namespace {

bool AddPairs(damaskhollow::test::ProxyControl& control, const QCommandLineParser& parser) {
  const QStringList listens = parser.values("listen");
  const QStringList targets = parser.values("target");
  if (listens.size() != targets.size()) return false;
  for (qsizetype index = 0; index < listens.size(); ++index) {
    const auto listen = damaskhollow::ParseEndpoint(listens[index].toStdString());
    const auto target = damaskhollow::ParseEndpoint(targets[index].toStdString());
    if (!listen || !target || !control.AddPair(listen.value(), target.value())) {
      std::cerr << "faultproxy: cannot listen on " << listens[index].toStdString() << '\n';
      return false;
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  QCoreApplication application(argc, argv);
  QCommandLineParser parser;
  parser.setApplicationDescription(
      "Fault-injecting TCP proxy. Specify --listen and --target once for each pair.");
  parser.addHelpOption();
  parser.addOptions({
      {"listen", "Address to accept connections on.", "IP:PORT"},
      {"target", "Address to forward them to.", "IP:PORT"},
      {"control", "Address of the HTTP control interface.", "IP:PORT"},
  });
  parser.process(application);
  damaskhollow::test::ProxyControl control;
  if (!AddPairs(control, parser)) return 1;
  if (parser.isSet("control")) {
    const auto endpoint = damaskhollow::ParseEndpoint(parser.value("control").toStdString());
    if (!endpoint || !control.Listen(endpoint.value())) {
      std::cerr << "faultproxy: cannot listen on the control address\n";
      return 1;
    }
  }
  return QCoreApplication::exec();
}
