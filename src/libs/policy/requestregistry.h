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

// Maximum difference between the wall clocks of callers and nodes.
constexpr std::chrono::milliseconds kClockAllowance{2000};
// How long a request id is accepted after its creation.
constexpr std::chrono::minutes kRequestIdAge{10};

// A response stored by the home of a request for replay. The head is in a serialized form that is
// opaque to the registry.
struct StoredResponse {
  std::string head;
  std::string body;

  std::size_t Bytes() const { return head.size() + body.size(); }
};

struct RegistryLimits {
  // About 250 bytes per entry, so 4 MB; sufficient for 27 requests with an id per second and home.
  std::size_t entries = 16384;
  std::size_t response_bytes = 8UL * 1024UL;
  std::size_t total_response_bytes = 1024UL * 1024UL;
};

// Decision of a home about a request with an id.
struct RequestDecision {
  enum class Kind {
    kAccept,        // May run; its end must be reported.
    kQueryServers,  // May run once all `servers_to_query` have released the id.
    kRefuse,        // Refused for `reason`.
    kReplay,        // Answered with `response`, valid until the next non-const call.
  };

  Kind kind = Kind::kRefuse;
  Reason reason = Reason::kNone;
  std::vector<BackendServerId> servers_to_query;
  const StoredResponse* response = nullptr;
};

// Reply to another home that requests the release of a request id.
struct ReleaseReply {
  bool released = false;
  Reason reason = Reason::kNone;  // Why it was not released.
};

// Records the requests with an id that ran at this node, and decides whether a request may run
// here, so that each runs at most once; docs/at-most-once.md gives the argument. Wall times are
// those of this node.
class RequestRegistry {
 public:
  RequestRegistry(BackendServerId self, WallTime started, RegistryLimits limits = {});

  // Sets the inventory of this node's service and the configuration version that it comes from.
  // Servers that leave the inventory are still queried until they are known to act on a version
  // without them.
  void SetInventory(std::span<const BackendServerId> members, std::uint64_t version, WallTime now);

  // Records which configuration version another server has in force.
  void RecordConfigurationVersion(const BackendServerId& server, Incarnation incarnation,
                                  std::uint64_t version, WallTime now);

  // Decides about an arriving request. After kAccept and kQueryServers the id counts as running
  // here. `digest` identifies the content of the request: an id that is reused for another request
  // is refused, as the stored response belongs to the first one.
  RequestDecision RegisterArrival(std::string_view request_id, std::string_view digest,
                                  const AbsentSince& absent_since, WallTime now);

  // Records that the request was refused before it ran, so it may run here or elsewhere later.
  void RecordNotRun(std::string_view request_id);

  // Records that the request ran. Its response is stored if it is small enough.
  void RecordResponse(std::string_view request_id, StoredResponse response);

  // Records that the request may have run and has no complete response. Repeated requests are
  // refused with `reason`.
  void RecordUnknownOutcome(std::string_view request_id, Reason reason);

  // Releases an id to another home, unless its request may have run here.
  ReleaseReply Release(std::string_view request_id, WallTime now);

  // Removes ids that would be refused as expired, and members that no longer need to be queried.
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
    std::string digest;  // Empty for an id released before a request arrived.
    State state = State::kRunning;
    Reason reason = Reason::kNone;  // For kDone without a response.
    std::optional<StoredResponse> response;
  };

  // A server that is in the inventory, or was when ids that are still accepted were created.
  struct Member {
    bool is_present = false;
    Incarnation incarnation;
    std::uint64_t version = 0;
    // Time since which the server is known to act on the same inventory as this node.
    std::optional<WallTime> agrees_since;
  };

  using Entries = std::map<Key, Entry>;

  // Updates whether the member acts on the same inventory as this node.
  void UpdateAgreement(Member& member, WallTime now) const;
  // Returns why an id with this creation time cannot be accepted; kNone if it can.
  Reason CheckTime(WallTime created, WallTime now) const;
  // Decides about a request whose id is already recorded.
  RequestDecision DecideKnown(const Entry& entry, std::string_view digest) const;
  // Returns the servers that must release the id before the request may run here.
  std::vector<BackendServerId> ServersToQuery(const Key& key,
                                              const AbsentSince& absent_since) const;
  Entries::iterator Find(std::string_view request_id);
  void StoreResponse(Entries::iterator entry, StoredResponse response);
  // Removes the oldest stored responses until at most `bytes` are left.
  void EvictResponsesAbove(std::size_t bytes);
  void SweepEntries();

  const BackendServerId m_self;
  const WallTime m_started;
  const RegistryLimits m_limits;
  std::map<BackendServerId, Member> m_members;  // Excludes this node.
  bool m_is_member = false;
  std::uint64_t m_inventory_version = 0;  // Version that introduced the current inventory.
  std::uint64_t m_version = 0;            // Version in force.
  // Latest time seen. If the wall clock is set back, an id that has been removed must not be
  // accepted as new again.
  WallTime m_latest{};
  Entries m_entries;                 // Ordered by creation time, oldest first.
  std::deque<Key> m_response_order;  // Ids of stored responses, oldest first.
  std::size_t m_response_bytes = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_REQUESTREGISTRY_H_
