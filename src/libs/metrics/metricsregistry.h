#ifndef DAMASKHOLLOW_METRICS_METRICSREGISTRY_H_
#define DAMASKHOLLOW_METRICS_METRICSREGISTRY_H_

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

namespace damaskhollow {

// Named counters and gauges without labels.
enum class Metric {
  kCallsAccepted,
  kCallsAnswered,
  kCallsDispatched,
  kRetries,
  kHedges,
  kUnreadConnectionsClosed,
  kCallersClosedForMemory,
  kCallerBytesHeld,
  kControlBytesSent,
  kControlBytesReceived,
  kControlPaidLinkBytes,
  kCallPaidLinkBytes,
  kProbes,
  kStoreReads,
  kConfigurationVersion,
  kConfigurationRefused,
  kBackendCrashes,
  kLinksUp,
  kLinksReplaced,
  kSocketInterruptions,
  kSocketQueueFull,
  kSocketPeerGone,
  kRepliesDropped,
  kSocketNoResources,
  kSocketInvalidArgument,
  kSocketFailures,
  kProcessPauses,
  kQueuedCalls,
  kInFlightCalls,
  kCallerConnections,
  kCallerConnectionLimit,
  kDescriptorLimit,
  kAcceptFailures,
  kUnexpectedErrors,
  kLogLinesDropped,
  kFailureLinesDropped,
  kServers,
  kSlownessPercent,
  kUnreadableEntries,
  kClampedValues,
  kEvacuatedDataCentres,
  kColdStartDelays,
  kCount,
};

// What bytes sent to another data centre are for.
enum class BytePurpose { kCalls, kAnswers, kLoadQueries, kGossip, kDocuments, kLinks, kCount };

// Collects the metrics that a node serves on its admin port. Thread-safe.
class MetricsRegistry {
 public:
  // Increases a counter.
  void Add(Metric metric, std::uint64_t amount = 1);

  // Sets a gauge.
  void Set(Metric metric, std::uint64_t value);

  // Counts bytes sent to a peer in another data centre.
  void CountDataCentreBytes(BytePurpose purpose, std::uint64_t bytes);

  // Counts a call that was refused or failed for `reason`.
  void CountRefusal(Reason reason);

  // Counts a call that is retried on another backend server because of `reason`.
  void CountRetry(Reason reason);

  // Records the time from a caller's complete request to the end of the response.
  void RecordLatency(const PriorityId& priority, Duration latency);

  std::uint64_t Value(Metric metric) const;
  std::uint64_t Refusals(Reason reason) const;
  std::uint64_t Retries(Reason reason) const;
  std::uint64_t DataCentreBytes(BytePurpose purpose) const;

  // Returns all metrics in the Prometheus text format, including the CPU time and memory of the
  // process.
  std::string PrometheusText() const;

 private:
  using LatencyAxis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using LatencyHistogram = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

  // Latencies of one priority, in milliseconds.
  struct Latency {
    LatencyHistogram histogram;
    double sum_ms = 0.0;
    std::uint64_t count = 0;
  };

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Metric::kCount)> m_values{};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::kCount)> m_refusals{};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::kCount)> m_retries{};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(BytePurpose::kCount)>
      m_data_centre_bytes{};
  mutable std::mutex m_latency_lock;
  std::map<PriorityId, Latency> m_latencies;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_METRICS_METRICSREGISTRY_H_
