#include "metrics/processusage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace damaskhollow {

namespace {

double ToSeconds(const timeval& time) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  rusage times{};
  if (::getrusage(RUSAGE_SELF, &times) == 0) {
    usage.cpu_seconds = ToSeconds(times.ru_utime) + ToSeconds(times.ru_stime);
  }
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    usage.resident_memory_bytes =
        resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  return usage;
}

std::string PrometheusText(const ProcessUsage& usage) {
  std::ostringstream out;
  out << "# HELP damaskhollow_process_cpu_seconds_total User and system time of the process.\n"
         "# TYPE damaskhollow_process_cpu_seconds_total counter\n"
         "damaskhollow_process_cpu_seconds_total "
      << usage.cpu_seconds
      << "\n# HELP damaskhollow_process_resident_memory_bytes Memory resident now.\n"
         "# TYPE damaskhollow_process_resident_memory_bytes gauge\n"
         "damaskhollow_process_resident_memory_bytes "
      << usage.resident_memory_bytes << '\n';
  return out.str();
}

}  // namespace damaskhollow
