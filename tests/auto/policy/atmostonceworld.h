#ifndef DAMASKHOLLOW_TESTS_AUTO_POLICY_ATMOSTONCEWORLD_H_
#define DAMASKHOLLOW_TESTS_AUTO_POLICY_ATMOSTONCEWORLD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/randomsource.h"
#include "policy/attemptverdict.h"
#include "policy/ownerclock.h"
#include "policy/requestregistry.h"
#include "policy/sendguard.h"

namespace damaskhollow::test {

// A check that the simulated nodes leave out, to show that the simulation detects its absence.
enum class InjectedFault {
  kNone,
  kNoExpiryCheck,
  kNoTombstoneCheck,
  kNoRestartCheck,
  kNoInventoryCheck,
};

// Violations of the at-most-once guarantee in one run, and counts that show that the run exercised
// it.
struct Violations {
  std::size_t ran_twice = 0;         // Non-idempotent requests that ran more than once.
  std::size_t ran_when_not_run = 0;  // Sends that ran although reported as not run.
  std::size_t runs = 0;              // All requests started by a server, repeats included.
  std::size_t not_run_reports = 0;   // Sends reported to their caller as not run.
  // Resends that a request registry refused or answered with a replay.
  std::size_t blocked_resends = 0;

  bool Any() const { return ran_twice + ran_when_not_run > 0; }
};

// Randomised simulation of a small fleet: callers that resend, and nodes that are both ingress and
// owner, on a simulated clock. Any message may be lost, delayed or delivered twice, and at each
// step any process may pause or restart. The same seed gives the same run.
class AtMostOnceSimulation {
 public:
  AtMostOnceSimulation(std::uint64_t seed, InjectedFault injected_fault);

  // Runs a fixed number of steps and returns what was observed.
  Violations Run();

 private:
  enum class Kind {
    kHello,
    kCall,
    kStatusQuery,
    kStatusResult,
    kRefused,
    kAnswered,
    kClaim,
    kClaimReply,
  };

  struct Message {
    Kind kind = Kind::kCall;
    std::size_t from = 0;
    std::size_t to = 0;
    Incarnation only_for;  // The receiving incarnation; 0 for any.
    CallKey key;
    ExpiryStamp stamp;
    std::size_t request = 0;
    Reason reason = Reason::kNone;
    CallProgress progress = CallProgress::kNeverSeen;
    Incarnation owner;
    std::uint64_t clock_us = 0;
    std::uint64_t version = 0;
    std::uint64_t query = 0;
    bool released = false;
  };

  // The simulation's own record of a request; only the id is visible to the nodes.
  struct Request {
    std::string id;  // Empty if the caller set none.
    std::size_t sends = 0;
    std::size_t runs = 0;
    bool may_send = true;  // For requests without an id: not sent yet, or last reported as not run.
  };

  // A send that its ingress has no result for yet.
  struct Attempt {
    std::size_t request = 0;
    std::size_t owner = 0;
    ExpiryStamp stamp;
    TimePoint abandoned_at{};
  };

  // A call that its owner has accepted. It may start once `pending_claims`, the servers that have
  // not released its request id yet, is empty.
  struct OwnedEntry {
    std::size_t ingress = 0;
    std::size_t request = 0;
    ExpiryStamp stamp;
    bool running = false;
    TimePoint done_at{};
    std::set<BackendServerId> pending_claims;
    std::uint64_t query = 0;
  };

  // A process that is both ingress and owner.
  struct Node {
    BackendServerId id;
    Incarnation incarnation;
    Duration clock_offset{};  // Of its monotonic clock.
    Duration wall_offset{};   // Of its wall clock.
    TimePoint paused_until{};
    std::uint64_t version = 0;
    OwnerClocks clocks;
    std::map<CallId, Attempt> attempts;
    std::uint64_t next_call = 1;
    std::unique_ptr<SendGuard> guard;
    std::unique_ptr<RequestRegistry> registry;
    std::map<CallKey, OwnedEntry> owned;
    std::multimap<TimePoint, Message> inbox;  // By arrival time.
  };

  void Start(std::size_t index, std::uint64_t version);
  void ApplyVersion(std::size_t index, std::uint64_t version);
  std::vector<BackendServerId> Inventory(std::uint64_t version) const;
  bool RemovedServersAreUpToDate() const;
  TimePoint ClockOf(const Node& node) const { return m_now + node.clock_offset; }
  WallTime WallTimeOf(const Node& node) const;
  bool OneIn(std::size_t count) { return m_random.Below(count) == 0; }

  void Post(Message message);
  void ApplyRandomEvents();
  void ApplyRandomNodeEvents(std::size_t index);
  void SendFromCallers();
  void SendCall(std::size_t ingress, std::size_t request);
  void Handle(std::size_t index, const Message& message);
  void HandleCall(std::size_t index, const Message& message);
  void Claim(std::size_t index, const Message& message, OwnedEntry& entry);
  void HandleStatusQuery(std::size_t index, const Message& message);
  void HandleStatusResult(std::size_t index, const Message& message);
  void HandleRefused(std::size_t index, const Message& message);
  void HandleClaimReply(std::size_t index, const Message& message);
  Message MakeReply(std::size_t index, const Message& original, Kind kind) const;
  void RefuseNotRun(std::size_t index, const CallKey& key, Reason reason);
  void Refuse(std::size_t index, std::size_t ingress, const CallKey& key,
              std::uint64_t expires_at_us, Reason reason);
  void Advance(std::size_t index);
  void AdvanceOwned(std::size_t index, const CallKey& key);
  void QueryAttempts(std::size_t index);
  void RunRequest(const CallKey& key, std::size_t request);
  void ReportNotRun(const CallKey& key, std::size_t request);

  const InjectedFault m_injected_fault;
  RandomSource m_random;
  TimePoint m_now{std::chrono::seconds(1000)};
  std::vector<Node> m_nodes;
  std::vector<Request> m_requests;
  std::set<CallKey> m_executed;
  std::set<CallKey> m_reported_not_run;
  std::uint64_t m_newest_version = 1;
  std::uint64_t m_next_incarnation = 1;
  std::uint64_t m_next_query = 1;
  Violations m_violations;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_POLICY_ATMOSTONCEWORLD_H_
