#ifndef DAMASKHOLLOW_TESTS_SUPPORT_LOADGENERATOR_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_LOADGENERATOR_H_

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/randomsource.h"
#include "support/httpclient.h"

namespace damaskhollow::test {

// A stream of identical calls with its own rate.
struct LoadStream {
  std::string name;  // Sent as X-Test-Class.
  HttpRequest request;
  double rate_per_second = 0.0;
  std::vector<Endpoint> targets;  // Each call goes to a random one.
  bool is_direct = false;         // Targets are backend servers; responses have no outcome.
};

// The results of the calls of one stream.
struct LoadCounts {
  std::size_t sent = 0;
  std::size_t skipped = 0;  // Not sent, as `max_pending` calls were pending.
  std::map<std::string, std::size_t> by_outcome;
  std::map<std::string, std::size_t> by_reason;
  std::vector<double> latencies_ms;  // Of answered calls, from the scheduled start.

  std::size_t Count(const std::string& outcome) const;

  // Returns the given quantile (0 to 1) of the latencies in ms; 0 if no call was answered.
  double Quantile(double quantile) const;
};

// Open-loop load generator: sends calls at given rates regardless of response times, with
// exponentially distributed gaps from a seeded random source. Runs on the calling thread's event
// loop.
class LoadGenerator : public QObject {
 public:
  LoadGenerator(std::vector<LoadStream> streams, std::uint64_t seed,
                std::size_t max_pending = 4096);

  // Sends for `duration`. Latencies are measured from the time at which a call was due.
  void Start(std::chrono::milliseconds duration);

  // Changes the rate of a stream, effective immediately.
  void SetRate(std::size_t stream, double rate_per_second);

  // Returns whether sending has stopped and all calls have ended.
  bool IsDone() const { return m_stopped && m_client.Pending() == 0 && m_pending == 0; }

  // Stops sending; pending calls continue.
  void Stop();

  const LoadCounts& Counts(std::size_t stream) const { return m_counts[stream]; }

 private:
  using Clock = std::chrono::steady_clock;

  void SendDue();
  void SendOne(std::size_t stream, Clock::time_point due);
  void RecordCallResult(std::size_t stream, Clock::time_point due, const HttpResponse& response);
  Clock::duration NextGap(std::size_t stream);

  std::vector<LoadStream> m_streams;
  std::vector<LoadCounts> m_counts;
  std::vector<Clock::time_point> m_next;
  RandomSource m_random;
  const std::size_t m_max_pending;
  std::size_t m_pending = 0;
  bool m_stopped = true;
  Clock::time_point m_end{};
  HttpClient m_client{true};
  QTimer m_timer;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_LOADGENERATOR_H_
