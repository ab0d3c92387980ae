#ifndef DAMASKHOLLOW_OWNER_CLAIMSERVICE_H_
#define DAMASKHOLLOW_OWNER_CLAIMSERVICE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "calls/messenger.h"
#include "declaration/declaration.h"
#include "policy/admissionqueue.h"
#include "policy/requestregistry.h"

namespace damaskhollow {

// A call that waited for other servers and may now run, or is refused.
struct ClaimResult {
  OwnedCallId call;
  Reason refusal = Reason::kNone;
};

// How a call with a request id ended.
enum class ClaimOutcome {
  kNotRun,
  kRan,
  kMayHaveRun,
};

// Runs the protocol of the request registry with other owners: asks them to release a request id,
// answers their questions, and copies small answers for the registry. Its user holds a lock around
// each member.
class ClaimService {
 public:
  ClaimService(BackendServerId self, WallTime started, Messenger& messenger);

  // From the fleet's membership; without it no server counts as absent.
  void SetAbsentSince(AbsentSince absent_since) { m_absent_since = std::move(absent_since); }

  // Takes the inventory of this server's service.
  void SetInventory(const Declaration& declaration, const ServiceId& service, std::uint64_t version,
                    WallTime wall);

  // Notes what another owner says of itself.
  void RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state, WallTime wall);

  // Decides about a call with a request id. After kAsk the call is named by a ClaimResult. After
  // kAccept and kAsk its end is to be reported by RecordOutcome.
  RequestDecision Start(OwnedCallId call, const std::string& request_id, std::string_view digest,
                        TimePoint now, WallTime wall);

  // Whether the call was accepted as the first of its request id that may run.
  bool IsAccepted(OwnedCallId call) const;

  // Copies a part of the call's answer.
  void RecordChunk(OwnedCallId call, const wire::ResponseChunk& chunk);

  // `reason` is for kMayHaveRun. Does nothing for a call without a request id.
  void RecordOutcome(OwnedCallId call, ClaimOutcome end, Reason reason = Reason::kNone);

  // Answers another home that asks for an id. `state` is this owner's own.
  void HandleRelease(const ReplyRoute& route, const wire::ClaimRelease& release,
                     const wire::OwnerState& state, WallTime wall);

  std::vector<ClaimResult> HandleReleased(const BackendServerId& peer,
                                          const wire::ClaimReleased& released, WallTime wall);

  // A ClaimRelease was not handed to the network.
  std::vector<ClaimResult> HandleSendFailed(const wire::ClaimRelease& release);

  // Gives up on servers that do not answer, and forgets old ids.
  std::vector<ClaimResult> Tick(TimePoint now, WallTime wall);

 private:
  struct Claim {
    std::string request_id;
    bool is_accepted = false;
    std::uint64_t query = 0;  // 0 when no answer is awaited.
    std::set<BackendServerId> awaited_peers;
    TimePoint timeout_at{};
    KeptRequestAnswer answer;  // What has arrived of it, up to the limit.
  };

  ClaimResult ResolveQuery(std::map<std::uint64_t, OwnedCallId>::iterator query, Reason refusal);

  Messenger& m_messenger;
  const RegistryLimits m_limits;
  RequestRegistry m_registry;
  AbsentSince m_absent_since;
  std::map<OwnedCallId, Claim> m_claims;
  std::map<std::uint64_t, OwnedCallId> m_queries;  // Those that await answers.
  std::uint64_t m_next_query = 1;
  TimePoint m_next_sweep{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_CLAIMSERVICE_H_
