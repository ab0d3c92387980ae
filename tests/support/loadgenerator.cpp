#include "support/loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskhollow::test {

namespace {

constexpr std::chrono::milliseconds kTickInterval{1};
constexpr std::chrono::milliseconds kCallTimeout{30000};
// A stream with rate 0 checks its rate again after this time.
constexpr std::chrono::milliseconds kZeroRateRecheckInterval{100};

}  // namespace

std::size_t LoadCounts::Count(const std::string& outcome) const {
  const auto found = by_outcome.find(outcome);
  return found == by_outcome.end() ? 0 : found->second;
}

double LoadCounts::Quantile(double quantile) const {
  if (latencies_ms.empty()) return 0.0;
  std::vector<double> sorted = latencies_ms;
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  const auto position =
      sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
  std::nth_element(sorted.begin(), position, sorted.end());
  return *position;
}

LoadGenerator::LoadGenerator(std::vector<LoadStream> streams, std::uint64_t seed,
                             std::size_t max_pending)
    : m_streams(std::move(streams)),
      m_counts(m_streams.size()),
      m_next(m_streams.size()),
      m_random(seed),
      m_max_pending(max_pending) {
  for (LoadStream& stream : m_streams) {
    stream.request.headers.push_back({"X-Test-Class", stream.name});
  }
  m_timer.setTimerType(Qt::PreciseTimer);
  connect(&m_timer, &QTimer::timeout, this, &LoadGenerator::SendDue);
}

void LoadGenerator::Start(std::chrono::milliseconds duration) {
  const Clock::time_point now = Clock::now();
  m_end = now + duration;
  m_stopped = false;
  for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
    m_next[stream] = now + NextGap(stream);
  }
  m_timer.start(kTickInterval);
}

void LoadGenerator::SetRate(std::size_t stream, double rate_per_second) {
  m_streams[stream].rate_per_second = rate_per_second;
  m_next[stream] = Clock::now() + NextGap(stream);
}

void LoadGenerator::Stop() {
  m_stopped = true;
  m_timer.stop();
}

LoadGenerator::Clock::duration LoadGenerator::NextGap(std::size_t stream) {
  const double rate = m_streams[stream].rate_per_second;
  if (rate <= 0.0) return kZeroRateRecheckInterval;
  const std::chrono::duration<double> gap(-std::log(1.0 - m_random.Unit()) / rate);
  return std::chrono::duration_cast<Clock::duration>(gap);
}

void LoadGenerator::SendDue() {
  const Clock::time_point now = Clock::now();
  for (std::size_t stream = 0; stream < m_streams.size(); ++stream) {
    while (m_next[stream] <= std::min(now, m_end)) {
      const Clock::time_point due = m_next[stream];
      m_next[stream] += NextGap(stream);
      if (m_streams[stream].rate_per_second > 0.0) SendOne(stream, due);
    }
  }
  if (now >= m_end) Stop();
}

void LoadGenerator::SendOne(std::size_t stream, Clock::time_point due) {
  if (m_pending >= m_max_pending) {
    ++m_counts[stream].skipped;
    return;
  }
  ++m_counts[stream].sent;
  ++m_pending;
  const std::vector<Endpoint>& targets = m_streams[stream].targets;
  m_client.Send(targets[m_random.Below(targets.size())], m_streams[stream].request, kCallTimeout,
                [this, stream, due](const HttpResponse& response) {
                  RecordCallResult(stream, due, response);
                });
}

void LoadGenerator::RecordCallResult(std::size_t stream, Clock::time_point due,
                                     const HttpResponse& response) {
  --m_pending;
  LoadCounts& counts = m_counts[stream];
  const bool is_complete_direct_response = m_streams[stream].is_direct && response.complete;
  const std::string outcome = is_complete_direct_response ? "answered" : response.Outcome();
  ++counts.by_outcome[outcome];
  if (const std::string reason = response.ReasonName(); !reason.empty()) ++counts.by_reason[reason];
  if (outcome != "answered") return;
  const std::chrono::duration<double, std::milli> latency = Clock::now() - due;
  counts.latencies_ms.push_back(latency.count());
}

}  // namespace damaskhollow::test
