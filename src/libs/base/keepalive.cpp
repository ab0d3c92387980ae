#include "base/keepalive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace damaskhollow {

namespace {

struct SocketOption {
  int level;
  int name;
  int value;
};

}  // namespace

bool EnableKeepAlive(int descriptor, const KeepAlive& keep_alive) {
  const std::array options{
      SocketOption{IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keep_alive.probe_delay.count())},
      SocketOption{IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keep_alive.probe_interval.count())},
      SocketOption{IPPROTO_TCP, TCP_KEEPCNT, keep_alive.max_lost_probes},
      SocketOption{IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(keep_alive.BreaksAfter().count())},
      SocketOption{SOL_SOCKET, SO_KEEPALIVE, 1}};
  return std::all_of(options.begin(), options.end(), [descriptor](const SocketOption& option) {
    return ::setsockopt(descriptor, option.level, option.name, &option.value,
                        sizeof(option.value)) == 0;
  });
}

}  // namespace damaskhollow
