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

// The result for a call that waited for other owners to release its request id.
struct ClaimResult {
  OwnedCallId call;
  Reason refusal = Reason::kNone;  // kNone if the call may run.
};

// How a call with a request id ended.
enum class ClaimOutcome {
  kNotRun,
  kRan,
  kMayHaveRun,
};

// Ensures together with the other owners of a service that a request id runs at most once: requests
// the release of an id from them, answers their release requests, and copies small responses into
// the request registry for replay. Not thread-safe; OwnerService calls it under its lock.
class ClaimService {
 public:
  ClaimService(BackendServerId self, WallTime started, Messenger& messenger);

  // Sets the lookup of absent servers, which is backed by the fleet's membership. Without it, no
  // server counts as absent.
  void SetAbsentSince(AbsentSince absent_since) { m_absent_since = std::move(absent_since); }

  // Sets the servers of this server's service from a declaration with the given version.
  void SetInventory(const Declaration& declaration, const ServiceId& service, std::uint64_t version,
                    WallTime wall);

  // Records the state that another owner reported about itself.
  void RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state, WallTime wall);

  // Decides whether a call with a request id may run. After kQueryServers, the decision follows as
  // a ClaimResult. After kAccept and kQueryServers, RecordOutcome must be called when the call
  // ends.
  RequestDecision Start(OwnedCallId call, const std::string& request_id, std::string_view digest,
                        TimePoint now, WallTime wall);

  // Whether the call was accepted as the first send of its request id that may run.
  bool IsAccepted(OwnedCallId call) const;

  // Appends a part of the call's response to the copy that is kept for replay.
  void RecordChunk(OwnedCallId call, const wire::ResponseChunk& chunk);

  // Records how a call ended. `reason` is used only with kMayHaveRun. Does nothing for a call
  // without a request id.
  void RecordOutcome(OwnedCallId call, ClaimOutcome outcome, Reason reason = Reason::kNone);

  // Answers another owner's request to release an id. `state` is the state of this owner, which is
  // sent along.
  void HandleRelease(const ReplyRoute& route, const wire::ClaimRelease& release,
                     const wire::OwnerState& state, WallTime wall);

  // Processes the reply to a release request. Returns the call that is decided by it, if any.
  std::vector<ClaimResult> HandleReleased(const BackendServerId& peer,
                                          const wire::ClaimReleased& released, WallTime wall);

  // Called when a ClaimRelease could not be handed to the network. Refuses the call that
  // waits for it.
  std::vector<ClaimResult> HandleSendFailed(const wire::ClaimRelease& release);

  // Refuses calls whose release requests have timed out, and erases expired request ids.
  std::vector<ClaimResult> Tick(TimePoint now, WallTime wall);

 private:
  struct Claim {
    std::string request_id;
    bool is_accepted = false;
    std::uint64_t query = 0;  // Id of the release query; 0 if none is pending.
    std::set<BackendServerId> awaited_peers;
    TimePoint timeout_at{};
    StoredResponse answer;  // The part received so far, up to the size limit.
  };

  // Ends a pending release query. kNone as the reason accepts the call.
  ClaimResult ResolveQuery(std::map<std::uint64_t, OwnedCallId>::iterator query, Reason refusal);

  Messenger& m_messenger;
  const RegistryLimits m_limits;
  RequestRegistry m_registry;
  AbsentSince m_absent_since;
  std::map<OwnedCallId, Claim> m_claims;
  std::map<std::uint64_t, OwnedCallId> m_queries;  // Pending queries by id.
  std::uint64_t m_next_query = 1;
  TimePoint m_next_sweep{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_CLAIMSERVICE_H_
