#include "policy/retrypolicy.h"

#include <algorithm>
#include <cmath>

namespace damaskhollow {

namespace {

// Tokens accumulate for this long, so that all calls in flight to a server that stops can be sent
// to other servers.
constexpr double kAccumulationSeconds = 10.0;
// Rate at which a service with too few calls to earn tokens receives them. It is low enough for the
// floors of all services of all nodes to stay far below the retry share.
constexpr double kFloorTokensPerSecond = 0.1;

// Range of the retry delay for callers: long enough for slots to become free, short enough to leave
// time for a second attempt.
constexpr std::chrono::milliseconds kMinRetryAfter{200};
constexpr std::chrono::milliseconds kMaxRetryAfter{600};

constexpr std::size_t kMinResponses = 32;
constexpr std::size_t kResponsesPerUpdate = 16;

}  // namespace

std::chrono::milliseconds RandomRetryAfter(RandomSource& random) {
  const auto spread = static_cast<double>((kMaxRetryAfter - kMinRetryAfter).count());
  return kMinRetryAfter + std::chrono::milliseconds(static_cast<int>(spread * random.Unit()));
}

void RetryBudget::Refill(const Budgets& budgets, TimePoint now) {
  const double floor = budgets.retry_share > 0.0 ? budgets.retry_floor : 0.0;
  if (!m_is_started) {
    m_is_started = true;
    m_tokens = floor;
    m_hedge_tokens = floor * budgets.hedge_share;
    m_refilled_at = now;
    return;
  }
  if (now <= m_refilled_at) return;
  const double seconds = std::chrono::duration<double>(now - m_refilled_at).count();
  m_refilled_at = now;
  m_recent_first_attempts *= std::exp(-seconds / kAccumulationSeconds);
  const double limit = floor + m_recent_first_attempts * budgets.retry_share;
  if (floor > 0.0) m_tokens += kFloorTokensPerSecond * seconds;
  m_tokens = std::min(m_tokens, limit);
  m_hedge_tokens = std::min(m_hedge_tokens, limit * budgets.hedge_share);
}

void RetryBudget::RecordFirstAttempt(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  m_recent_first_attempts += 1.0;
  m_tokens += budgets.retry_share;
  m_hedge_tokens += budgets.retry_share * budgets.hedge_share;
}

bool RetryBudget::TryConsumeRetry(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

bool RetryBudget::TryConsumeHedge(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  if (m_hedge_tokens < 1.0 || m_tokens < 1.0) return false;
  m_hedge_tokens -= 1.0;
  m_tokens -= 1.0;
  return true;
}

void ResponseTimes::Add(Duration time) {
  m_times[m_count % m_times.size()] = time;
  ++m_count;
  if (m_count < kMinResponses || m_count % kResponsesPerUpdate != 0) return;
  std::array<Duration, 128> sorted = m_times;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, sorted.size()));
  const auto position = sorted.begin() + (end - sorted.begin()) * 95 / 100;
  std::nth_element(sorted.begin(), position, end);
  m_percentile = *position;
}

void RetryPolicy::RecordFirstAttempt(const ServiceId& service, const Budgets& budgets,
                                     TimePoint now) {
  m_services[service].budget.RecordFirstAttempt(budgets, now);
}

void RetryPolicy::RecordResponseTime(const ServiceId& service, Duration time) {
  m_services[service].response_times.Add(time);
}

Reason RetryPolicy::DecideRetry(const FailedAttempt& failed, const Budgets& budgets,
                                TimePoint now) {
  if (!InfoOf(failed.reason).try_another_server) return failed.reason;
  if (!failed.proved_not_run && !failed.idempotent) return failed.reason;
  // A refusal by an owner without a connection to its server, or whose server leaves or is
  // evacuated, causes no load, and more calls do not make it worse.
  const bool is_free = budgets.refusals_are_free || failed.reason == Reason::kBackendUnreachable ||
                       failed.reason == Reason::kDraining || failed.reason == Reason::kEvacuated;
  if (!failed.reached_server && is_free) {
    return failed.refusals < kMaxRefusals ? Reason::kNone : failed.reason;
  }
  if (failed.attempts + failed.refusals >= failed.max_attempts) return failed.reason;
  if (m_services[failed.service].budget.TryConsumeRetry(budgets, now)) return Reason::kNone;
  // The reason retry_budget states that the call was not run, which is not certain for other
  // outcomes.
  return failed.proved_not_run ? Reason::kRetryBudget : failed.reason;
}

std::optional<Duration> RetryPolicy::HedgeDelay(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? std::nullopt : found->second.response_times.Percentile95();
}

bool RetryPolicy::TryConsumeHedge(const ServiceId& service, const Budgets& budgets, TimePoint now) {
  return m_services[service].budget.TryConsumeHedge(budgets, now);
}

}  // namespace damaskhollow
