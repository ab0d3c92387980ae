#include "runtime/descriptorlimit.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

// Used if the system does not tell a limit. Each shell and service manager grants at least these.
constexpr std::size_t kUsualLimit = 1024;

}  // namespace

void RaiseDescriptorLimit(std::size_t most) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    EventLine(LogPart::kNode, LogLevel::kWarning, "descriptor_limit_unknown")
        .With("detail", std::generic_category().message(errno));
    return;
  }
  const rlim_t wanted = most == 0 ? limit.rlim_max : std::min<rlim_t>(most, limit.rlim_max);
  if (wanted <= limit.rlim_cur) return;
  const rlimit raised{wanted, limit.rlim_max};
  if (setrlimit(RLIMIT_NOFILE, &raised) == 0) return;
  EventLine(LogPart::kNode, LogLevel::kWarning, "descriptor_limit_not_raised")
      .With("wanted", static_cast<std::int64_t>(wanted))
      .With("detail", std::generic_category().message(errno));
}

std::size_t DescriptorLimit(std::size_t most) {
  rlimit limit{};
  const std::size_t current = getrlimit(RLIMIT_NOFILE, &limit) == 0
                                  ? static_cast<std::size_t>(limit.rlim_cur)
                                  : kUsualLimit;
  return most == 0 ? current : std::min(most, current);
}

SpareDescriptors::SpareDescriptors(std::size_t count) : m_count(count) { Refill(); }

SpareDescriptors::~SpareDescriptors() {
  while (ReleaseOne()) {
  }
}

bool SpareDescriptors::ReleaseOne() {
  if (m_descriptors.empty()) return false;
  ::close(m_descriptors.back());
  m_descriptors.pop_back();
  return true;
}

void SpareDescriptors::Refill() {
  while (m_descriptors.size() < m_count) {
    const int descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return;
    m_descriptors.push_back(descriptor);
  }
}

}  // namespace damaskhollow
