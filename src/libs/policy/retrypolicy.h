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

// Sends of one call at most, hedges included.
constexpr std::size_t kMaxAttempts = 3;

// Sends that owners refuse cost the servers nothing, so they have a bound of their own.
constexpr std::size_t kMaxRefusals = 8;

// Tokens for the retries and hedges of one service. Each first attempt adds a share of a token; a
// retry takes one, and a hedge takes one that must also be within the hedges' part.
class RetryBudget {
 public:
  void RecordFirstAttempt(const Budgets& budgets, TimePoint now);
  bool TryConsumeRetry(const Budgets& budgets, TimePoint now);
  bool TryConsumeHedge(const Budgets& budgets, TimePoint now);

 private:
  void Refill(const Budgets& budgets, TimePoint now);

  double m_tokens = 0.0;
  double m_hedge_tokens = 0.0;
  double m_recent_first_attempts =
      0.0;  // First attempts, decayed over the time that tokens are saved up for.
  TimePoint m_refilled_at{};
  bool m_is_started = false;
};

// The last answer times of one service and their 95th percentile.
class ResponseTimes {
 public:
  void Add(Duration time);

  // Empty until enough answers have been seen.
  std::optional<Duration> Percentile95() const { return m_percentile; }

 private:
  std::array<Duration, 128> m_times{};
  std::size_t m_count = 0;  // Of all answers.
  std::optional<Duration> m_percentile;
};

// When a caller whose call was not run may come again. Spread out, so that the callers that are
// refused at one moment do not return at one moment.
std::chrono::milliseconds RandomRetryAfter(RandomSource& random);

// An attempt that ended without an answer.
struct FailedAttempt {
  ServiceId service;
  Reason reason = Reason::kNone;
  bool proved_not_run = false;
  bool idempotent = false;
  std::size_t attempts = 0;  // Sends of this call that reached or may have reached a server.
  std::size_t max_attempts = kMaxAttempts;
  bool reached_server = true;  // Whether the last one did or may have.
  std::size_t refusals = 0;    // Sends that owners refused before anything reached a server.
};

// Decides which calls are sent again and when a second copy is sent. Answers of backend servers,
// those of 5xx included, never come here, so retries do not multiply along a chain of calls.
class RetryPolicy {
 public:
  void RecordFirstAttempt(const ServiceId& service, const Budgets& budgets, TimePoint now);

  // Notes the time from sending an attempt to the head of its answer.
  void RecordResponseTime(const ServiceId& service, Duration time);

  // kNone if the call may be sent again, which takes a token; otherwise the reason to answer with.
  Reason DecideRetry(const FailedAttempt& failed, const Budgets& budgets, TimePoint now);

  // How long after an idempotent call its hedge is due; empty if the service has had too few
  // answers.
  std::optional<Duration> HedgeDelay(const ServiceId& service) const;

  // Whether a hedge may be sent, which takes its tokens.
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
