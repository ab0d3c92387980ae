#include "support/nofreedescriptors.h"

#include <unistd.h>

namespace damaskhollow::test {

NoFreeDescriptors::NoFreeDescriptors() {
  getrlimit(RLIMIT_NOFILE, &m_previous);
  rlimit limit = m_previous;
  // The lowest free descriptor is the number of the first one that can't be opened any more.
  const int free = dup(STDIN_FILENO);
  close(free);
  limit.rlim_cur = static_cast<rlim_t>(free);
  setrlimit(RLIMIT_NOFILE, &limit);
}

NoFreeDescriptors::~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &m_previous); }

}  // namespace damaskhollow::test
