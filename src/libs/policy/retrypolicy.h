#ifndef DAMASKHOLLOW_POLICY_RETRYPOLICY_H_
#define DAMASKHOLLOW_POLICY_RETRYPOLICY_H_

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "base/randomsource.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Maximum number of attempts of one call, hedges included.
constexpr std::size_t kMaxAttempts = 3;

// Maximum number of attempts of one call that owners refuse. They cost the backend servers nothing,
// so they have a separate limit.
constexpr std::size_t kMaxRefusals = 8;

// Token bucket for the retries and hedges of one service. Each first attempt adds a fraction of a
// token. A retry consumes one token; a hedge consumes one that must also be available in the part
// reserved for hedges.
class RetryBudget {
 public:
  // Adds the tokens that a first attempt earns.
  void RecordFirstAttempt(const Budgets& budgets, TimePoint now);
  // Consumes the tokens of a retry or a hedge. Returns false, and consumes none, if there are too
  // few.
  bool TryConsumeRetry(const Budgets& budgets, TimePoint now);
  bool TryConsumeHedge(const Budgets& budgets, TimePoint now);

 private:
  void Refill(const Budgets& budgets, TimePoint now);

  double m_tokens = 0.0;
  double m_hedge_tokens = 0.0;
  double m_recent_first_attempts = 0.0;  // First attempts, decaying over kAccumulationSeconds.
  TimePoint m_refilled_at{};
  bool m_is_started = false;
};

// The latest response times of one service and their 95th percentile.
class ResponseTimes {
 public:
  void Add(Duration time);

  // Empty until there are enough responses.
  std::optional<Duration> Percentile95() const { return m_percentile; }

 private:
  std::array<Duration, 128> m_times{};
  std::size_t m_count = 0;  // Total number of responses.
  std::optional<Duration> m_percentile;
};

// Returns the delay after which a caller whose call was not run may retry. It is random, so that
// callers refused at the same moment do not return at the same moment.
std::chrono::milliseconds RandomRetryAfter(RandomSource& random);

// An attempt that ended without a response.
struct FailedAttempt {
  ServiceId service;
  Reason reason = Reason::kNone;
  bool proved_not_run = false;
  bool idempotent = false;
  std::size_t attempts = 0;  // Attempts that reached or may have reached a server.
  std::size_t max_attempts = kMaxAttempts;
  bool reached_server = true;  // Whether the last attempt did or may have.
  std::size_t refusals = 0;    // Attempts that owners refused before they reached a server.
};

// Decides which calls are retried and when a hedge is sent. Responses of backend servers, including
// 5xx, are never passed to it, so retries do not multiply along a chain of calls.
class RetryPolicy {
 public:
  // Adds the retry tokens that a first attempt earns for the service.
  void RecordFirstAttempt(const ServiceId& service, const Budgets& budgets, TimePoint now);

  // Records the time from sending an attempt to the head of its response.
  void RecordResponseTime(const ServiceId& service, Duration time);

  // Returns kNone if the call may be retried, which consumes a token; otherwise the reason to
  // answer with.
  Reason DecideRetry(const FailedAttempt& failed, const Budgets& budgets, TimePoint now);

  // Returns how long after an idempotent call its hedge is due; empty if the service has had too
  // few responses.
  std::optional<Duration> HedgeDelay(const ServiceId& service) const;

  // Returns whether a hedge may be sent, and consumes its tokens if so.
  bool TryConsumeHedge(const ServiceId& service, const Budgets& budgets, TimePoint now);

 private:
  struct ServiceState {
    RetryBudget budget;
    ResponseTimes response_times;
  };

  std::unordered_map<ServiceId, ServiceState> m_services;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_RETRYPOLICY_H_
