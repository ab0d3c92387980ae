#ifndef DAMASKHOLLOW_NODE_OWNERSERVICE_H_
#define DAMASKHOLLOW_NODE_OWNERSERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "declaration/declaration.h"
#include "metrics/metricsregistry.h"
#include "node/backendpool.h"
#include "node/keptanswers.h"
#include "node/messenger.h"
#include "node/viewgate.h"
#include "policy/admissionqueue.h"

namespace damaskhollow {

// Identifies this process to its peers.
struct NodeIdentity {
  BackendServerId server;
  Incarnation incarnation;
  WallTime started{};
};

// The owner role: the only way to the backend server beside this node. Its state is one shard under
// one lock. All members may be called from any thread.
class OwnerService : public BackendAnswers {
 public:
  OwnerService(NodeIdentity identity, MetricsRegistry& metrics, Messenger& messenger);

  // Must be called before the first message.
  void SetBackendPool(BackendPool* pool) { m_pool = pool; }

  // Applies a declaration: address, slots, priorities, limits of the backend server.
  void ApplyDeclaration(std::shared_ptr<const Declaration> declaration, std::uint64_t version);

  // Handles CallRequest, Cancel, StatusQuery and Credit.
  void HandleMessage(const ReplyRoute& route, wire::Envelope message);

  // Refuses new calls from now on; those queued and in flight are finished.
  void StartDrain();

  // Sets whether the backend server itself is leaving; it takes new calls again when it no longer
  // is, unless StartDrain was called.
  void SetBackendLeaving(bool leaving);

  // What the backend server's answers said in Damaskhollow-Drain since the last call of this: true
  // if any said that it leaves, false if they said that it does not, empty if none said anything.
  std::optional<bool> TakeDrainHeader();

  // New calls are refused and queued ones wait while the gate is closed. Must be called before the
  // first message.
  void SetViewGate(const ViewGate* gate) { m_gate = gate; }

  // Expires queued calls and forgets what is no longer needed. To be called every few milliseconds.
  void Tick(TimePoint now);

  wire::OwnerState State() const;
  bool IsDraining() const;
  // Whether no call is queued or running.
  bool IsIdle() const;

  void OnAnswerPart(OwnedCallId call, AnswerPart part) override;
  void OnAnswerFailed(OwnedCallId call, Reason reason, bool may_have_run) override;

 private:
  struct OwnedCall {
    CallKey key;
    ReplyRoute route;
    wire::CallRequest request;  // Without its body once it is dispatched.
    bool running = false;
    bool discard_answer = false;  // The ingress no longer waits for it.
    bool shed = false;
    std::uint32_t next_sequence = 0;
    AnswerTail tail;
  };

  // The members below expect m_lock to be held.
  void NoteDrainHeader(const HttpResponseHead& head);
  bool IsViewFresh(TimePoint now) const { return m_gate == nullptr || m_gate->IsOpen(now); }
  void HandleCallRequest(const ReplyRoute& route, wire::CallRequest request);
  void HandleCancel(const ReplyRoute& route, const wire::Cancel& cancel);
  void HandleStatusQuery(const ReplyRoute& route, const wire::StatusQuery& query);
  void HandleCredit(const ReplyRoute& route, const wire::Credit& credit);
  Reason CheckRequest(const CallKey& key, const wire::CallRequest& request, TimePoint now) const;
  void Dispatch(TimePoint now);
  void RunCall(OwnedCallId id, OwnedCall& call, TimePoint now);
  void Refuse(const ReplyRoute& route, std::uint64_t call_id, Reason reason);
  // Refuses a call that admission has taken out of its queue.
  void RefuseQueued(OwnedCallId id, Reason reason);
  void SendPart(OwnedCall& call, AnswerPart part);
  void FinishAnswered(OwnedCallId id, OwnedCall& call);
  void Finish(OwnedCallId id, SlotResult result);
  void AddTombstone(const CallKey& key, std::uint64_t expires_at_us, wire::CallState state);
  wire::CallState StateOfUnknownCall(const CallKey& key) const;
  wire::OwnerState LockedState() const;
  CallKey KeyOf(const ReplyRoute& route, std::uint64_t incarnation, std::uint64_t call_id) const;
  OwnedCall* FindCall(OwnedCallId id);

  struct Tombstone {
    std::uint64_t expires_at_us = 0;
    wire::CallState state = wire::CALL_STATE_DONE;
  };

  const NodeIdentity m_identity;
  MetricsRegistry& m_metrics;
  Messenger& m_messenger;
  BackendPool* m_pool = nullptr;
  const ViewGate* m_gate = nullptr;

  mutable std::mutex m_lock;
  std::shared_ptr<const Declaration> m_declaration;
  std::uint64_t m_version = 0;
  const Service* m_service = nullptr;  // In m_declaration.
  AdmissionQueue m_admission;
  std::map<OwnedCallId, OwnedCall> m_calls;
  std::map<CallKey, OwnedCallId> m_call_ids;
  std::map<CallKey, Tombstone> m_tombstones;
  std::uint64_t m_next_tombstone_sweep_us = 0;
  KeptAnswers m_kept;
  std::uint64_t m_next_call = 1;
  bool m_draining = false;  // By StartDrain.
  bool m_backend_leaving = false;
  std::optional<bool> m_drain_header;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_OWNERSERVICE_H_
