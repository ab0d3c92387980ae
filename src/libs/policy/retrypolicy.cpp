#include "policy/retrypolicy.h"

#include <algorithm>
#include <cmath>

namespace damaskhollow {

namespace {

// Tokens are saved up for this long, so that the calls in flight to a server that stops can all be
// sent to others.
constexpr double kSavingSeconds = 10.0;
// A service that has had too few calls to earn tokens gets them at this rate, so slowly that the
// floors of all services of all nodes stay far below the share.
constexpr double kFloorTokensPerSecond = 0.1;

// Long enough for slots to become free, short enough to leave time for the second try.
constexpr std::chrono::milliseconds kShortestReturn{200};
constexpr std::chrono::milliseconds kLongestReturn{600};

constexpr std::size_t kFewestAnswers = 32;
constexpr std::size_t kAnswersPerUpdate = 16;

}  // namespace

std::chrono::milliseconds AdviseReturn(RandomSource& random) {
  const auto spread = static_cast<double>((kLongestReturn - kShortestReturn).count());
  return kShortestReturn + std::chrono::milliseconds(static_cast<int>(spread * random.Unit()));
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
  m_recent *= std::exp(-seconds / kSavingSeconds);
  const double limit = floor + m_recent * budgets.retry_share;
  if (floor > 0.0) m_tokens += kFloorTokensPerSecond * seconds;
  m_tokens = std::min(m_tokens, limit);
  m_hedge_tokens = std::min(m_hedge_tokens, limit * budgets.hedge_share);
}

void RetryBudget::NoteFirstAttempt(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  m_recent += 1.0;
  m_tokens += budgets.retry_share;
  m_hedge_tokens += budgets.retry_share * budgets.hedge_share;
}

bool RetryBudget::TakeRetry(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  if (m_tokens < 1.0) return false;
  m_tokens -= 1.0;
  return true;
}

bool RetryBudget::TakeHedge(const Budgets& budgets, TimePoint now) {
  Refill(budgets, now);
  if (m_hedge_tokens < 1.0 || m_tokens < 1.0) return false;
  m_hedge_tokens -= 1.0;
  m_tokens -= 1.0;
  return true;
}

void AnswerTimes::Add(Duration time) {
  m_times[m_count % m_times.size()] = time;
  ++m_count;
  if (m_count < kFewestAnswers || m_count % kAnswersPerUpdate != 0) return;
  std::array<Duration, 128> sorted = m_times;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, sorted.size()));
  const auto position = sorted.begin() + (end - sorted.begin()) * 95 / 100;
  std::nth_element(sorted.begin(), position, end);
  m_percentile = *position;
}

void RetryPolicy::NoteFirstAttempt(const ServiceId& service, const Budgets& budgets,
                                   TimePoint now) {
  m_services[service].budget.NoteFirstAttempt(budgets, now);
}

void RetryPolicy::NoteAnswerTime(const ServiceId& service, Duration time) {
  m_services[service].answer_times.Add(time);
}

Reason RetryPolicy::DecideRetry(const FailedAttempt& failed, const Budgets& budgets,
                                TimePoint now) {
  if (!InfoOf(failed.reason).try_another_server) return failed.reason;
  if (!failed.proved_not_run && !failed.idempotent) return failed.reason;
  // An owner without its server loads nothing by refusing, and more calls do not make it worse.
  const bool is_free = budgets.refusals_are_free || failed.reason == Reason::kBackendUnreachable;
  if (!failed.reached_server && is_free) {
    return failed.refusals < kMaxRefusals ? Reason::kNone : failed.reason;
  }
  if (failed.attempts + failed.refusals >= failed.most_attempts) return failed.reason;
  if (m_services[failed.service].budget.TakeRetry(budgets, now)) return Reason::kNone;
  // retry_budget says that the call was not run, which is not proved for the other outcomes.
  return failed.proved_not_run ? Reason::kRetryBudget : failed.reason;
}

std::optional<Duration> RetryPolicy::HedgeDelay(const ServiceId& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? std::nullopt : found->second.answer_times.Percentile95();
}

bool RetryPolicy::TakeHedge(const ServiceId& service, const Budgets& budgets, TimePoint now) {
  return m_services[service].budget.TakeHedge(budgets, now);
}

}  // namespace damaskhollow
