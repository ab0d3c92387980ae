#include "support/freeport.h"

#include <QHostAddress>
#include <QTcpServer>
#include <set>

#include "base/randomsource.h"

namespace damaskhollow::test {

namespace {

// Below the kernel's range of ephemeral ports: an outgoing connection could otherwise occupy the
// port before the program listens on it.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kPortCount = 20000;

}  // namespace

Endpoint FreeEndpoint() {
  static RandomSource random(SystemSeed());
  static std::set<std::uint16_t> allocated;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + random.Below(kPortCount));
    QTcpServer server;
    if (allocated.contains(port) || !server.listen(QHostAddress::LocalHost, port)) continue;
    allocated.insert(port);
    return Endpoint{"127.0.0.1", port};
  }
}

}  // namespace damaskhollow::test
