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
#include "http/responsecheck.h"
#include "metrics/metricsregistry.h"
#include "policy/callclassifier.h"
#include "policy/requesthome.h"
#include "policy/retrypolicy.h"
#include "policy/splitpicker.h"

namespace damaskhollow {

// Dependencies and state shared by all ingress shards of a node. Each member may be used from any
// thread.
struct IngressContext {
  NodeIdentity identity;
  MetricsRegistry& metrics;
  Messenger& messenger;
  SharedRouter& router;
  SharedCrashGuard& crash_guard;
  BodyBudget& body_budget;
  std::atomic<std::shared_ptr<const Declaration>>& declaration;  // Null until one is accepted.
  std::atomic<std::size_t>& caller_connections;
  // Above this number of connections, only calls of the most urgent priority are accepted.
  const std::atomic<std::size_t>& max_caller_connections;
  // Connections that may wait for the end of their refusal beside those.
  const std::atomic<std::size_t>& max_refused_connections;
  // Brings both limits up to date. Called on the thread of IngressService.
  std::function<void()> update_connection_limits;
  AbsentSince absent_since = {};
  const CallConvention& convention;
  ServiceId own_service;  // The service whose calls arrive at this node.
  RequestLog& request_log;
  std::atomic<std::uint64_t>& version;  // Version of the declaration.
  // Memory that the process may use, in bytes; 0: bytes held for callers have no common limit.
  std::size_t memory_bytes = 0;
  // Bytes that all shards hold for callers. Not null if `memory_bytes` is set.
  std::atomic<std::size_t>* held_bytes = nullptr;
};

// Handles a subset of the caller connections and their calls on one worker thread: routes each call
// to an owner, retries and hedges it, and relays the response. All members must be called on that
// thread.
class IngressShard : public CallerEvents {
 public:
  // Creates shard `index` of `count`. Each call id modulo `count` is the index of its shard.
  IngressShard(IngressContext context, std::size_t index, std::size_t count);
  ~IngressShard() override;

  // Takes over a connected socket.
  void AddCaller(qintptr descriptor);

  // Handles a message that belongs to an attempt of this shard.
  void HandleOwnerMessage(const BackendServerId& owner, const wire::Envelope& message);

  // Handles an attempt whose request could not be handed to the network.
  void HandleSendFailed(CallId attempt);

  // Marks the attempts at `owner` as suspect and sends idempotent calls to another server as well.
  void HandleLinkDown(const BackendServerId& owner);
  // Queries `owner` for the state of attempts that are suspect since the link was lost.
  void HandleLinkUp(const BackendServerId& owner);

  // Closes idle connections at once and the others after their pending responses. Requests that are
  // complete only from now on are refused if their deadline is after `end`.
  void CloseConnections(TimePoint end);

  // Ends the calls that have not been dispatched, as the node stops before they could be answered.
  // A call that waits at an owner is refused once the owner has confirmed that it will not run;
  // running calls go on.
  void WithdrawWaitingCalls();

  // Ends the calls that are left when responses can no longer be relayed. Their outcome is unknown.
  void EndRemainingCalls();

  // Closes up to `count` connections on which no complete request head has been received, longest
  // waiting first. Does nothing while the node is below its connection limit.
  void CloseWaitingConnections(std::size_t count);

  std::size_t BodyLimit(const HttpRequest& head) const override;
  void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) override;
  void OnBadRequest(ExchangeId exchange, Reason reason) override;
  void OnBodySent(ExchangeId exchange, std::size_t bytes) override;
  void OnCallerDisconnected(ConnectionId connection) override;

 private:
  // A call, from the receipt of its complete request to the end of its response.
  struct PendingCall {
    HttpRequest request;
    std::string log_id;
    std::size_t body_bytes = 0;  // Reserved in the body budget.
    CallClass call_class;
    std::string digest;
    TimePoint started{};
    TimePoint deadline{};
    std::vector<BackendServerId> tried;
    // Ended attempts that reached or may have reached a server.
    std::size_t arrivals = 0;
    std::size_t refusals = 0;              // Attempts refused before reaching a server.
    std::vector<CallId> attempts;          // Attempts in progress.
    bool request_id_not_run = false;       // A home reported that the request id has not run.
    CallId relayed_attempt;                // Attempt whose response is relayed; 0 for none.
    std::uint64_t load_query_id = 0;       // Of the load queries in progress; 0 for none.
    std::size_t pending_load_replies = 0;  // Load queries without a reply.
    QueryScope query_scope = QueryScope::kOwnDataCentre;  // Of the load queries in progress.
    std::vector<LoadEstimate> estimates;
    bool waiting = false;  // For a server that can accept the call.
    TimePoint waiting_until{};
    bool hedged = false;
    bool cancelled_at_deadline = false;  // Whether Cancel was sent at the deadline.
    Reason last_reason = Reason::kNone;
    Reason unknown_outcome_reason = Reason::kNone;  // Why an ended attempt may have run.
  };

  // One transmission of a call to an owner.
  struct Attempt {
    ExchangeId exchange;
    BackendServerId server;
    ExpiryStamp expiry;
    TimePoint sent{};
    std::uint32_t next_sequence = 0;
    bool is_suspect = false;  // Its link was lost; the owner's status is awaited.
    bool crosses_regions = false;
    std::uint32_t status = 0;
    bool is_error = false;  // The response has a status of 500 or above.
  };

  // Classifies a call that was received and sends it to an owner, or refuses it.
  void Begin(ExchangeId exchange, PendingCall& call);

  // Whether the call must be refused because the node has too many caller connections. Calls of the
  // most urgent priority are exempt.
  bool ExceedsConnectionLimit(const CallClass& call_class) const;

  void Route(ExchangeId exchange, PendingCall& call);

  // Queries owners of the own data centre for their load, or those of the region if there are none;
  // returns false if the server is to be chosen without.
  bool QueryLoad(ExchangeId exchange, PendingCall& call);
  // Returns false if there is no server to query in `scope`.
  bool QueryLoadIn(QueryScope scope, ExchangeId exchange, PendingCall& call);
  void HandleLoadAnswer(const BackendServerId& owner, const wire::LoadAnswer& answer);
  void FinishLoadQuery(ExchangeId exchange, PendingCall& call);
  // How long a call waits for a reachable server.
  Duration MaxServerWait(const PendingCall& call) const;
  void RouteTo(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice, TimePoint now);

  // Sends an idempotent call to another server while an attempt is suspect, instead of waiting for
  // the link to be replaced. The first response is relayed.
  void RouteSpeculatively(ExchangeId exchange);

  void SendAttempt(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice,
                   const ExpiryStamp& expiry);

  // Starts to relay the response of an attempt and cancels the others; returns false if another
  // attempt is relayed already.
  bool StartRelay(CallId id, const Attempt& attempt, const wire::ResponseHead& head);
  void RecordPaidLinkBytes(std::size_t bytes);
  // Fails an attempt whose owner sent an invalid response head.
  void RejectResponse(CallId id, ResponseFault fault);
  void HandleChunk(const wire::ResponseChunk& chunk);

  // Permits another attempt at `server` if `reason` is a fault of the link, not of the server.
  static void AllowRetryOnServer(PendingCall& call, const BackendServerId& server, Reason reason);

  // Ends an attempt that is proven not to have run.
  void HandleNotRun(CallId attempt, Reason reason);

  // Ends an attempt that may have run.
  void HandleUnknownOutcome(CallId attempt, Reason reason);
  void HandleStatus(const wire::StatusResult& status);
  void HandleCancelResult(const wire::CancelResult& cancelled);

  // Returns kNone if the call may be retried, which consumes retry budget; otherwise the reason to
  // report to the caller.
  Reason DecideRetry(const PendingCall& call, Reason reason, bool proved_not_run);
  static std::size_t MaxArrivals(const PendingCall& call);

  // Retries the call after its last attempt ended, or responds with a reason.
  void RetryOrAnswer(ExchangeId exchange, PendingCall& call, Reason reason, bool proved_not_run);
  void SendHedge(ExchangeId exchange, PendingCall& call, TimePoint now);

  // Chooses a server: the home of the request id if there is one, otherwise the router's choice.
  RoutingChoice Choose(const PendingCall& call, bool may_cross_regions);
  static RoutingRequest RequestOf(const PendingCall& call, bool may_cross_regions);
  AttemptKey NameOf(CallId id, const Attempt& attempt) const;
  void EndAttempt(CallId attempt, AttemptResult result);
  void CancelAttempts(PendingCall& call);
  void CancelOthers(PendingCall& call, CallId kept);
  // Asks the owner of an attempt to cancel it unless it runs.
  void SendWithdrawal(CallId id, const Attempt& attempt);
  std::vector<ExchangeId> PendingExchanges() const;

  // The reason to report to the caller. A reason with the outcome not-run is replaced unless it is
  // proven that no attempt has run.
  static Reason ReportableReason(const PendingCall& call, Reason reason);

  // The outcome to report to the caller. For a call with a request id, not-run covers every send of
  // that id, so it must be confirmed by a home that accepted the id.
  static Outcome ReportableOutcome(const PendingCall& call, Reason reason);
  void RecordRequestIdNotRun(CallId id);
  void RespondWithReason(ExchangeId exchange, Reason reason);
  // The delay after which the caller of a refused call is told to come back.
  std::chrono::milliseconds RetryAfter(const PendingCall& call);
  void EndCall(ExchangeId exchange);
  void Tick();

  // Counts the bytes held for callers, and closes the connections that hold most while those of all
  // shards exceed their share of the memory.
  void CheckCallerMemory();
  void CheckHedges(TimePoint now);
  void CheckDeadlines(TimePoint now);

  // Sends Cancel for the attempts of a call past its deadline, and ends the call after a grace
  // period.
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
  std::unordered_map<std::uint64_t, ExchangeId> m_load_queries;
  RetryPolicy m_retries;  // Budgets cover the calls of this shard only.
  Budgets m_budgets;      // From the declaration that applied to the last call.
  SplitPicker m_splits;
  RandomSource m_random;
  CallLog m_log;
  QTimer m_timer;
  QTimer m_memory_timer;         // Also runs without calls, as callers may send only parts of them.
  std::size_t m_held_bytes = 0;  // This shard's part of IngressContext::held_bytes.
  std::optional<TimePoint> m_closing_end;  // Set while the node stops.
  bool m_is_withdrawing = false;           // No call is sent to an owner any more.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_INGRESSSHARD_H_
