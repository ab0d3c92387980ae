#ifndef DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_
#define DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_

#include <cstddef>
#include <string>

namespace damaskhollow {

// CPU time and memory used by this process.
struct ProcessUsage {
  double cpu_seconds = 0.0;               // User and system CPU time since the process started.
  std::size_t resident_memory_bytes = 0;  // Current resident set size.
};

// Reads the usage from the operating system. Fields that cannot be read are 0.
ProcessUsage ReadProcessUsage();

// Returns the usage in the Prometheus text format.
std::string PrometheusText(const ProcessUsage& usage);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_
