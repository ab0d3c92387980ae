#include "support/platformcallledger.h"

#include <algorithm>
#include <array>
#include <numeric>

#include "support/patternbody.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

constexpr std::array<std::size_t, 4> kBodySizes{0, 10, 3000, 40000};
// Longer than the deadline of a call, so that a call without an answer is the node's failure.
constexpr milliseconds kCallTimeout{10000};
// Their number does not depend on the number of nodes, as one thread serves all instances.
constexpr std::size_t kBusyCallers = 16;
constexpr std::size_t kBusyGapMs = 20;
// Keeps callers of refusing nodes from sending most of the calls.
constexpr milliseconds kRetryDelay{200};
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// Statuses with which a node says that the request did not run.
constexpr std::array kNotRun{503, 429, 408, 421};
// Statuses that leave open whether the request ran.
constexpr std::array kUnknown{502, 504};

struct Route {
  std::string_view prefix;
  bool safe;
};

// Requests to /lost/ run, but the instance closes the connection without a response.
constexpr std::array kRoutes{Route{"/look/", true},   Route{"/look/", true},
                             Route{"/slow/", true},   Route{"/order/", false},
                             Route{"/order/", false}, Route{"/lost/", false}};

template <class Statuses>
bool Contains(const Statuses& statuses, int status) {
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

}  // namespace

PlatformCallLedger::PlatformCallLedger(PlatformFleet& fleet, double rate_per_second,
                                       std::uint64_t seed)
    : m_fleet(fleet), m_random(seed) {
  connect(&m_timer, &QTimer::timeout, this, &PlatformCallLedger::SendOne);
  m_timer.start(static_cast<int>(1000.0 / rate_per_second));
  for (std::size_t caller = 0; caller < kBusyCallers; ++caller) {
    Send(caller % fleet.Size(), m_busy);
  }
}

void PlatformCallLedger::SendOne() {
  HttpClient& client = m_random.Below(2) == 0 ? m_kept : m_fresh;
  Send(m_random.Below(m_fleet.Size()), client);
}

void PlatformCallLedger::SendNext(std::size_t node, int last_status) {
  const bool is_refused = last_status == 0 || last_status == kServiceUnavailable;
  const milliseconds delay = is_refused ? kRetryDelay : milliseconds(m_random.Below(kBusyGapMs));
  const std::size_t next = last_status == 0 ? m_random.Below(m_fleet.Size()) : node;
  QTimer::singleShot(delay, Qt::PreciseTimer, this, [this, next] {
    if (m_timer.isActive()) Send(next, m_busy);
  });
}

void PlatformCallLedger::Send(std::size_t node, HttpClient& client) {
  const std::size_t index = m_calls.size();
  const Route& route = kRoutes[m_random.Below(kRoutes.size())];
  const std::string id = "call-" + std::to_string(index);
  Call call;
  call.node = node;
  call.safe = route.safe;
  call.kept = &client != &m_fresh;
  call.target = std::string(route.prefix) + id;
  call.body = PatternBody(id, kBodySizes[m_random.Below(kBodySizes.size())]);
  call.began = std::chrono::steady_clock::now();
  const HttpRequest request = m_fleet.MakeOutboundRequest("POST", call.target, call.body);
  call.request_id = std::string(FindHeader(request.headers, "Request-Id"));
  const Endpoint& address = m_fleet.OutboundAddress(call.node);
  m_calls.push_back(std::move(call));
  const bool is_busy = &client == &m_busy;
  client.Send(address, request, kCallTimeout, [=, this](const HttpResponse& response) {
    m_calls[index].response = response;
    m_calls[index].ended = std::chrono::steady_clock::now();
    m_calls[index].has_ended = true;
    ++m_ended;
    if (is_busy) SendNext(m_calls[index].node, response.status);
  });
}

bool PlatformCallLedger::Finish() {
  m_timer.stop();
  return WaitUntil([this] { return m_ended == m_calls.size(); });
}

std::vector<std::string> PlatformCallLedger::Violations(
    const MayLackAnswer& may_lack_answer) const {
  std::map<std::string, std::vector<std::size_t>> runs;  // By target: the instances that ran it.
  for (std::size_t instance = 0; instance < m_fleet.Size(); ++instance) {
    for (const StandInInstance::Run& run : m_fleet.Instance(instance).Runs()) {
      runs[run.target].push_back(instance);
    }
  }
  std::vector<std::string> violations;
  for (const Call& call : m_calls) {
    const std::vector<std::size_t>& ran = runs[call.target];
    const std::string violation = ViolationOf(call, ran, may_lack_answer);
    if (violation.empty()) continue;
    std::string text =
        violation + ": " + call.target + " (" + call.request_id + ") at node " +
        std::to_string(call.node) + (call.kept ? ", kept" : ", fresh") + " connection, " +
        call.response.Describe() + ", failure " + std::string(InfoOf(call.response.failure).name) +
        ", sent body " + std::to_string(call.body.size()) + " bytes, steady time " +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(call.began.time_since_epoch()).count()) +
        " to " +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(call.ended.time_since_epoch()).count()) +
        " ms, ran at instances";
    for (const std::size_t instance : ran) text += " " + std::to_string(instance);
    violations.push_back(std::move(text));
  }
  return violations;
}

std::string PlatformCallLedger::ViolationOf(const Call& call, const std::vector<std::size_t>& runs,
                                            const MayLackAnswer& may_lack_answer) const {
  const int status = call.response.status;
  if (!call.has_ended) return "not ended";
  if (!call.safe && runs.size() > 1) return "unsafe request ran twice";
  if (status == 0 || !call.response.complete) {
    return may_lack_answer(call, !runs.empty()) ? "" : "no answer, or not a whole one";
  }
  if (Contains(kNotRun, status)) return runs.empty() ? "" : "refused request ran";
  if (Contains(kUnknown, status)) return "";
  if (status != kOk) return "unexpected status";
  if (call.response.Header("Request-Id") != call.request_id) return "answer with another id";
  const std::string expected = " " + call.target + " " + call.body;
  const bool is_own = std::any_of(runs.begin(), runs.end(), [&](const std::size_t instance) {
    return call.response.body == m_fleet.Instance(instance).Id() + expected;
  });
  return is_own ? "" : "body of another request, or changed";
}

std::size_t PlatformCallLedger::CountStatus(int status) const {
  return static_cast<std::size_t>(
      std::count_if(m_calls.begin(), m_calls.end(),
                    [&](const Call& call) { return call.response.status == status; }));
}

std::string PlatformCallLedger::Summary() const {
  std::map<int, int> counts;
  for (const Call& call : m_calls) ++counts[call.response.status];
  std::string text = std::to_string(m_calls.size()) + " calls;";
  for (const auto& [status, count] : counts) {
    text += " status " + std::to_string(status) + ": " + std::to_string(count);
  }
  return text;
}

}  // namespace damaskhollow::test
