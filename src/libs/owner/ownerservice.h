#ifndef DAMASKHOLLOW_OWNER_OWNERSERVICE_H_
#define DAMASKHOLLOW_OWNER_OWNERSERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "calls/calllog.h"
#include "calls/messenger.h"
#include "calls/nodeidentity.h"
#include "calls/sharedcrashguard.h"
#include "calls/viewgate.h"
#include "declaration/declaration.h"
#include "http/callconvention.h"
#include "metrics/metricsregistry.h"
#include "owner/backendpool.h"
#include "owner/claimservice.h"
#include "owner/ownedcalls.h"
#include "owner/responsemarks.h"
#include "owner/retransmitcache.h"
#include "policy/admissionqueue.h"
#include "policy/coldstartlimiter.h"
#include "policy/occupiedslots.h"
#include "policy/pausedetector.h"
#include "policy/serverpacer.h"
#include "policy/suspectgate.h"

namespace damaskhollow {

// Implements the owner role: admits, queues and dispatches the calls to this node's backend server.
// No other node sends requests to that server. One lock guards the state; all public members may
// be called from any thread.
class OwnerService : public BackendResponseHandler {
 public:
  OwnerService(NodeIdentity identity, MetricsRegistry& metrics, Messenger& messenger,
               SharedCrashGuard& crash_guard, const CallConvention& convention,
               RequestLog& request_log);

  // Sets the connection pool to the backend server. Must be called before the first message.
  void SetBackendPool(BackendPool* pool) { m_pool = pool; }

  // Applies address, slots, priorities and limits of the backend server from a declaration.
  void ApplyDeclaration(std::shared_ptr<const Declaration> declaration, std::uint64_t version);

  // Handles CallRequest, Cancel, StatusQuery, Credit, LoadQuery, ClaimRelease and ClaimReleased
  // messages; ignores all others.
  void HandleMessage(const ReplyRoute& route, wire::Envelope message);

  // Called when a message sent by this service could not be handed to the network.
  void HandleSendFailed(const wire::Envelope& message);

  // Sets a function that starts a load probe of the backend server and reports the result through
  // OnProbedLoad or OnProbeFailed. The function may be called on any thread. Without it, load
  // queries are answered from the last reported load.
  void SetLoadProbe(std::function<void()> probe);
  // `cold_left` is how long the server stays cold, as far as the response told.
  void OnProbedLoad(const ServerLoad& load, Duration cold_left);
  void OnProbeFailed();

  // Records the state that another owner reported about itself.
  void RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state);

  // Sets the lookup of absent servers, which is backed by the fleet's membership. Without it, no
  // server counts as absent.
  void SetAbsentSince(AbsentSince absent_since);

  // Refuses new calls from now on; queued and running calls are finished.
  void StartDrain();

  // Refuses all calls that have not been dispatched, as not run. Running calls are finished.
  void RefuseWaitingCalls(Reason reason);

  // Sets whether the backend server itself is leaving. New and waiting calls are refused while it
  // is, as it may exit before they are answered; running calls are finished. Calls are accepted
  // again afterwards unless StartDrain was called.
  void SetBackendLeaving(bool leaving);

  // Does the same if the list of servers has the backend server as leaving. Peers know that from
  // the list, so it is not reported to them.
  void SetListedAsLeaving(bool leaving);

  // Returns and resets what the backend server's responses have announced in the Damaskhollow-Drain
  // header: true if any announced that the server is leaving, false if all headers announced that
  // it stays, empty if no response carried the header.
  std::optional<bool> PopDrainHeader();

  // Sets the gate that checks whether this node's view of the fleet is up to date. While it is
  // closed, new calls are refused and queued ones wait. Must be called before the first message.
  void SetViewGate(const ViewGate* gate) { m_view_gate = gate; }

  // Expires queued calls, dispatches calls that have become ready, and evicts outdated records.
  // Must be called every few milliseconds.
  void Tick(TimePoint now);

  // Returns the load and state that are reported to peers.
  wire::OwnerState State() const;

  // Whether new calls are refused because this node or its backend server is leaving.
  bool IsDraining() const;

  // Whether a call that was dispatched before this time is still running.
  bool HasRunningCallDispatchedBefore(TimePoint before) const;

  // Whether the service holds no call, in whatever state.
  bool IsIdle() const;

  void OnResponsePart(OwnedCallId call, ResponsePart part) override;
  void OnRequestFailed(OwnedCallId call, const RequestFailure& failure) override;

 private:
  // All member functions below expect m_lock to be held.

  // Takes over what the head of a response tells about the server.
  void RecordMarks(const ResponseMarks& marks);

  bool IsViewFresh(TimePoint now) const {
    return m_view_gate == nullptr || m_view_gate->IsOpen(now);
  }
  void HandleCallRequest(const ReplyRoute& route, wire::CallRequest request);
  void HandleCancel(const ReplyRoute& route, const wire::Cancel& cancel);
  void HandleStatusQuery(const ReplyRoute& route, const wire::StatusQuery& query);
  void HandleCredit(const ReplyRoute& route, const wire::Credit& credit);
  void HandleLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query);

  // Replies with the current load and with the expected time until the call would be answered.
  // Whether the call that the query describes would be refused for lack of time.
  bool WouldRefuse(const wire::LoadQuery& query) const;
  void AnswerLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query);

  // Ends the current probe and answers all load queries that wait for it.
  void AnswerLoadQueries();

  void RecordLoad(const ServerLoad& load, TimePoint now);

  // Starts a load probe unless one is running.
  void StartProbe();

  // Applies the bound on calls to a cold server, and what is known of a new or unreachable one.
  void ConfigureColdStart(const BackendServer& server, TimePoint now);
  void ResetServerState();
  // Brings the bound on starting calls in the admission queue up to date.
  void UpdateStartLimit(TimePoint now);
  // Slots that no request of an earlier process of this node may still occupy; at least one.
  std::size_t FreeSlots() const;
  // Whether the server has yet to report its load, before which nothing is dispatched to it.
  bool AwaitsFirstReport(TimePoint now);
  // Starts a load probe if calls wait and it is not known whether the server is cold.
  void AskForState(TimePoint now);

  // Decides whether an arriving call is accepted, refused or ignored as a duplicate.
  SendDecision CheckRequest(const CallKey& key, const wire::CallRequest& request,
                            TimePoint now) const;

  // Claims the request id of a call, then admits, refuses or replays the call. If other owners must
  // release the id first, the call waits for HandleClaimResults.
  void StartClaim(OwnedCallId id, OwnedCall& call, TimePoint now);

  // Admits or refuses the calls whose claims are decided.
  void HandleClaimResults(std::span<const ClaimResult> claims);

  // Queues a call for a slot of the backend server, or refuses it.
  void Admit(OwnedCallId id, TimePoint now);

  // Refuses a call that is banned for crashing backend servers, and holds it while another suspect
  // is queued or running. Returns false if the call may be admitted now.
  bool HoldOrRefuse(OwnedCallId id, OwnedCall& call);

  // Admits the held suspects that may run now, and refuses those that have expired.
  void AdmitHeldSuspects(TimePoint now);

  // Answers a call with the stored response to an earlier send of the same request.
  void Replay(OwnedCallId id, OwnedCall& call, const StoredResponse& answer);

  // Sends to the backend server the queued calls for which there are free slots.
  void Dispatch(TimePoint now);
  void RunCall(OwnedCallId id, OwnedCall& call, TimePoint now);

  // Reports to the ingress that a call was refused, or that it failed if it may have run.
  // `request_id_not_run` states that the call has a request id and that no send of it has run.
  void Refuse(const ReplyRoute& route, std::uint64_t call_id, Reason reason,
              std::string_view log_id, bool request_id_not_run = false);

  // Refuses a call that was not dispatched, and removes it.
  void RefuseNotRun(OwnedCallId id, Reason reason);

  void RefuseWaiting(Reason reason);

  // Whether the node or its backend server is leaving, by whatever source.
  bool IsLeaving() const { return m_draining || m_backend_leaving || m_listed_as_leaving; }

  // Refuses new and waiting calls while the data centre of the backend server is evacuated.
  void SetEvacuated(bool evacuated);

  // Refuses waiting calls whose service is not the one of the present backend server. This happens
  // when the VM's address is reassigned to a server of another service after the calls arrived.
  void RefuseCallsOfOtherServices();

  // Sends a part of a response to the ingress. `replayed_head` replaces the part's own head unless
  // it is null.
  void SendPart(OwnedCallId id, OwnedCall& call, ResponsePart part,
                const wire::ResponseHead* replayed_head);

  // Ends a call whose response is complete.
  void FinishAnswered(OwnedCallId id, OwnedCall& call);

  // Removes a dispatched call, frees its slot and dispatches the next calls.
  void Finish(OwnedCallId id, SlotResult result);

  wire::OwnerState LockedState() const;
  CallKey KeyOf(const ReplyRoute& route, std::uint64_t incarnation, std::uint64_t call_id) const;

  const NodeIdentity m_identity;
  MetricsRegistry& m_metrics;
  Messenger& m_messenger;
  SharedCrashGuard& m_crash_guard;
  const CallConvention& m_convention;
  CallLog m_log;
  BackendPool* m_pool = nullptr;
  const ViewGate* m_view_gate = nullptr;

  mutable std::mutex m_lock;
  std::shared_ptr<const Declaration> m_declaration;
  std::uint64_t m_configuration_version = 0;
  const Service* m_service = nullptr;  // Points into m_declaration.
  std::string m_instance;              // Incarnation of the backend server; empty if unknown.
  double m_slowness = 1.0;             // Last value reported by the backend server.
  ServerPacer m_pacer;
  ColdStartLimiter m_cold_start;
  bool m_has_cold_bound = false;
  bool m_listed_as_cold = false;  // According to the inventory.
  bool m_is_cold = false;         // Whether the server may be cold, so that the bound applies.
  OccupiedSlots m_occupied_slots;
  std::size_t m_in_flight_at_probe = 0;  // Own calls when the last load probe started.
  TimePoint m_state_asked_at{};
  std::function<void()> m_probe;
  bool m_is_probing = false;
  std::vector<std::pair<ReplyRoute, wire::LoadQuery>> m_load_queries;  // Waiting for a probe.
  AdmissionQueue m_admission;
  OwnedCalls m_calls;
  SuspectGate m_suspect_gate;
  ClaimService m_claims;
  PauseDetector m_pause_detector;
  TimePoint m_next_sweep{};
  RetransmitCache m_retransmits;
  bool m_draining = false;  // Set by StartDrain.
  bool m_backend_leaving = false;
  bool m_listed_as_leaving = false;
  bool m_evacuated = false;
  std::optional<bool> m_drain_header;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_OWNERSERVICE_H_
