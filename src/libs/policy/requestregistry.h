#ifndef DAMASKHOLLOW_POLICY_REQUESTREGISTRY_H_
#define DAMASKHOLLOW_POLICY_REQUESTREGISTRY_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "policy/requesthome.h"

namespace damaskhollow {

// How far the wall clocks of callers and nodes may differ.
constexpr std::chrono::milliseconds kClockAllowance{2000};
// How long a request id can be used after its creation.
constexpr std::chrono::minutes kRequestIdAge{10};

// An answer as the home keeps it. The head is in a form that only the node knows.
struct StoredResponse {
  std::string head;
  std::string body;

  std::size_t Bytes() const { return head.size() + body.size(); }
};

struct RegistryLimits {
  // About 250 bytes each, so 4 MB; enough for 27 requests with an id per second and home.
  std::size_t entries = 16384;
  std::size_t response_bytes = 8UL * 1024UL;
  std::size_t total_response_bytes = 1024UL * 1024UL;
};

// What a home does with a request that carries an id.
struct RequestDecision {
  enum class Kind {
    kAccept,        // It may run; its end must be reported.
    kQueryServers,  // It may run once all of `ask` have given the id up.
    kRefuse,        // For `reason`.
    kReplay,        // With `answer`, which is valid until the next call of a non-const member.
  };

  Kind kind = Kind::kRefuse;
  Reason reason = Reason::kNone;
  std::vector<BackendServerId> servers_to_query;
  const StoredResponse* response = nullptr;
};

// A server's answer to another home that asks it to give a request id up.
struct ReleaseReply {
  bool released = false;
  Reason reason = Reason::kNone;  // Why it was not released.
};

// Remembers the requests with an id that ran at this node, and decides whether a request may run
// here. docs/at-most-once.md gives the argument. Wall times are this node's own.
class RequestRegistry {
 public:
  RequestRegistry(BackendServerId self, WallTime started, RegistryLimits limits = {});

  // The present inventory of this node's service, and the configuration version that it is from.
  // Servers that leave it are asked as well, until they are known to have left it themselves.
  void SetInventory(std::span<const BackendServerId> members, std::uint64_t version, WallTime now);

  // Notes which configuration version another server has in force.
  void RecordConfigurationVersion(const BackendServerId& server, Incarnation incarnation,
                                  std::uint64_t version, WallTime now);

  // Decides about a request that arrives. After kAccept and kQueryServers the id counts as running
  // here. `digest` is of the request: an id that comes back with another request is refused, as the
  // answer to the first one is not the answer to the second.
  RequestDecision RegisterArrival(std::string_view request_id, std::string_view digest,
                                  const AbsentSince& absent_since, WallTime now);

  // The request was refused before it ran, so it may run here or elsewhere later.
  void RecordNotRun(std::string_view request_id);

  // The request ran; its answer is kept if it is small enough.
  void RecordResponse(std::string_view request_id, StoredResponse response);

  // The request may have run and has no complete answer. Later sends get `reason`.
  void RecordUnknownOutcome(std::string_view request_id, Reason reason);

  // Gives an id up to another home, unless it may have run here.
  ReleaseReply Release(std::string_view request_id, WallTime now);

  // Forgets ids that would be refused as expired, and members that no longer matter.
  void Sweep(const AbsentSince& absent_since, WallTime now);

  std::size_t Count() const { return m_entries.size(); }

 private:
  enum class State { kRunning, kDone, kReleased };

  struct Key {
    WallTime created{};
    std::string id;

    auto operator<=>(const Key&) const = default;
  };

  struct Entry {
    std::string digest;  // Empty for an id that was released before a request came.
    State state = State::kRunning;
    Reason reason = Reason::kNone;  // Of kDone without an answer.
    std::optional<StoredResponse> response;
  };

  // A server that is in the inventory, or was while ids that still count were created.
  struct Member {
    bool is_present = false;
    Incarnation incarnation;
    std::uint64_t version = 0;
    // Since when the server is known to act on the same inventory as this node.
    std::optional<WallTime> agrees_since;
  };

  using Entries = std::map<Key, Entry>;

  void UpdateAgreement(Member& member, WallTime now) const;
  Reason CheckTime(WallTime created, WallTime now) const;
  RequestDecision DecideKnown(const Entry& entry, std::string_view digest) const;
  std::vector<BackendServerId> ServersToQuery(const Key& key,
                                              const AbsentSince& absent_since) const;
  Entries::iterator Find(std::string_view request_id);
  void StoreResponse(Entries::iterator entry, StoredResponse response);
  void EvictResponsesAbove(std::size_t bytes);
  void SweepEntries();

  const BackendServerId m_self;
  const WallTime m_started;
  const RegistryLimits m_limits;
  std::map<BackendServerId, Member> m_members;  // Without this node.
  bool m_is_member = false;
  std::uint64_t m_inventory_version = 0;  // The version that brought the present inventory.
  std::uint64_t m_version = 0;            // The version in force.
  // The latest time seen. A wall clock that is set back must not make a forgotten id young again.
  WallTime m_latest{};
  Entries m_entries;                 // By creation time, so that the oldest are first.
  std::deque<Key> m_response_order;  // Of kept answers, oldest first.
  std::size_t m_response_bytes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_REQUESTREGISTRY_H_
