#include "support/callledger.h"

#include <cppunit/TestAssert.h>

#include <array>
#include <chrono>
#include <map>
#include <utility>

#include "support/patternbody.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

constexpr std::array<std::size_t, 4> kBodySizes{0, 10, 3000, 100000};
constexpr std::size_t kMaxServiceMs = 40;

}  // namespace

CallLedger::CallLedger(Fleet& fleet, std::vector<std::size_t> ingresses, double rate_per_second,
                       std::uint64_t seed)
    : m_fleet(fleet), m_ingresses(std::move(ingresses)), m_random(seed) {
  connect(&m_timer, &QTimer::timeout, this, &CallLedger::SendOne);
  m_timer.start(static_cast<int>(1000.0 / rate_per_second));
}

void CallLedger::SendOne() {
  const std::size_t index = m_calls.size();
  Call call;
  call.id = "ledger-" + std::to_string(index);
  call.idempotent = m_random.Below(2) == 0;
  call.bytes = kBodySizes[m_random.Below(kBodySizes.size())];
  const std::string target = std::string(call.idempotent ? "/read" : "/book") +
                             "?ms=" + std::to_string(m_random.Below(kMaxServiceMs)) +
                             "&bytes=" + std::to_string(call.bytes);
  const HttpRequest request =
      MakeRequest(call.idempotent ? "GET" : "POST", target, {{"X-Test-Id", call.id}});
  m_calls.push_back(std::move(call));
  m_fleet.Send(m_ingresses[m_random.Below(m_ingresses.size())], request,
               [this, index](const HttpResponse& response) {
                 m_calls[index].response = response;
                 m_calls[index].ended = true;
                 ++m_ended;
               });
}

bool CallLedger::Finish() {
  m_timer.stop();
  return WaitUntil([this] { return m_ended == m_calls.size(); });
}

RunCounts CallLedger::RunsOf(const std::string& id) const {
  RunCounts sum;
  for (const QJsonObject& runs : m_runs) {
    const QJsonObject counts = runs["ids"].toObject()[QString::fromStdString(id)].toObject();
    sum.ran += counts["ran"].toInt();
    sum.completed += counts["completed"].toInt();
  }
  return sum;
}

void CallLedger::CheckAll() {
  m_runs.clear();
  for (std::size_t server = 0; server < m_fleet.Size(); ++server) {
    m_runs.push_back(m_fleet.Runs(server));
  }
  for (const Call& call : m_calls) {
    const RunCounts runs = RunsOf(call.id);
    const std::string outcome = call.response.Outcome();
    const std::string text =
        call.id + ": " + call.response.Describe() + "; ran " + std::to_string(runs.ran);
    if (!call.idempotent) CPPUNIT_ASSERT_MESSAGE(text, runs.ran <= 1);
    if (outcome == "not-run" || outcome == "refused") {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, runs.ran);
    }
    if (outcome != "answered") continue;
    CPPUNIT_ASSERT_MESSAGE(text, runs.completed >= 1);
    CPPUNIT_ASSERT_MESSAGE(text, call.response.body == PatternBody(call.id, call.bytes));
  }
}

std::size_t CallLedger::Answered() const {
  std::size_t answered = 0;
  for (const Call& call : m_calls) {
    if (call.response.Outcome() == "answered") ++answered;
  }
  return answered;
}

std::string CallLedger::Summary() const {
  std::map<std::string, int> counts;
  for (const Call& call : m_calls) {
    ++counts[call.response.Outcome() + " " + call.response.ReasonName()];
  }
  std::string text;
  for (const auto& [name, count] : counts) text += name + " " + std::to_string(count) + "; ";
  return text;
}

}  // namespace damaskhollow::test
