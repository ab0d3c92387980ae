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
#include "owner/retransmitcache.h"
#include "policy/admissionqueue.h"
#include "policy/pausedetector.h"
#include "policy/serverpacer.h"
#include "policy/suspectgate.h"

namespace damaskhollow {

// The owner role: the only way to the backend server beside this node. Its state is one shard under
// one lock. All members may be called from any thread.
class OwnerService : public BackendAnswerHandler {
 public:
  OwnerService(NodeIdentity identity, MetricsRegistry& metrics, Messenger& messenger,
               SharedCrashGuard& crash_guard, const CallConvention& convention,
               RequestLog& request_log);

  // Must be called before the first message.
  void SetBackendPool(BackendPool* pool) { m_pool = pool; }

  // Applies a declaration: address, slots, priorities, limits of the backend server.
  void ApplyDeclaration(std::shared_ptr<const Declaration> declaration, std::uint64_t version);

  // Handles CallRequest, Cancel, StatusQuery, Credit, ClaimRelease and ClaimReleased.
  void HandleMessage(const ReplyRoute& route, wire::Envelope message);

  // A message of this role was not handed to the network.
  void HandleSendFailed(const wire::Envelope& message);

  // `probe` asks the backend server for its load; OnProbedLoad is called with what it says, or
  // OnProbeFailed. Without it, load queries are answered with what is known. From any thread.
  void SetLoadProbe(std::function<void()> probe);
  void OnProbedLoad(const ServerLoad& load);
  void OnProbeFailed();

  // Notes what another owner says of itself.
  void RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state);

  // From the fleet's membership; without it no server counts as absent.
  void SetAbsentSince(AbsentSince absent_since);

  // Refuses new calls from now on; those queued and in flight are finished.
  void StartDrain();

  // Sets whether the backend server itself is leaving; it takes new calls again when it no longer
  // is, unless StartDrain was called.
  void SetBackendLeaving(bool leaving);

  // What the backend server's answers said in Damaskhollow-Drain since the last call of this: true
  // if any said that it leaves, false if they said that it does not, empty if none said anything.
  std::optional<bool> PopDrainHeader();

  // New calls are refused and queued ones wait while the gate is closed. Must be called before the
  // first message.
  void SetViewGate(const ViewGate* gate) { m_view_gate = gate; }

  // Expires queued calls and forgets what is no longer needed. To be called every few milliseconds.
  void Tick(TimePoint now);

  wire::OwnerState State() const;
  bool IsDraining() const;
  // Whether a call that was dispatched before this time still runs.
  bool HasRunningCallDispatchedBefore(TimePoint before) const;
  // Whether no call is queued or running.
  bool IsIdle() const;

  void OnAnswerPart(OwnedCallId call, AnswerPart part) override;
  void OnAnswerFailed(OwnedCallId call, Reason reason, bool may_have_run) override;

 private:
  // The members below expect m_lock to be held.
  void RecordDrainHeader(const HttpResponseHead& head);
  void RecordLoadHeader(const HttpResponseHead& head);
  bool IsMarkedNotRun(const HttpResponseHead& head) const;
  std::optional<ServerLoad> LoadFromHeader(const HttpResponseHead& head) const;
  // Whether a call was turned away for lack of room; so taken where the answer tells no load.
  bool IsServerFull(const HttpResponseHead& head) const;
  bool IsViewFresh(TimePoint now) const {
    return m_view_gate == nullptr || m_view_gate->IsOpen(now);
  }
  void HandleCallRequest(const ReplyRoute& route, wire::CallRequest request);
  void HandleCancel(const ReplyRoute& route, const wire::Cancel& cancel);
  void HandleStatusQuery(const ReplyRoute& route, const wire::StatusQuery& query);
  void HandleCredit(const ReplyRoute& route, const wire::Credit& credit);
  void HandleLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query);
  void AnswerLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query);
  void AnswerLoadQueries();
  void RecordServerLoad(const ServerLoad& load, TimePoint now);
  std::size_t PriorityIndexOf(const std::string& priority) const;
  void StartProbe();
  SendDecision CheckRequest(const CallKey& key, const wire::CallRequest& request,
                            TimePoint now) const;
  void StartClaim(OwnedCallId id, OwnedCall& call, TimePoint now);
  void HandleClaimResults(std::span<const ClaimResult> claims);
  void Admit(OwnedCallId id, TimePoint now);
  // Whether the call is refused or held back because it may crash the backend server.
  bool HoldOrRefuse(OwnedCallId id, OwnedCall& call);
  // Admits held suspects that may run now.
  void AdmitHeldSuspects(TimePoint now);
  void Replay(OwnedCallId id, OwnedCall& call, const KeptRequestAnswer& answer);
  void Dispatch(TimePoint now);
  void RunCall(OwnedCallId id, OwnedCall& call, TimePoint now);
  // `request_id_not_run`: the call has a request id, and no send of that id has run.
  void Refuse(const ReplyRoute& route, std::uint64_t call_id, Reason reason,
              std::string_view log_id, bool request_id_not_run = false);
  // Refuses a call that is not running, and forgets it.
  void RefuseNotRun(OwnedCallId id, Reason reason);
  // Refuses the calls that wait for another service than the server's, which has got the VM's
  // address since they arrived.
  void RefuseCallsOfOtherServices();
  // `replayed_head` stands for the part's own head if it is not null.
  void SendPart(OwnedCallId id, OwnedCall& call, AnswerPart part,
                const wire::ResponseHead* replayed_head);
  void FinishAnswered(OwnedCallId id, OwnedCall& call);
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
  const Service* m_service = nullptr;  // In m_declaration.
  std::string m_instance;              // Incarnation of the backend server, if known.
  double m_slowness = 1.0;             // As the backend server said last.
  ServerPacer m_pacer;
  std::function<void()> m_probe;
  bool m_is_probing = false;
  std::vector<std::pair<ReplyRoute, wire::LoadQuery>> m_load_queries;  // That wait for a probe.
  AdmissionQueue m_admission;
  OwnedCalls m_calls;
  SuspectGate m_suspect_gate;
  ClaimService m_claims;
  PauseDetector m_pause_detector;
  TimePoint m_next_sweep{};
  RetransmitCache m_retransmit_cache;
  bool m_draining = false;  // By StartDrain.
  bool m_backend_leaving = false;
  std::optional<bool> m_drain_header;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_OWNERSERVICE_H_
