#include "metrics/metricsregistry.h"

#include <sstream>

#include "metrics/processusage.h"

namespace damaskhollow {

namespace {

struct MetricInfo {
  Metric metric;
  std::string_view name;
  std::string_view type;
  std::string_view help;
};

constexpr std::array<MetricInfo, static_cast<std::size_t>(Metric::kCount)> kMetrics{{
    {Metric::kCallsAccepted, "calls_accepted_total", "counter", "Calls read from callers."},
    {Metric::kCallsAnswered, "calls_answered_total", "counter",
     "Calls answered by a backend server."},
    {Metric::kCallsDispatched, "calls_dispatched_total", "counter",
     "Calls sent to this node's backend server."},
    {Metric::kRetries, "retries_total", "counter", "Calls tried again."},
    {Metric::kHedges, "hedges_total", "counter", "Idempotent calls sent to a second server."},
    {Metric::kUnreadConnectionsClosed, "unread_connections_closed_total", "counter",
     "Connections without a whole request head that gave way to new ones."},
    {Metric::kCallersClosedForMemory, "callers_closed_for_memory_total", "counter",
     "Connections closed as callers held too much memory."},
    {Metric::kCallerBytesHeld, "caller_bytes_held", "gauge",
     "Bytes held for callers, without request bodies."},
    {Metric::kControlBytesSent, "control_bytes_sent_total", "counter",
     "Control bytes sent to peers."},
    {Metric::kControlBytesReceived, "control_bytes_received_total", "counter",
     "Control bytes received from peers."},
    {Metric::kControlPaidLinkBytes, "control_paid_link_bytes_total", "counter",
     "Control bytes sent to other regions or read from a service there."},
    {Metric::kCallPaidLinkBytes, "call_paid_link_bytes_total", "counter",
     "Bytes of calls sent to other regions."},
    {Metric::kProbes, "probes_total", "counter", "Health probes of the backend server."},
    {Metric::kStoreReads, "store_reads_total", "counter", "Reads of the configuration service."},
    {Metric::kConfigurationVersion, "configuration_version", "gauge",
     "Version of the declaration in force."},
    {Metric::kConfigurationRefused, "configuration_refused_total", "counter",
     "Declarations refused as invalid or older."},
    {Metric::kBackendCrashes, "backend_crashes_total", "counter",
     "Crashes of the backend server seen."},
    {Metric::kLinksUp, "links_up", "gauge", "Links to peers that are up."},
    {Metric::kLinksReplaced, "links_replaced_total", "counter", "Silent links replaced."},
    {Metric::kSocketInterruptions, "socket_interruptions_total", "counter",
     "Calls to ZeroMQ that a signal interrupted and that were repeated."},
    {Metric::kSocketQueueFull, "socket_queue_full_total", "counter",
     "Replies that waited as their peer read too slowly."},
    {Metric::kSocketPeerGone, "socket_peer_gone_total", "counter",
     "Replies dropped as their peer had disconnected."},
    {Metric::kRepliesDropped, "replies_dropped_total", "counter",
     "Replies dropped as too many bytes waited for their peer."},
    {Metric::kSocketNoResources, "socket_no_resources_total", "counter",
     "Calls to ZeroMQ that failed for lack of descriptors, sockets or memory."},
    {Metric::kSocketInvalidArgument, "socket_invalid_argument_total", "counter",
     "Addresses or options that ZeroMQ refused."},
    {Metric::kSocketFailures, "socket_failures_total", "counter",
     "Calls to ZeroMQ that failed for any other reason."},
    {Metric::kProcessPauses, "pauses_total", "counter", "Pauses of the process noticed."},
    {Metric::kQueuedCalls, "queued_calls", "gauge", "Calls queued at the owner."},
    {Metric::kInFlightCalls, "in_flight_calls", "gauge", "Calls running on the backend server."},
    {Metric::kCallerConnections, "caller_connections", "gauge", "Connections of callers."},
    {Metric::kCallerConnectionLimit, "caller_connection_limit", "gauge",
     "Connections of callers above which only urgent calls are accepted."},
    {Metric::kDescriptorLimit, "descriptor_limit", "gauge",
     "Descriptors that the process may open."},
    {Metric::kAcceptFailures, "accept_failures_total", "counter",
     "Connections of callers that could not be accepted."},
    {Metric::kUnexpectedErrors, "unexpected_errors_total", "counter",
     "Tasks that an exception ended."},
    {Metric::kLogLinesDropped, "log_lines_dropped_total", "counter",
     "Log lines dropped as nobody read them."},
    {Metric::kFailureLinesDropped, "failure_lines_dropped_total", "counter",
     "Log lines on failures left out to bound their rate."},
    {Metric::kServers, "servers", "gauge", "Backend servers in the inventory in force."},
    {Metric::kSlownessPercent, "slowness_percent", "gauge",
     "Time that work takes on this VM now; 100 is as usual."},
    {Metric::kUnreadableEntries, "unreadable_entries", "gauge",
     "Entries of the configuration in force that cannot be read."},
    {Metric::kClampedValues, "clamped_values", "gauge",
     "Values of the configuration in force beyond what a node can use."},
    {Metric::kEvacuatedDataCentres, "evacuated_data_centres", "gauge",
     "Data centres whose backend servers get no new calls."},
    {Metric::kColdStartDelays, "cold_start_delays_total", "counter",
     "Rounds in which a waiting call was held back as the own backend server may be cold."},
}};

constexpr std::array<std::string_view, static_cast<std::size_t>(BytePurpose::kCount)> kPurposeNames{
    "calls", "answers", "load_queries", "gossip", "documents", "links"};

constexpr bool IsInEnumerationOrder() {
  for (std::size_t index = 0; index < kMetrics.size(); ++index) {
    if (kMetrics[index].metric != static_cast<Metric>(index)) return false;
  }
  return true;
}
static_assert(IsInEnumerationOrder(), "kMetrics must be in the order of the Metric enumeration");

constexpr std::size_t IndexOf(Metric metric) { return static_cast<std::size_t>(metric); }
constexpr std::size_t IndexOf(BytePurpose purpose) { return static_cast<std::size_t>(purpose); }
constexpr std::size_t IndexOf(Reason reason) { return static_cast<std::size_t>(reason); }

// The latency histogram covers 0.1 ms to 100 s in 60 buckets of equal ratio (about 1.26).
constexpr unsigned kLatencyBuckets = 60;
constexpr double kLatencyLowMs = 0.1;
constexpr double kLatencyHighMs = 100000.0;

// Writes one counter with a `reason` label, for all reasons but kNone.
void WriteReasonCounters(std::ostream& out, std::string_view name, std::string_view help,
                         std::span<const std::atomic<std::uint64_t>> counters) {
  out << "# HELP damaskhollow_" << name << ' ' << help << "\n# TYPE damaskhollow_" << name
      << " counter\n";
  for (const ReasonInfo& info : ReasonTable()) {
    if (info.reason == Reason::kNone) continue;
    out << "damaskhollow_" << name << "{reason=\"" << info.name << "\"} "
        << counters[IndexOf(info.reason)].load() << '\n';
  }
}

}  // namespace

void MetricsRegistry::Add(Metric metric, std::uint64_t amount) {
  m_values[IndexOf(metric)].fetch_add(amount, std::memory_order_relaxed);
}

void MetricsRegistry::Set(Metric metric, std::uint64_t value) {
  m_values[IndexOf(metric)].store(value, std::memory_order_relaxed);
}

void MetricsRegistry::CountDataCentreBytes(BytePurpose purpose, std::uint64_t bytes) {
  m_data_centre_bytes[IndexOf(purpose)].fetch_add(bytes, std::memory_order_relaxed);
}

std::uint64_t MetricsRegistry::DataCentreBytes(BytePurpose purpose) const {
  return m_data_centre_bytes[IndexOf(purpose)].load(std::memory_order_relaxed);
}

void MetricsRegistry::CountRefusal(Reason reason) {
  m_refusals[IndexOf(reason)].fetch_add(1, std::memory_order_relaxed);
}

void MetricsRegistry::CountRetry(Reason reason) {
  Add(Metric::kRetries);
  m_retries[IndexOf(reason)].fetch_add(1, std::memory_order_relaxed);
}

void MetricsRegistry::RecordLatency(const PriorityId& priority, Duration latency) {
  const double milliseconds = static_cast<double>(latency.count()) / 1000.0;
  const std::lock_guard lock(m_latency_lock);
  auto found = m_latencies.find(priority);
  if (found == m_latencies.end()) {
    Latency new_entry{boost::histogram::make_histogram(
        LatencyAxis(kLatencyBuckets, kLatencyLowMs, kLatencyHighMs))};
    found = m_latencies.emplace(priority, std::move(new_entry)).first;
  }
  found->second.histogram(milliseconds);
  found->second.sum_ms += milliseconds;
  ++found->second.count;
}

std::uint64_t MetricsRegistry::Value(Metric metric) const {
  return m_values[IndexOf(metric)].load(std::memory_order_relaxed);
}

std::uint64_t MetricsRegistry::Refusals(Reason reason) const {
  return m_refusals[IndexOf(reason)].load(std::memory_order_relaxed);
}

std::uint64_t MetricsRegistry::Retries(Reason reason) const {
  return m_retries[IndexOf(reason)].load(std::memory_order_relaxed);
}

std::string MetricsRegistry::PrometheusText() const {
  std::ostringstream out;
  for (const MetricInfo& info : kMetrics) {
    out << "# HELP damaskhollow_" << info.name << ' ' << info.help << "\n# TYPE damaskhollow_"
        << info.name << ' ' << info.type << "\ndamaskhollow_" << info.name << ' '
        << Value(info.metric) << '\n';
  }
  out << damaskhollow::PrometheusText(ReadProcessUsage());
  WriteReasonCounters(out, "refusals_total", "Calls refused or failed, by reason.", m_refusals);
  WriteReasonCounters(out, "retries_by_reason_total", "Calls tried again, by reason.", m_retries);

  out << "# HELP damaskhollow_data_centre_bytes_total Bytes sent to peers in other data centres, "
         "by "
         "purpose.\n# TYPE damaskhollow_data_centre_bytes_total counter\n";
  for (std::size_t purpose = 0; purpose < kPurposeNames.size(); ++purpose) {
    out << "damaskhollow_data_centre_bytes_total{purpose=\"" << kPurposeNames[purpose] << "\"} "
        << m_data_centre_bytes[purpose].load() << '\n';
  }

  out << "# HELP damaskhollow_latency_ms Time from request to end of answer, by priority.\n"
         "# TYPE damaskhollow_latency_ms histogram\n";
  const std::lock_guard lock(m_latency_lock);
  for (const auto& [priority, latency] : m_latencies) {
    const std::string label = "priority=\"" + priority.Value() + "\"";
    double cumulative = latency.histogram.at(-1);
    for (int bucket = 0; bucket < latency.histogram.axis().size(); ++bucket) {
      cumulative += latency.histogram.at(bucket);
      out << "damaskhollow_latency_ms_bucket{" << label << ",le=\""
          << latency.histogram.axis().bin(bucket).upper() << "\"} " << cumulative << '\n';
    }
    out << "damaskhollow_latency_ms_bucket{" << label << ",le=\"+Inf\"} " << latency.count << '\n'
        << "damaskhollow_latency_ms_sum{" << label << "} " << latency.sum_ms << '\n'
        << "damaskhollow_latency_ms_count{" << label << "} " << latency.count << '\n';
  }
  return out.str();
}

}  // namespace damaskhollow
