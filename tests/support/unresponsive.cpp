#include "support/unresponsive.h"

#include <linux/filter.h>
#include <sys/socket.h>

namespace damaskhollow::test {

bool MakeUnresponsive(int descriptor) {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  return ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}

}  // namespace damaskhollow::test
