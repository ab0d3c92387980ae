#include <cppunit/TestAssert.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "support/platformcallledger.h"
#include "support/platformfaults.h"
#include "support/platformfleet.h"
#include "support/tabletest.h"
#include "support/wait.h"

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr double kCallsPerSecond = 100.0;
// The platform's `stability`: this long after the last fault, all nodes must serve.
constexpr milliseconds kStability{4000};
// Connections that a node may keep beside those at its start: one for each slot of its instance,
// and two for each node, as a replaced link is closed by another thread.
constexpr std::size_t kLinkDescriptors = 2;
constexpr std::size_t kMostReported = 20;

struct SoakCase {
  std::string name;
  std::uint64_t seed = 0;
};

std::size_t NumberFromEnvironment(const char* variable, std::size_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : static_cast<std::size_t>(std::strtoull(text, nullptr, 10));
}

std::size_t Nodes() { return NumberFromEnvironment("DAMASKHOLLOW_SOAK_NODES", 4); }

milliseconds FaultTime() {
  return std::chrono::seconds(NumberFromEnvironment("DAMASKHOLLOW_SOAK_SECONDS", 15));
}

// The faults of a run by hand, separated by commas; empty for all faults.
std::vector<std::string> FaultNames() {
  const char* text = std::getenv("DAMASKHOLLOW_SOAK_FAULTS");
  std::istringstream list(text == nullptr ? "" : text);
  std::vector<std::string> names;
  for (std::string name; std::getline(list, name, ',');) names.push_back(name);
  return names;
}

std::vector<SoakCase> MakeCases() {
  const std::size_t first = NumberFromEnvironment("DAMASKHOLLOW_SOAK_FIRST_SEED", 1);
  const std::size_t count = NumberFromEnvironment("DAMASKHOLLOW_SOAK_SEEDS", 3);
  std::vector<SoakCase> cases;
  for (std::size_t seed = first; seed < first + count; ++seed) {
    cases.push_back({"seed " + std::to_string(seed), seed});
  }
  return cases;
}

std::vector<std::size_t> OpenDescriptors(PlatformFleet& fleet) {
  std::vector<std::size_t> counts;
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    counts.push_back(fleet.Node(node).OpenDescriptors());
  }
  return counts;
}

std::string Join(const std::vector<std::size_t>& counts) {
  std::string text;
  for (const std::size_t count : counts) text += " " + std::to_string(count);
  return text;
}

bool ServesAll(PlatformFleet& fleet) {
  for (std::size_t node = 0; node < fleet.Size(); ++node) {
    if (fleet.ReadyStatus(node) != kOk) return false;
    if (fleet.Call(node, "GET", "/look/serves").status != kOk) return false;
    if (fleet.Call(node, "POST", "/order/serves").status != kOk) return false;
  }
  return true;
}

// One row: a fleet, its faults and its calls.
class PlatformSoak {
 public:
  explicit PlatformSoak(const SoakCase& row)
      : m_row(row), m_fleet({.nodes = Nodes(), .two_regions = true, .interruptions = true}) {}

  void Run() {
    CPPUNIT_ASSERT_MESSAGE(Text("start"), m_fleet.Start());
    PutSoakConfiguration(m_fleet, 2);
    CPPUNIT_ASSERT_MESSAGE(Text("routes"), WaitUntil([&] { return ServesAll(m_fleet); }));
    const std::vector<std::size_t> before = OpenDescriptors(m_fleet);
    m_faults = std::make_unique<PlatformFaults>(m_fleet, m_row.seed);
    if (const std::vector<std::string> names = FaultNames(); !names.empty()) {
      m_faults->SelectKinds(names);
    }
    m_ledger = std::make_unique<PlatformCallLedger>(m_fleet, kCallsPerSecond, m_row.seed);
    m_faults->Run(FaultTime());
    const auto end = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_MESSAGE(Text("nodes"), m_faults->Failures().empty());
    const bool serves = WaitUntil([&] { return ServesAll(m_fleet); }, kStability);
    const auto serving = std::chrono::steady_clock::now();
    const bool ended = m_ledger->Finish();
    CheckCalls();
    CPPUNIT_ASSERT_MESSAGE(Text("all calls end"), ended);
    CPPUNIT_ASSERT_MESSAGE(Text("serves within 4 s of the last fault"),
                           serves && serving - end <= kStability);
    CPPUNIT_ASSERT_MESSAGE(Text("nodes"), m_faults->CheckRunning());
    CheckDescriptors(before);
  }

  std::string Text(const std::string& what) const {
    std::string text = m_row.name + ": " + what + '\n';
    if (m_ledger) text += m_ledger->Summary() + '\n';
    if (m_faults) text += m_faults->Failures() + m_faults->History();
    return text;
  }

  // Keeps the logs of the nodes, with the faults and failures beside them.
  void KeepLogs(const std::string& failure) {
    const std::string folder = m_fleet.KeepFolder();
    std::ofstream(folder + "/failure.txt") << failure;
    std::cout << m_row.name << ": logs in " << folder << std::endl;
  }

 private:
  void CheckCalls() {
    const std::vector<std::string> violations =
        m_ledger->Violations([this](const PlatformCallLedger::Call& call, bool has_run) {
          return m_faults->MayLackAnswer(call, has_run);
        });
    std::string text = std::to_string(violations.size()) + " calls\n";
    for (std::size_t index = 0; index < violations.size() && index < kMostReported; ++index) {
      text += violations[index] + '\n';
    }
    CPPUNIT_ASSERT_MESSAGE(Text(text), violations.empty());
    CPPUNIT_ASSERT_MESSAGE(Text("answered"), m_ledger->CountStatus(kOk) > m_ledger->Sent() / 2);
  }

  // Guards against descriptors that are never closed: without callers, each node has about as many
  // as at its start.
  void CheckDescriptors(const std::vector<std::size_t>& before) {
    const std::string summary = m_ledger->Summary();
    m_ledger.reset();
    const std::size_t margin = PlatformFleet::kSlots + kLinkDescriptors * m_fleet.Size();
    std::vector<std::size_t> after;
    const bool is_back = WaitUntil([&] {
      after = OpenDescriptors(m_fleet);
      for (std::size_t node = 0; node < after.size(); ++node) {
        if (after[node] > before[node] + margin) return false;
      }
      return true;
    });
    const std::string text = "descriptors before:" + Join(before) +
                             "; most:" + Join(m_faults->MostDescriptors()) +
                             "; after:" + Join(after);
    std::cout << "  " << m_row.name << ": " << summary << "; " << text << std::endl;
    CPPUNIT_ASSERT_MESSAGE(Text(text), is_back);
  }

  const SoakCase& m_row;
  PlatformFleet m_fleet;
  std::unique_ptr<PlatformFaults> m_faults;
  std::unique_ptr<PlatformCallLedger> m_ledger;
};

// Guards against nodes that end by themselves or break a guarantee of calls when faults overlap:
// interrupted system calls, missing descriptors, odd entries of the store, kills, stops, pauses and
// further signals while a node stops.
void KeepsServing(const SoakCase& row) {
  PlatformSoak soak(row);
  try {
    soak.Run();
  } catch (const CppUnit::Exception& failure) {
    soak.KeepLogs(failure.what());
    throw;
  }
}

const std::vector<SoakCase> cases = MakeCases();

const TableTest<SoakCase> registration("PlatformSoak", cases, &KeepsServing);

}  // namespace

}  // namespace damaskhollow::test
