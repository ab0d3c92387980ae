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

// Faults that are put into the world to show that the explorer would see them.
enum class InjectedFault {
  kNone,
  kNoExpiryCheck,
  kNoTombstoneCheck,
  kNoRestartCheck,
  kNoInventoryCheck,
};

// What went wrong in one run; empty when nothing did.
struct Violations {
  std::size_t ran_twice = 0;         // Non-idempotent requests that ran more than once.
  std::size_t ran_when_not_run = 0;  // Sends that ran although their caller was told "not run".
  std::size_t runs = 0;              // All runs, to show that the world does something.
  std::size_t not_run_reports = 0;
  std::size_t blocked_resends = 0;  // Resends that a registry kept from running.

  bool Any() const { return ran_twice + ran_when_not_run > 0; }
};

// A small fleet on a simulated clock: ingresses, owners and callers that send again. Every message
// may be lost, late or delivered twice, and every process may pause or restart, at each step.
class AtMostOnceSimulation {
 public:
  AtMostOnceSimulation(std::uint64_t seed, InjectedFault injected_fault);

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
    Incarnation only_for;  // Of the receiver; 0 for any.
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

  // What the world knows of a request; the nodes do not see it.
  struct Request {
    std::string id;  // Empty when the caller gave none.
    std::size_t sends = 0;
    std::size_t runs = 0;
    bool may_send = true;  // Without an id: not sent yet, or the last send was not run.
  };

  struct Attempt {
    std::size_t request = 0;
    std::size_t owner = 0;
    ExpiryStamp stamp;
    TimePoint abandoned_at{};
  };

  struct OwnedEntry {
    std::size_t ingress = 0;
    std::size_t request = 0;
    ExpiryStamp stamp;
    bool running = false;
    TimePoint done_at{};
    std::set<BackendServerId> pending_claims;
    std::uint64_t query = 0;
  };

  // One process with both roles.
  struct Node {
    BackendServerId id;
    Incarnation incarnation;
    Duration clock_offset{};  // Of its monotonic clock.
    Duration wall_offset{};
    TimePoint paused_until{};
    std::uint64_t version = 0;
    OwnerClocks clocks;
    std::map<CallId, Attempt> attempts;
    std::uint64_t next_call = 1;
    std::unique_ptr<SendGuard> guard;
    std::unique_ptr<RequestRegistry> registry;
    std::map<CallKey, OwnedEntry> owned;
    std::multimap<TimePoint, Message> inbox;  // By arrival.
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
