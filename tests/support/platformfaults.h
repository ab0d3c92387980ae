#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFAULTS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFAULTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/randomsource.h"
#include "support/platformcallledger.h"
#include "support/platformfleet.h"

namespace damaskhollow::test {

// Begins and ends overlapping faults at random nodes of a PlatformFleet, reproducibly from a seed,
// and watches that no node ends by itself.
class PlatformFaults {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // The fleet has read the configuration of PutSoakConfiguration().
  PlatformFaults(PlatformFleet& fleet, std::uint64_t seed);

  // Injects the faults with these names only, at least one of which exists. Call before Run().
  void SelectKinds(const std::vector<std::string>& names);

  // Injects faults for `duration`, then waits until all of them have ended. Returns early when a
  // node has ended by itself or did not stop as it should.
  void Run(std::chrono::milliseconds duration);

  // Whether a call may be without an answer: its node was killed, paused or without descriptors
  // meanwhile, or had exited after SIGTERM. While a node stops, it may refuse connections, and
  // close an idle one that a request crosses; `has_run` tells whether an instance ran the request.
  bool MayLackAnswer(const PlatformCallLedger::Call& call, bool has_run) const;

  // Records the nodes that have ended by themselves. Returns false if there are any.
  bool CheckRunning();

  // The faults with their nodes and times.
  const std::string& History() const { return m_history; }
  // Nodes that ended by themselves or with another status than 0. Empty if there are none.
  const std::string& Failures() const { return m_failures; }
  // The largest number of open descriptors seen of each node.
  const std::vector<std::size_t>& MostDescriptors() const { return m_most_descriptors; }

 private:
  // How a fault affects the calls at its node.
  enum class Effect { kStopping, kNoAnswer };

  struct Kind {
    std::string_view name;
    // Whether the node has no other fault of this group at the same time.
    bool claims_node;
    void (PlatformFaults::*begin)(std::size_t node);
    // Null for a fault without a duration.
    void (PlatformFaults::*end)(std::size_t node);
  };
  struct ActiveFault {
    const Kind* kind;
    std::size_t node;
    Time due;
  };
  struct Period {
    std::size_t node;
    Effect effect;
    Time begin;
    Time end;
  };

  static std::vector<Kind> AllKinds();

  void BeginOne();
  void EndDue(Time now);
  // Whether a fault can end now: a node that stops has to exit first.
  bool CanEnd(const ActiveFault& fault);
  bool CanBegin(const Kind& kind, std::size_t node) const;
  bool IsActive(void (PlatformFaults::*begin)(std::size_t), std::size_t node) const;
  void Log(std::string_view what, std::size_t node);
  void Fail(std::size_t node, std::string_view what);
  void StartNode(std::size_t node);
  // Begins a period without end; ClosePeriod() ends the last such one of the node.
  void OpenPeriod(std::size_t node, Effect effect, Time begin);
  void ClosePeriod(std::size_t node, Time end);

  void BeginKill(std::size_t node);
  void EndKill(std::size_t node);
  void BeginStop(std::size_t node);
  void EndStop(std::size_t node);
  void BeginPause(std::size_t node);
  void EndPause(std::size_t node);
  void BeginShortage(std::size_t node);
  void EndShortage(std::size_t node);
  void BeginInterruptions(std::size_t node);
  void EndInterruptions(std::size_t node);
  void BeginOddEntry(std::size_t node);
  void EndOddEntry(std::size_t node);
  void BeginStoreDown(std::size_t node);
  void EndStoreDown(std::size_t node);
  void SendHangUp(std::size_t node);
  void ChangeConfiguration(std::size_t node);
  void BeginSignalSeries(std::size_t node);
  void EndSignalSeries(std::size_t node);
  // Sends the signals that are due.
  void ContinueSignalSeries(Time now);
  // Ends the pause of a signal series, if there is one.
  void ResumeNode(std::size_t node);

  PlatformFleet& m_fleet;
  RandomSource m_random;
  const Time m_began;
  std::vector<Kind> m_kinds;  // Not changed during a run, as active faults refer to it.
  std::vector<ActiveFault> m_active;
  std::vector<bool> m_is_down;                      // Nodes that were ended by a fault.
  std::vector<bool> m_is_stopping;                  // Nodes that have not exited yet after SIGTERM.
  std::vector<Time> m_started;                      // Last start of each node.
  std::vector<Time> m_next_signal;                  // Of the signal series of each node.
  std::vector<std::optional<Time>> m_paused_since;  // Nodes that a signal series has paused.
  std::vector<Period> m_periods;
  std::vector<std::size_t> m_most_descriptors;
  std::string m_history;
  std::string m_failures;
  int m_version = 2;
};

// Writes a configuration with the routes that PlatformCallLedger uses.
void PutSoakConfiguration(PlatformFleet& fleet, int version);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PLATFORMFAULTS_H_
