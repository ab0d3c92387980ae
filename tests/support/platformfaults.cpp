#include "support/platformfaults.h"

#include <signal.h>

#include <algorithm>
#include <array>

#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kMinGap{100};
constexpr std::size_t kGapSpreadMs = 400;
constexpr milliseconds kMinLength{200};
constexpr std::size_t kLengthSpreadMs = 1500;
// The program ends by SIGTERM and SIGHUP until it has blocked them in its main().
constexpr milliseconds kSignalsBlocked{1000};
// The platform's `stability`: this long after its start, a node answers again.
constexpr milliseconds kStability{4000};
// Covers the time between the exit of a process and its detection by polling.
constexpr milliseconds kExitDetection{100};
// More than the grace that the platform gives a process.
constexpr milliseconds kExitTimeout{20000};
// Short, so that several signals meet the time in which a node stops.
constexpr std::size_t kSignalGapMs = 200;
constexpr std::array kSeriesSignals{SIGTERM, SIGHUP, SIGSTOP};
constexpr std::size_t kManyDescriptors = 4096;
constexpr std::size_t kTooLongBytes = 17000;  // The limit is 16 KB.
constexpr std::array kStoreModes{StandInStore::Mode::kBusy, StandInStore::Mode::kTooMany,
                                 StandInStore::Mode::kAborting, StandInStore::Mode::kSilent};
// ZeroMQ refuses to connect to the scoped address; 0.0.0.0 is the node itself.
constexpr std::array<std::string_view, 3> kOddAddresses{"127.0.0.200:80", "[fe80::1%a b]:80",
                                                        "0.0.0.0:80"};

std::string OddKey(std::size_t index) { return "servers/odd-" + std::to_string(index); }

}  // namespace

void PutSoakConfiguration(PlatformFleet& fleet, int version) {
  const std::string extra = "extra-" + std::to_string(version);
  const auto route = [](const std::string& name, std::string_view type) {
    return R"(,{"name":")" + name + R"(","hostname":"shop.test","prefix":"/)" + name +
           R"(/","routeType":")" + std::string(type) +
           R"(","service":"portal","timeout":"3s","slo":"600ms","priority":1,"attempts":2})";
  };
  fleet.PutConfiguration(version, route("order", "unsafe") + route(extra, "safe"));
}

PlatformFaults::PlatformFaults(PlatformFleet& fleet, std::uint64_t seed)
    : m_fleet(fleet),
      m_random(seed),
      m_began(std::chrono::steady_clock::now()),
      m_kinds(AllKinds()),
      m_is_down(fleet.Size()),
      m_is_stopping(fleet.Size()),
      m_started(fleet.Size(), m_began - kStability),
      m_next_signal(fleet.Size()),
      m_paused_since(fleet.Size()),
      m_most_descriptors(fleet.Size()) {}

std::vector<PlatformFaults::Kind> PlatformFaults::AllKinds() {
  using Faults = PlatformFaults;
  return {
      {"kill", true, &Faults::BeginKill, &Faults::EndKill},
      {"stop", true, &Faults::BeginStop, &Faults::EndStop},
      {"pause", true, &Faults::BeginPause, &Faults::EndPause},
      {"no descriptors", true, &Faults::BeginShortage, &Faults::EndShortage},
      {"interruptions", false, &Faults::BeginInterruptions, &Faults::EndInterruptions},
      {"odd entry", false, &Faults::BeginOddEntry, &Faults::EndOddEntry},
      {"store down", false, &Faults::BeginStoreDown, &Faults::EndStoreDown},
      {"hang-up", false, &Faults::SendHangUp, nullptr},
      {"configuration", false, &Faults::ChangeConfiguration, nullptr},
      {"signal series", false, &Faults::BeginSignalSeries, &Faults::EndSignalSeries},
  };
}

void PlatformFaults::SelectKinds(const std::vector<std::string>& names) {
  std::erase_if(m_kinds, [&](const Kind& kind) {
    return std::find(names.begin(), names.end(), kind.name) == names.end();
  });
}

void PlatformFaults::Run(milliseconds duration) {
  const Time end = std::chrono::steady_clock::now() + duration;
  Time next = std::chrono::steady_clock::now();
  while (m_failures.empty()) {
    const Time now = std::chrono::steady_clock::now();
    if (!CheckRunning()) return;
    EndDue(now);
    ContinueSignalSeries(now);
    if (now >= end && m_active.empty()) return;
    if (now >= next && now < end) {
      BeginOne();
      next = now + kMinGap + milliseconds(m_random.Below(kGapSpreadMs));
    }
    for (std::size_t node = 0; node < m_fleet.Size(); ++node) {
      m_most_descriptors[node] =
          std::max(m_most_descriptors[node], m_fleet.Node(node).OpenDescriptors());
    }
    RunFor(kTick);
  }
}

void PlatformFaults::BeginOne() {
  const Kind& kind = m_kinds[m_random.Below(m_kinds.size())];
  std::size_t node = m_random.Below(m_fleet.Size());
  const auto stopping = std::find(m_is_stopping.begin(), m_is_stopping.end(), true);
  // Half of the series go to a stopping node, as few nodes stop at a time.
  if (kind.begin == &PlatformFaults::BeginSignalSeries && stopping != m_is_stopping.end() &&
      m_random.Below(2) == 0) {
    node = static_cast<std::size_t>(stopping - m_is_stopping.begin());
  }
  const milliseconds length = kMinLength + milliseconds(m_random.Below(kLengthSpreadMs));
  if (!CanBegin(kind, node)) return;
  const Time now = std::chrono::steady_clock::now();
  Log(kind.name, node);
  if (kind.end != nullptr) m_active.push_back({&kind, node, now + length});
  (this->*kind.begin)(node);
}

bool PlatformFaults::CanBegin(const Kind& kind, std::size_t node) const {
  const auto now = std::chrono::steady_clock::now();
  const bool has_started = now - m_started[node] >= kSignalsBlocked;
  const bool is_same = std::any_of(m_active.begin(), m_active.end(), [&](const ActiveFault& fault) {
    return fault.kind == &kind && (kind.name == "store down" || fault.node == node);
  });
  if (is_same) return false;
  if (kind.end == nullptr) return !m_is_down[node] && has_started;
  if (!kind.claims_node) return true;
  const auto claimed = std::count_if(m_active.begin(), m_active.end(),
                                     [](const ActiveFault& f) { return f.kind->claims_node; });
  const bool is_claimed = std::any_of(m_active.begin(), m_active.end(), [&](const ActiveFault& f) {
    return f.kind->claims_node && f.node == node;
  });
  // At least one half of the nodes serves.
  return has_started && !is_claimed &&
         2 * (static_cast<std::size_t>(claimed) + 1) <= m_fleet.Size();
}

bool PlatformFaults::IsActive(void (PlatformFaults::*begin)(std::size_t), std::size_t node) const {
  return std::any_of(m_active.begin(), m_active.end(), [&](const ActiveFault& fault) {
    return fault.kind->begin == begin && fault.node == node;
  });
}

bool PlatformFaults::CanEnd(const ActiveFault& fault) {
  if (fault.kind->begin != &PlatformFaults::BeginStop) return true;
  if (!m_fleet.Node(fault.node).IsRunning()) return true;
  if (std::chrono::steady_clock::now() < fault.due + kExitTimeout) return false;
  Fail(fault.node, "did not exit after SIGTERM");
  return false;
}

void PlatformFaults::EndDue(Time now) {
  std::vector<ActiveFault> due;
  std::erase_if(m_active, [&](const ActiveFault& fault) {
    const bool is_due = now >= fault.due && CanEnd(fault);
    if (is_due) due.push_back(fault);
    return is_due;
  });
  for (const ActiveFault& fault : due) {
    Log("end of " + std::string(fault.kind->name), fault.node);
    (this->*fault.kind->end)(fault.node);
  }
}

void PlatformFaults::Log(std::string_view what, std::size_t node) {
  const auto now = std::chrono::steady_clock::now();
  const auto time = std::chrono::duration_cast<milliseconds>(now - m_began);
  const auto steady = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  m_history += std::to_string(time.count()) + " ms (steady " + std::to_string(steady.count()) +
               "): " + std::string(what) + ", node " + std::to_string(node) + '\n';
}

void PlatformFaults::Fail(std::size_t node, std::string_view what) {
  const Process& process = m_fleet.Node(node);
  Log("FAILURE " + std::string(what), node);
  m_failures += "node " + std::to_string(node) + " " + std::string(what) +
                (process.EndedBySignal() ? ", signal " : ", status ") +
                std::to_string(process.ExitStatus()) + '\n';
}

bool PlatformFaults::CheckRunning() {
  for (std::size_t node = 0; node < m_fleet.Size(); ++node) {
    if (m_is_stopping[node] && !m_fleet.Node(node).IsRunning()) {
      m_is_stopping[node] = false;
      const Time now = std::chrono::steady_clock::now();
      ClosePeriod(node, now);
      OpenPeriod(node, Effect::kNoAnswer, now - kExitDetection);
      Log("exit", node);
    }
    if (m_is_down[node] || m_fleet.Node(node).IsRunning()) continue;
    m_is_down[node] = true;
    Fail(node, "ended by itself");
  }
  return m_failures.empty();
}

bool PlatformFaults::MayLackAnswer(const PlatformCallLedger::Call& call, bool has_run) const {
  const bool is_refused =
      call.response.status == 0 && call.response.failure == Reason::kBackendUnreachable;
  // The request crosses the close of an idle connection by a stopping node, and is not passed on.
  const bool crosses_close = call.kept && !has_run && call.response.status == 0;
  return std::any_of(m_periods.begin(), m_periods.end(), [&](const Period& period) {
    if (period.node != call.node || call.ended < period.begin || call.began > period.end) {
      return false;
    }
    return period.effect == Effect::kNoAnswer || is_refused || crosses_close;
  });
}

void PlatformFaults::OpenPeriod(std::size_t node, Effect effect, Time begin) {
  m_periods.push_back({node, effect, begin, Time::max()});
}

void PlatformFaults::ClosePeriod(std::size_t node, Time end) {
  const auto found = std::find_if(m_periods.rbegin(), m_periods.rend(), [&](const Period& period) {
    return period.node == node && period.end == Time::max();
  });
  if (found != m_periods.rend()) found->end = end;
}

void PlatformFaults::StartNode(std::size_t node) {
  m_fleet.StartNode(node);
  m_is_down[node] = false;
  m_started[node] = std::chrono::steady_clock::now();
  ClosePeriod(node, m_started[node] + kStability);
}

void PlatformFaults::BeginKill(std::size_t node) {
  OpenPeriod(node, Effect::kNoAnswer, std::chrono::steady_clock::now());
  m_is_down[node] = true;
  m_fleet.Node(node).Kill();
  const Process& process = m_fleet.Node(node);
  // A node that ended just before has another status.
  if (!process.EndedBySignal() || process.ExitStatus() != SIGKILL) {
    Fail(node, "ended before a kill");
  }
}

void PlatformFaults::EndKill(std::size_t node) { StartNode(node); }

void PlatformFaults::BeginStop(std::size_t node) {
  OpenPeriod(node, Effect::kStopping, std::chrono::steady_clock::now());
  m_is_down[node] = true;
  m_is_stopping[node] = true;
  m_fleet.Node(node).Signal(SIGTERM);
}

void PlatformFaults::EndStop(std::size_t node) {
  const Process& process = m_fleet.Node(node);
  if (process.EndedBySignal() || process.ExitStatus() != 0) {
    Fail(node, "did not stop with status 0");
  }
  StartNode(node);
}

void PlatformFaults::BeginPause(std::size_t node) {
  OpenPeriod(node, Effect::kNoAnswer, std::chrono::steady_clock::now());
  m_fleet.Node(node).Signal(SIGSTOP);
}

void PlatformFaults::EndPause(std::size_t node) {
  m_fleet.Node(node).Signal(SIGCONT);
  ClosePeriod(node, std::chrono::steady_clock::now());
}

void PlatformFaults::BeginShortage(std::size_t node) {
  OpenPeriod(node, Effect::kNoAnswer, std::chrono::steady_clock::now());
  m_fleet.Node(node).TakeFreeDescriptors();
}

void PlatformFaults::EndShortage(std::size_t node) {
  m_fleet.Node(node).LimitDescriptors(kManyDescriptors);
  ClosePeriod(node, std::chrono::steady_clock::now());
}

void PlatformFaults::BeginInterruptions(std::size_t node) { m_fleet.BeginInterruptions(node); }

void PlatformFaults::EndInterruptions(std::size_t node) { m_fleet.EndInterruptions(node); }

void PlatformFaults::BeginOddEntry(std::size_t node) {
  const std::size_t kind = m_random.Below(kOddAddresses.size());
  m_fleet.Store().Put(
      OddKey(node),
      R"({"service":"portal","address":")" + std::string(kOddAddresses[kind]) +
          R"(","zone":"west-1","configVersion":"v1","slots":9,"state":"ready","cold":"0ms",)" +
          R"("seq":1,"born":1700000000000,"note":")" +
          std::string(kind == 0 ? kTooLongBytes : 0, 'x') + R"("})");
}

void PlatformFaults::EndOddEntry(std::size_t node) { m_fleet.Store().Delete(OddKey(node)); }

void PlatformFaults::BeginStoreDown(std::size_t) {
  m_fleet.Store().SetMode(kStoreModes[m_random.Below(kStoreModes.size())]);
}

void PlatformFaults::EndStoreDown(std::size_t) {
  m_fleet.Store().SetMode(StandInStore::Mode::kServing);
}

void PlatformFaults::SendHangUp(std::size_t node) { m_fleet.Node(node).Signal(SIGHUP); }

void PlatformFaults::ChangeConfiguration(std::size_t) {
  PutSoakConfiguration(m_fleet, ++m_version);
}

void PlatformFaults::BeginSignalSeries(std::size_t node) {
  m_next_signal[node] = std::chrono::steady_clock::now();
}

void PlatformFaults::EndSignalSeries(std::size_t node) { ResumeNode(node); }

void PlatformFaults::ContinueSignalSeries(Time now) {
  for (const ActiveFault& fault : m_active) {
    const std::size_t node = fault.node;
    if (fault.kind->begin != &PlatformFaults::BeginSignalSeries || now < m_next_signal[node]) {
      continue;
    }
    ResumeNode(node);
    m_next_signal[node] = now + kTick + milliseconds(m_random.Below(kSignalGapMs));
    const int signal = kSeriesSignals[m_random.Below(kSeriesSignals.size())];
    const bool is_too_early = signal == SIGHUP && now - m_started[node] < kSignalsBlocked;
    const bool is_stop = signal == SIGTERM && !m_is_stopping[node];
    if (is_too_early || is_stop || !m_fleet.Node(node).IsRunning()) continue;
    Log("signal " + std::to_string(signal) + (m_is_stopping[node] ? " to stopping" : ""), node);
    m_fleet.Node(node).Signal(signal);
    if (signal == SIGSTOP) m_paused_since[node] = now;
  }
}

void PlatformFaults::ResumeNode(std::size_t node) {
  if (!m_paused_since[node]) return;
  // A node that a fault pauses meanwhile is resumed by the end of that fault.
  if (!IsActive(&PlatformFaults::BeginPause, node)) m_fleet.Node(node).Signal(SIGCONT);
  Log("end of signal pause", node);
  m_periods.push_back(
      {node, Effect::kNoAnswer, *m_paused_since[node], std::chrono::steady_clock::now()});
  m_paused_since[node].reset();
}

}  // namespace damaskhollow::test
