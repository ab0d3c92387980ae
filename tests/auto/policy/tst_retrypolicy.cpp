#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "policy/retrypolicy.h"
#include "support/tabletest.h"

namespace damaskhollow {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};
ServiceId TestService() { return ServiceId("s"); }

Budgets MakeBudgets(double retry_share, double hedge_share) {
  Budgets budgets;
  budgets.retry_share = retry_share;
  budgets.hedge_share = hedge_share;
  return budgets;
}

FailedAttempt MakeFailedAttempt(Reason reason, bool proved_not_run, bool idempotent,
                                std::size_t attempts) {
  FailedAttempt failed;
  failed.service = TestService();
  failed.reason = reason;
  failed.proved_not_run = proved_not_run;
  failed.idempotent = idempotent;
  failed.attempts = attempts;
  return failed;
}

// A failed attempt and the expected decision while the retry budget is full.
struct DecisionCase {
  std::string_view name;
  Reason reason;
  bool proved_not_run;
  bool idempotent;
  std::size_t attempts;
  Reason decision;
};

constexpr std::array kDecisionCases{
    DecisionCase{"refused, not idempotent", Reason::kDraining, true, false, 1, Reason::kNone},
    DecisionCase{"unknown, not idempotent", Reason::kBackendClosed, false, false, 1,
                 Reason::kBackendClosed},
    DecisionCase{"unknown, idempotent", Reason::kBackendClosed, false, true, 1, Reason::kNone},
    DecisionCase{"silent link, not idempotent", Reason::kLinkSilent, false, false, 1,
                 Reason::kLinkSilent},
    DecisionCase{"crashing request", Reason::kCrashingRequest, true, true, 1,
                 Reason::kCrashingRequest},
    DecisionCase{"expired in the queue", Reason::kQueueExpired, true, true, 1,
                 Reason::kQueueExpired},
    DecisionCase{"timed out", Reason::kBackendTimeout, false, true, 1, Reason::kBackendTimeout},
    DecisionCase{"third attempt", Reason::kDraining, true, true, 3, Reason::kDraining},
};

// A refused attempt and the expected decision.
struct RefusalCase {
  std::string_view name;
  Reason reason;
  bool reached_server;
  std::size_t attempts;
  std::size_t refusals;
  double retry_share;  // 0: no retry budget.
  Reason decision;
  bool refusals_are_free = true;
};

constexpr std::array kRefusalCases{
    RefusalCase{"owner refused, no budget", Reason::kQueueFullTime, false, 0, 1, 0.0,
                Reason::kNone},
    RefusalCase{"server shed, no budget", Reason::kBackendShed, true, 1, 0, 0.0,
                Reason::kRetryBudget},
    RefusalCase{"server shed, budget", Reason::kBackendShed, true, 1, 0, 0.5, Reason::kNone},
    RefusalCase{"server shed, last attempt of the route", Reason::kBackendShed, true, 2, 0, 0.5,
                Reason::kBackendShed},
    RefusalCase{"owners refused as often as they may", Reason::kQueueFullTime, false, 0,
                kMaxRefusals, 0.5, Reason::kQueueFullTime},
    // Pattern: one request has crashed three servers of four at once, and the owners of these
    // refuse other requests.
    RefusalCase{"owners without their servers, refusals cost", Reason::kBackendUnreachable, false,
                0, 3, 0.0, Reason::kNone, false},
    RefusalCase{"owner refused, refusals cost, no budget", Reason::kQueueFullTime, false, 0, 1, 0.0,
                Reason::kRetryBudget, false},
    RefusalCase{"owners without their servers as often as they may", Reason::kBackendUnreachable,
                false, 0, kMaxRefusals, 0.5, Reason::kBackendUnreachable, false},
};

void TestRefusal(const RefusalCase& row) {
  Budgets budgets = MakeBudgets(row.retry_share, 0.0);
  budgets.refusals_are_free = row.refusals_are_free;
  RetryPolicy policy;
  policy.RecordFirstAttempt(TestService(), budgets, kStart);
  FailedAttempt failed = MakeFailedAttempt(row.reason, true, true, row.attempts);
  failed.reached_server = row.reached_server;
  failed.refusals = row.refusals;
  failed.max_attempts = 2;
  CPPUNIT_ASSERT(row.decision == policy.DecideRetry(failed, budgets, kStart));
}

const test::TableTest<RefusalCase> refusal_test("RetryRefusal", kRefusalCases, TestRefusal);

// A fleet whose nodes retry as much as their budgets allow. In some cases nodes restart, which
// refills their budgets.
struct FleetCase {
  std::string_view name;
  std::size_t nodes;
  double per_second;       // Calls to one service, by all nodes.
  double retry_allowance;  // Retries beyond the share, as in the platform's bound.
  double restarted_share;  // Fraction of the nodes that restart at the same moment, twice.
};

constexpr std::array kFleetCases{
    FleetCase{"nine nodes, ordinary load", 9, 75.0, 58.0, 0.0},
    FleetCase{"nine nodes, hardly any load", 9, 1.0, 58.0, 0.0},
    FleetCase{"nine nodes, herd restart", 9, 75.0, 58.0, 0.55},
    FleetCase{"nine nodes, hardly any load, herd restart", 9, 1.0, 58.0, 0.55},
    FleetCase{"87 nodes, ordinary load", 87, 840.0, 214.0, 0.0},
    FleetCase{"87 nodes, hardly any load", 87, 5.0, 214.0, 0.0},
    FleetCase{"87 nodes, hardly any load, herd restart", 87, 5.0, 214.0, 0.55},
};

// In each window of 10 s the retries must stay within a fifth of that window's calls plus the
// allowance. The platform's bound is wider: it counts the calls of the busier of neighbouring
// windows.
void TestFleet(const FleetCase& row) {
  constexpr int kSteps = 400;  // Of 100 ms.
  constexpr int kWindow = 100;
  constexpr int kAccumulationSteps = 180;
  Budgets budgets = MakeBudgets(0.1, 0.0);
  budgets.retry_floor = row.retry_allowance / 2.0 / static_cast<double>(row.nodes);
  std::vector<RetryBudget> nodes(row.nodes);
  RandomSource random(7);
  std::vector<double> calls(kSteps);
  std::vector<double> retries(kSteps);
  double due_calls = 0.0;
  for (int step = 0; step < kSteps; ++step) {
    const TimePoint now = kStart + std::chrono::milliseconds(100 * step);
    if (step == 200 || step == 240) {
      const auto restarted = static_cast<double>(row.nodes) * row.restarted_share;
      for (std::size_t node = 0; node < static_cast<std::size_t>(restarted); ++node) {
        nodes[node] = RetryBudget();
      }
    }
    for (due_calls += row.per_second / 10.0; due_calls >= 1.0; due_calls -= 1.0) {
      nodes[random.Below(nodes.size())].RecordFirstAttempt(budgets, now);
      calls[static_cast<std::size_t>(step)] += 1.0;
    }
    if (step < kAccumulationSteps) continue;  // No call fails, so tokens accumulate.
    for (RetryBudget& node : nodes) {
      while (node.TryConsumeRetry(budgets, now)) retries[static_cast<std::size_t>(step)] += 1.0;
    }
  }
  for (int end = kWindow; end <= kSteps; ++end) {
    const auto sum = [&](const std::vector<double>& counts) {
      return std::accumulate(counts.begin() + (end - kWindow), counts.begin() + end, 0.0);
    };
    const double bound = 0.2 * sum(calls) + row.retry_allowance;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(sum(retries)) + " retries, bound " +
                               std::to_string(bound) + ", window ends at step " +
                               std::to_string(end),
                           sum(retries) <= bound);
  }
}

const test::TableTest<FleetCase> fleet_test("FleetRetryBudget", kFleetCases, TestFleet);

// A chain of services: the servers of service k call service k + 1 through an ingress of their own.
// From level `refusing_from` on, owners refuse sends with probability `refusal_rate`.
class Chain {
 public:
  Chain(std::size_t depth, double refusal_rate, std::size_t refusing_from, std::uint64_t seed)
      : m_refusal_rate(refusal_rate),
        m_refusing_from(refusing_from),
        m_random(seed),
        m_policies(depth),
        attempts(depth),
        first_attempts(depth) {}

  // Returns whether the call was answered with a status below 500.
  bool Call(std::size_t level, TimePoint now) {
    if (level == m_policies.size()) return true;
    m_policies[level].RecordFirstAttempt(TestService(), m_budgets, now);
    ++first_attempts[level];
    for (std::size_t sends = 1;; ++sends) {
      ++attempts[level];
      const bool refused = level >= m_refusing_from && m_random.Unit() < m_refusal_rate;
      // A 5xx of the server counts as its response, also one passed on from the next level.
      if (!refused) return Call(level + 1, now);
      const Reason decision = m_policies[level].DecideRetry(
          MakeFailedAttempt(Reason::kQueueFullTime, true, true, sends), m_budgets, now);
      if (decision != Reason::kNone) return false;
    }
  }

 private:
  const double m_refusal_rate;
  const std::size_t m_refusing_from;
  RandomSource m_random;
  const Budgets m_budgets = MakeBudgets(0.1, 0.05);
  std::vector<RetryPolicy> m_policies;

 public:
  std::vector<std::size_t> attempts;
  std::vector<std::size_t> first_attempts;
};

}  // namespace

class RetryPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryPolicyTest);
  CPPUNIT_TEST(DecidesByReason);
  CPPUNIT_TEST(KeepsRetryShare);
  CPPUNIT_TEST(LetsQuietServiceRetry);
  CPPUNIT_TEST(NeverRetriesAtShareZero);
  CPPUNIT_TEST(AnswersUnknownWithoutBudget);
  CPPUNIT_TEST(SavesTokensForAStoppedServer);
  CPPUNIT_TEST(KeepsHedgeShare);
  CPPUNIT_TEST(HedgesAfterPercentile);
  CPPUNIT_TEST(DoesNotMultiplyAlongAChain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a non-idempotent call that may have run, and against retries
  // that cannot succeed.
  void DecidesByReason() {
    for (const DecisionCase& row : kDecisionCases) {
      RetryPolicy policy;
      const Reason decision = policy.DecideRetry(
          MakeFailedAttempt(row.reason, row.proved_not_run, row.idempotent, row.attempts),
          MakeBudgets(0.1, 0.05), kStart);
      CPPUNIT_ASSERT_MESSAGE(std::string(row.name), decision == row.decision);
    }
  }

  // Guards against retries that add load to an overloaded service.
  void KeepsRetryShare() {
    RetryPolicy policy;
    const Budgets budgets = MakeBudgets(0.1, 0.05);
    constexpr std::size_t kCalls = 20000;
    std::size_t retries = 0;
    for (std::size_t call = 0; call < kCalls; ++call) {
      const TimePoint now = kStart + std::chrono::milliseconds(call);
      policy.RecordFirstAttempt(TestService(), budgets, now);
      const Reason decision = policy.DecideRetry(
          MakeFailedAttempt(Reason::kQueueFullTime, true, true, 1), budgets, now);
      CPPUNIT_ASSERT(decision == Reason::kNone || decision == Reason::kRetryBudget);
      retries += decision == Reason::kNone ? 1 : 0;
    }
    std::cout << "  " << retries << " retries of " << kCalls << " calls\n";
    CPPUNIT_ASSERT(retries <= kCalls / 10 + 12);
    CPPUNIT_ASSERT(retries >= kCalls / 10);
  }

  void LetsQuietServiceRetry() {
    RetryPolicy policy;
    const Budgets budgets = MakeBudgets(0.1, 0.05);
    policy.RecordFirstAttempt(TestService(), budgets, kStart);
    CPPUNIT_ASSERT(policy.DecideRetry(MakeFailedAttempt(Reason::kDraining, true, false, 1), budgets,
                                      kStart) == Reason::kNone);
  }

  void NeverRetriesAtShareZero() {
    RetryPolicy policy;
    const Budgets budgets = MakeBudgets(0.0, 0.5);
    for (int call = 0; call < 1000; ++call) {
      const TimePoint now = kStart + std::chrono::seconds(call);
      policy.RecordFirstAttempt(TestService(), budgets, now);
      CPPUNIT_ASSERT(policy.DecideRetry(MakeFailedAttempt(Reason::kDraining, true, true, 1),
                                        budgets, now) == Reason::kRetryBudget);
      CPPUNIT_ASSERT(!policy.TryConsumeHedge(TestService(), budgets, now));
    }
  }

  // Guards against reporting a request as not run because there is no budget to retry it.
  void AnswersUnknownWithoutBudget() {
    RetryPolicy policy;
    CPPUNIT_ASSERT(policy.DecideRetry(MakeFailedAttempt(Reason::kBackendClosed, false, true, 1),
                                      MakeBudgets(0.0, 0.0), kStart) == Reason::kBackendClosed);
  }

  // Guards against a budget that is too small to retry the calls in flight when one of several
  // servers stops abruptly.
  void SavesTokensForAStoppedServer() {
    RetryPolicy policy;
    const Budgets budgets = MakeBudgets(0.1, 0.05);
    TimePoint now = kStart;
    for (int call = 0; call < 20000; ++call) {
      now += std::chrono::milliseconds(2);
      policy.RecordFirstAttempt(TestService(), budgets, now);
    }
    std::size_t retries = 0;
    while (policy.DecideRetry(MakeFailedAttempt(Reason::kLinkSilent, false, true, 1), budgets,
                              now) == Reason::kNone) {
      ++retries;
    }
    // A tenth of the calls of 10 s, plus the floor.
    CPPUNIT_ASSERT(retries >= 450 && retries <= 520);
  }

  void KeepsHedgeShare() {
    RetryPolicy policy;
    const Budgets budgets = MakeBudgets(0.1, 0.5);
    constexpr std::size_t kCalls = 20000;
    std::size_t hedges = 0;
    std::size_t retries = 0;
    for (std::size_t call = 0; call < kCalls; ++call) {
      const TimePoint now = kStart + std::chrono::milliseconds(call);
      policy.RecordFirstAttempt(TestService(), budgets, now);
      if (policy.TryConsumeHedge(TestService(), budgets, now)) ++hedges;
      if (policy.DecideRetry(MakeFailedAttempt(Reason::kDraining, true, true, 1), budgets, now) ==
          Reason::kNone) {
        ++retries;
      }
    }
    std::cout << "  " << hedges << " hedges and " << retries << " retries of " << kCalls
              << " calls\n";
    CPPUNIT_ASSERT(hedges <= kCalls / 20 + 6);
    CPPUNIT_ASSERT(hedges > 0);
    CPPUNIT_ASSERT(hedges + retries <= kCalls / 10 + 12);
  }

  void HedgesAfterPercentile() {
    RetryPolicy policy;
    CPPUNIT_ASSERT(!policy.HedgeDelay(TestService()));
    for (int response_ms = 1; response_ms <= 20; ++response_ms) {
      policy.RecordResponseTime(TestService(), std::chrono::milliseconds(response_ms));
    }
    CPPUNIT_ASSERT(!policy.HedgeDelay(TestService()));
    for (int round = 0; round < 20; ++round) {
      for (int response_ms = 1; response_ms <= 100; ++response_ms) {
        policy.RecordResponseTime(TestService(), std::chrono::milliseconds(response_ms));
      }
    }
    const Duration delay = policy.HedgeDelay(TestService()).value();
    CPPUNIT_ASSERT(delay >= std::chrono::milliseconds(88) &&
                   delay <= std::chrono::milliseconds(100));
  }

  // Guards against retries that multiply with the depth of a chain of calls.
  void DoesNotMultiplyAlongAChain() {
    constexpr std::size_t kDepth = 28;
    constexpr std::size_t kCalls = 5000;
    struct Row {
      double refusal_rate;
      std::size_t refusing_from;
    };
    for (const Row row : {Row{1.0, 0}, Row{1.0, kDepth - 1}, Row{0.05, 0}, Row{0.5, kDepth / 2}}) {
      constexpr std::uint64_t kSeed = 28;
      Chain chain(kDepth, row.refusal_rate, row.refusing_from, kSeed);
      for (std::size_t call = 0; call < kCalls; ++call) {
        chain.Call(0, kStart + std::chrono::milliseconds(10 * call));
      }
      std::size_t highest = 0;
      for (std::size_t level = 0; level < kDepth; ++level) {
        // The budget share, plus the initial floor and its refill over the 50 s.
        CPPUNIT_ASSERT(chain.attempts[level] <=
                       chain.first_attempts[level] + chain.first_attempts[level] / 10 + 16);
        CPPUNIT_ASSERT(chain.first_attempts[level] <= kCalls);
        highest = std::max(highest, chain.attempts[level]);
      }
      std::cout << "  refusals " << row.refusal_rate << " from level " << row.refusing_from
                << ": at most " << highest << " attempts a level for " << kCalls << " calls\n";
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryPolicyTest);

}  // namespace damaskhollow
