#include <QCoreApplication>
#include <csignal>
#include <iostream>
#include <string_view>

#include "platform.h"

// Usage: standin-platform --listen 127.0.0.1:PORT. Prints "listening on IP:PORT" when it is ready.
// With port 0 the system chooses a port.
int main(int argc, char** argv) {
  using damaskhollow::Endpoint;
  constexpr int kUsageExitStatus = 2;
  std::signal(SIGPIPE, SIG_IGN);
  QCoreApplication application(argc, argv);
  if (argc != 3 || std::string_view(argv[1]) != "--listen") {
    std::cerr << "usage: standin-platform --listen IP:PORT\n";
    return kUsageExitStatus;
  }
  const damaskhollow::Result<Endpoint> endpoint = damaskhollow::ParseEndpoint(argv[2]);
  if (!endpoint) {
    std::cerr << damaskhollow::Describe(endpoint.error()) << '\n';
    return kUsageExitStatus;
  }
  damaskhollow::test::Platform platform;
  if (!platform.Open(endpoint.value())) {
    std::cerr << platform.errorString().toStdString() << '\n';
    return 1;
  }
  std::cout << "listening on "
            << ToString(Endpoint{endpoint.value().address, platform.serverPort()}) << std::endl;
  return QCoreApplication::exec();
}
