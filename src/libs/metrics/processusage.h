#ifndef DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_
#define DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_

#include <cstddef>
#include <string>

namespace damaskhollow {

// What this process uses of its VM.
struct ProcessUsage {
  double cpu_seconds = 0.0;               // User and system time since the start.
  std::size_t resident_memory_bytes = 0;  // Resident now.
};

// Asks the operating system; fields that it does not tell are 0.
ProcessUsage ReadProcessUsage();

// The usage as lines in the Prometheus text format.
std::string PrometheusText(const ProcessUsage& usage);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_METRICS_PROCESSUSAGE_H_
