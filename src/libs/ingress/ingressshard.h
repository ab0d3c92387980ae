#ifndef DAMASKHOLLOW_INGRESS_INGRESSSHARD_H_
#define DAMASKHOLLOW_INGRESS_INGRESSSHARD_H_

#include <QTimer>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "calls/attemptmessages.h"
#include "calls/calllog.h"
#include "calls/messenger.h"
#include "calls/nodeidentity.h"
#include "calls/sharedcrashguard.h"
#include "calls/sharedrouter.h"
#include "http/bodybudget.h"
#include "http/callerconnection.h"
#include "metrics/metricsregistry.h"
#include "policy/callclassifier.h"
#include "policy/requesthome.h"
#include "policy/retrypolicy.h"
#include "policy/splitpicker.h"

namespace damaskhollow {

// What the ingress shards of a node share. Each member may be used from any thread.
struct IngressContext {
  NodeIdentity identity;
  MetricsRegistry& metrics;
  Messenger& messenger;
  SharedRouter& router;
  SharedCrashGuard& crash_guard;
  BodyBudget& body_budget;
  std::atomic<std::shared_ptr<const Declaration>>& declaration;  // Null until one is accepted.
  std::atomic<std::size_t>& caller_connections;
  // Beyond it, only calls of the most urgent priority are taken.
  std::size_t max_caller_connections = 0;
  AbsentSince absent_since = {};
  const CallConvention& convention;
  ServiceId own_service;  // Of the calls that come in here.
  RequestLog& request_log;
  std::atomic<std::uint64_t>& version;  // Of the declaration.
};

// The calls of some caller connections, on one worker thread. All members run on that thread.
class IngressShard : public CallerEvents {
 public:
  // `index` of `count` shards; call ids tell their shard by the remainder.
  IngressShard(IngressContext context, std::size_t index, std::size_t count);
  ~IngressShard() override;

  // Takes over a connected socket.
  void AddCaller(qintptr descriptor);

  // Handles a message that belongs to an attempt of this shard.
  void HandleOwnerMessage(const BackendServerId& owner, const wire::Envelope& message);

  // The attempt's request was not handed to the network.
  void HandleSendFailed(CallId attempt);

  void HandleLinkDown(const BackendServerId& owner);
  void HandleLinkUp(const BackendServerId& owner);

  // Closes idle connections, and the others after their present answer.
  void CloseConnections();

  // Closes up to `count` connections that have not sent the whole head of a request, those that
  // have been awaited for longest first, if the node holds as many connections as it may.
  void MakeRoom(std::size_t count);

  std::size_t BodyLimit(const HttpRequest& head) const override;
  void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) override;
  void OnBadRequest(ExchangeId exchange, Reason reason) override;
  void OnBodySent(ExchangeId exchange, std::size_t bytes) override;
  void OnCallerGone(ConnectionId connection) override;

 private:
  // A call from its complete request to the end of its answer.
  struct PendingCall {
    HttpRequest request;
    std::string log_id;
    std::size_t body_bytes = 0;  // Reserved in the body budget.
    CallClass call_class;
    std::string digest;
    TimePoint started{};
    TimePoint deadline{};
    std::vector<BackendServerId> tried;
    std::size_t arrivals = 0;         // Ended attempts that reached or may have reached a server.
    std::size_t refusals = 0;         // Attempts that owners refused before that.
    std::vector<CallId> attempts;     // Those that still run.
    bool request_id_not_run = false;  // A home says that no send of the request id has run.
    CallId relayed;                   // The attempt whose answer goes to the caller; 0 for none.
    std::uint64_t question = 0;       // Names the load queries that are out; 0 for none.
    std::size_t unanswered = 0;       // Of them.
    std::vector<LoadOffer> offers;
    bool waiting = false;  // For a server that can take it.
    TimePoint waiting_until{};
    bool hedged = false;
    bool asked_at_deadline = false;  // Whether its owners were sent a Cancel at the deadline.
    Reason last_reason = Reason::kNone;
    Reason doubt = Reason::kNone;  // Why an ended attempt may have run.
  };

  // One sending of a call to an owner.
  struct Attempt {
    ExchangeId exchange;
    BackendServerId server;
    ExpiryStamp expiry;
    TimePoint sent{};
    std::uint32_t next_sequence = 0;
    bool in_doubt = false;  // Its link went silent.
    bool crosses_regions = false;
    std::uint32_t status = 0;
    bool is_error = false;  // The answer has a status of 500 or above.
  };

  // Whether the call is refused because its node holds too many caller connections.
  bool IsCrowdedOut(const CallClass& call_class) const;

  void Route(ExchangeId exchange, PendingCall& call);

  // Asks near owners for their load; false if the choice is to be made without.
  bool AskForLoad(ExchangeId exchange, PendingCall& call);
  void HandleLoadAnswer(const BackendServerId& owner, const wire::LoadAnswer& answer);
  void EndQuestion(ExchangeId exchange, PendingCall& call);
  void RouteTo(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice, TimePoint now);

  // Sends an idempotent call to another server while an attempt is in doubt, so that it does not
  // wait for the new link. The first answer counts.
  void RouteBeside(ExchangeId exchange);

  void SendAttempt(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice,
                   const ExpiryStamp& expiry);
  bool StartRelay(CallId id, const Attempt& attempt, const wire::ResponseHead& head);
  void NotePaidLinkBytes(std::size_t bytes);
  void HandleChunk(const wire::ResponseChunk& chunk);
  // Lets a call try a server again whose link was at fault.
  static void AllowReturn(PendingCall& call, const BackendServerId& server, Reason reason);
  void HandleNotRun(CallId attempt, Reason reason);
  void HandleUnknown(CallId attempt, Reason reason);
  void HandleStatus(const wire::StatusResult& status);
  void HandleCancelResult(const wire::CancelResult& cancelled);

  // kNone if the call may be sent again, which uses up budget; otherwise the reason to answer with.
  Reason DecideRetry(const PendingCall& call, Reason reason, bool proved_not_run);
  static std::size_t MostArrivals(const PendingCall& call);
  void RetryOrAnswer(ExchangeId exchange, PendingCall& call, Reason reason, bool proved_not_run);
  void SendHedge(ExchangeId exchange, PendingCall& call, TimePoint now);

  // A request with an id goes to its home, any other to where the router sends it.
  RoutingChoice Choose(const PendingCall& call, bool may_cross_regions);
  static RoutingRequest RequestOf(const PendingCall& call, bool may_cross_regions);
  AttemptKey NameOf(CallId id, const Attempt& attempt) const;
  void EndAttempt(CallId attempt, AttemptResult result);
  void CancelAttempts(PendingCall& call);
  void CancelOthers(PendingCall& call, CallId kept);

  // The reason that may be given to the caller: one that says not-run only if that is proved for
  // all attempts.
  static Reason ProvedReason(const PendingCall& call, Reason reason);

  // What the caller may conclude. For a call with a request id, not-run stands for all its sends,
  // so it needs the word of a home that accepted the id.
  static Outcome ProvedOutcome(const PendingCall& call, Reason reason);
  void NoteRequestIdNotRun(CallId id);
  void AnswerReason(ExchangeId exchange, Reason reason);
  void EndCall(ExchangeId exchange);
  void Tick();
  void CheckHedges(TimePoint now);
  void CheckDeadlines(TimePoint now);
  void CheckDeadline(ExchangeId exchange, PendingCall& call, TimePoint now);
  PendingCall* FindCall(ExchangeId exchange);
  Attempt* FindAttempt(CallId attempt);

  IngressContext m_context;
  const std::size_t m_index;
  const std::size_t m_count;
  std::uint64_t m_next_connection = 1;
  std::uint64_t m_next_attempt = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<CallerConnection>> m_connections;
  std::map<ExchangeId, PendingCall> m_calls;
  std::unordered_map<CallId, Attempt> m_attempts;
  std::unordered_map<std::uint64_t, ExchangeId> m_questions;
  RetryPolicy m_retries;  // Its budgets are those of this shard's part of the calls.
  Budgets m_budgets;      // Of the declaration that the last call came under.
  SplitPicker m_splits;
  RandomSource m_random;
  CallLog m_log;
  QTimer m_timer;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_INGRESSSHARD_H_
