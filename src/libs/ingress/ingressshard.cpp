#include "ingress/ingressshard.h"

#include <algorithm>
#include <utility>

#include "calls/callheaders.h"
#include "logging/logger.h"
#include "policy/attemptverdict.h"
#include "policy/callermemory.h"
#include "policy/retryafter.h"
#include "runtime/errorboundary.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
// Between two checks of the bytes held for callers. A link of 200 Mbit/s carries 1.3 MB in this
// time.
constexpr std::chrono::milliseconds kMemoryCheckInterval{50};
// Maximum time that a call waits for a reachable server, for instance while a silent link is
// replaced.
constexpr std::chrono::milliseconds kMaxServerWait{1000};
// With early refusal, a call waits for this part of its target, as a divisor, so that its caller
// can come back and still be served within the target.
constexpr int kEarlyRefusalDivisor = 4;
// Time after the deadline in which the owner's result, or its reply to Cancel, can still arrive. It
// covers links between regions.
constexpr std::chrono::milliseconds kDeadlineGrace{200};
// Owners queried for their load before a choice. Two more than two random ones hardly improve the
// choice; the third covers an owner that does not reply.
constexpr std::size_t kLoadQueryServers = 3;
// Covers a round trip within a region and a probe of the backend server by its owner.
constexpr std::chrono::milliseconds kLoadQueryTimeout{15};
// Per caller connection. More than browsers used to pipeline, and few enough that the responses
// buffered until their turn stay small.
constexpr std::size_t kMaxPipelinedRequests = 8;
constexpr std::size_t kDefaultBodyLimit = 1024UL * 1024UL;
constexpr std::uint32_t kFirstErrorStatus = 500;
static_assert(static_cast<int>(CallProgress::kNeverSeen) == wire::CALL_STATE_NEVER_SEEN &&
              static_cast<int>(CallProgress::kQueued) == wire::CALL_STATE_QUEUED &&
              static_cast<int>(CallProgress::kRunning) == wire::CALL_STATE_RUNNING &&
              static_cast<int>(CallProgress::kDone) == wire::CALL_STATE_DONE &&
              static_cast<int>(CallProgress::kCancelled) == wire::CALL_STATE_CANCELLED);

CallerLimits LimitsOf(const CallerBounds& bounds) {
  const auto milliseconds = [](Duration time) {
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  CallerLimits limits;
  if (bounds.header_bytes > 0) limits.header_bytes = bounds.header_bytes;
  if (bounds.header_timeout.count() > 0) {
    limits.header_timeout_ms = milliseconds(bounds.header_timeout);
  }
  if (bounds.idle_timeout.count() > 0) limits.idle_timeout_ms = milliseconds(bounds.idle_timeout);
  return limits;
}

std::int64_t ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::uint64_t MicrosecondsLeft(Duration time) {
  return static_cast<std::uint64_t>(std::max<Duration::rep>(time.count(), 0));
}

// The result of an attempt that an owner refused before it ran.
AttemptResult ResultOfRefusal(Reason reason) {
  // An owner whose backend server is unreachable refuses at once. kNoBackend keeps that short
  // response time from attracting calls.
  if (reason == Reason::kBackendUnreachable) return AttemptResult::kNoBackend;
  const bool is_overloaded = reason == Reason::kQueueFullTime || reason == Reason::kBackendShed;
  return is_overloaded ? AttemptResult::kOverloaded : AttemptResult::kRefused;
}

// Whether an attempt that was not run reached the backend server, which refused it.
bool ReachedServer(Reason reason) { return reason == Reason::kBackendShed; }

// Whether the failure is due to the link, not the server, so that the server may be tried again.
bool IsLinkFault(Reason reason) {
  return reason == Reason::kLinkSilent || reason == Reason::kLinkUnavailable;
}

}  // namespace

IngressShard::IngressShard(IngressContext context, std::size_t index, std::size_t count)
    : m_context(std::move(context)),
      m_index(index),
      m_count(count),
      m_random(SystemSeed()),
      m_log(m_context.request_log, LogPart::kIngress) {
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { Tick(); });
  if (m_context.memory_bytes == 0) return;
  QObject::connect(&m_memory_timer, &QTimer::timeout, &m_memory_timer,
                   [this] { CheckCallerMemory(); });
  m_memory_timer.start(kMemoryCheckInterval);
}

IngressShard::~IngressShard() = default;

void IngressShard::AddCaller(qintptr descriptor) {
  const ConnectionId id{m_next_connection++};
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  CallerLimits limits = declaration ? LimitsOf(declaration->caller_bounds) : CallerLimits{};
  limits.max_pipelined_requests = kMaxPipelinedRequests;
  m_connections.emplace(
      id, std::make_unique<CallerConnection>(id, descriptor, limits, m_context.body_budget, *this));
}

std::size_t IngressShard::BodyLimit(const HttpRequest& head) const {
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  if (!declaration) return kDefaultBodyLimit;
  return MaxBodyBytes(*declaration, DescribeCall(head, m_context.convention), kDefaultBodyLimit);
}

void IngressShard::OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) {
  m_context.metrics.Add(Metric::kCallsAccepted);
  PendingCall& call = m_calls[exchange];
  call.request = std::move(request);
  call.body_bytes = body_bytes;
  call.started = MonotonicNow();
  call.log_id = LogIdOf(call.request, m_context.convention);
  if (!m_timer.isActive()) m_timer.start(kTickInterval);
  const bool has_begun = RunGuarded("new call", [&] { Begin(exchange, call); });
  // Nothing else would end a call that has no deadline yet. One that was sent ends by its deadline.
  const PendingCall* failed = has_begun ? nullptr : FindCall(exchange);
  if (failed != nullptr && failed->attempts.empty()) {
    RespondWithReason(exchange, Reason::kInternalError);
  }
}

void IngressShard::Begin(ExchangeId exchange, PendingCall& call) {
  m_log.RecordRequest(call.started);
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  if (!declaration) return RespondWithReason(exchange, Reason::kNoConfiguration);
  Classification classification =
      ClassifyCall(*declaration, DescribeCall(call.request, m_context.convention));
  if (classification.refusal != Reason::kNone) {
    return RespondWithReason(exchange, classification.refusal);
  }
  if (ExceedsConnectionLimit(classification.call_class)) {
    m_connections.at(exchange.connection)->CloseWhenIdle();
    return RespondWithReason(exchange, Reason::kIngressOverloaded);
  }
  call.call_class = std::move(classification.call_class);
  if (const auto* route = classification.route) {
    call.call_class.service = m_splits.Pick(route->id, route->parts);
  }
  m_log.Step("received", call.log_id)
      .With("route", call.call_class.route.Value())
      .With("service", call.call_class.service.Value())
      .With("priority", call.call_class.priority.Value())
      .With("deadline_ms", ToMilliseconds(call.call_class.deadline))
      .With("version", static_cast<std::int64_t>(m_context.version.load()));
  ReplaceOriginHeaders(call.request, m_context.convention, m_context.own_service);
  call.deadline = call.started + call.call_class.deadline;
  // It would be cut at the end if it still ran, and it could not be sent again.
  if (m_is_withdrawing || (m_closing_end && call.deadline > *m_closing_end)) {
    return RespondWithReason(exchange, Reason::kDraining);
  }
  call.digest = RequestDigest(call.call_class.service, call.request);
  if (const Reason reason = m_context.crash_guard.CheckBan(call.digest); reason != Reason::kNone) {
    return RespondWithReason(exchange, reason);
  }
  m_budgets = declaration->budgets;
  m_retries.RecordFirstAttempt(call.call_class.service, m_budgets, call.started);
  Route(exchange, call);
}

RoutingChoice IngressShard::Choose(const PendingCall& call, bool may_cross_regions) {
  if (!call.call_class.request_id.empty()) {
    return ChooseHome(*m_context.declaration.load(), call.call_class.service,
                      call.call_class.request_id, call.tried, m_context.absent_since);
  }
  return m_context.router.Choose(RequestOf(call, may_cross_regions));
}

RoutingRequest IngressShard::RequestOf(const PendingCall& call, bool may_cross_regions) {
  RoutingRequest request;
  request.service = call.call_class.service;
  request.idempotent = call.call_class.idempotent;
  request.may_cross_regions = may_cross_regions;
  request.bytes = call.request.body.size();
  request.excluded = call.tried;
  request.allowed_regions = call.call_class.allowed_regions;
  request.priority_index = call.call_class.priority_index;
  request.target_left = call.started + call.call_class.target - MonotonicNow();
  return request;
}

bool IngressShard::QueryLoad(ExchangeId exchange, PendingCall& call) {
  const bool can_query = m_context.convention.decode_load != nullptr &&
                         call.call_class.request_id.empty() && call.attempts.empty();
  if (!can_query) return false;
  call.estimates.clear();
  return QueryLoadIn(QueryScope::kOwnDataCentre, exchange, call) ||
         QueryLoadIn(QueryScope::kOtherDataCentresOfRegion, exchange, call);
}

bool IngressShard::QueryLoadIn(QueryScope scope, ExchangeId exchange, PendingCall& call) {
  const std::vector<BackendServerId> servers = m_context.router.ServersToQuery(
      RequestOf(call, call.call_class.may_cross_regions), scope, kLoadQueryServers);
  if (servers.empty()) return false;
  call.query_scope = scope;
  call.load_query_id = m_next_attempt++ * m_count + m_index;
  call.pending_load_replies = servers.size();
  m_load_queries[call.load_query_id] = exchange;
  const std::uint64_t load_query_id = call.load_query_id;
  QTimer::singleShot(kLoadQueryTimeout, &m_timer, [this, exchange, load_query_id] {
    PendingCall* waiting = FindCall(exchange);
    if (waiting != nullptr && waiting->load_query_id == load_query_id) {
      FinishLoadQuery(exchange, *waiting);
    }
  });
  const TimePoint now = MonotonicNow();
  const Duration target_left = call.started + call.call_class.target - now;
  const Duration deadline_left = call.deadline - now;
  for (const BackendServerId& server : servers) {
    wire::Envelope message;
    wire::LoadQuery& query = *message.mutable_load_query();
    query.set_call_id(load_query_id);
    query.set_priority(call.call_class.priority.Value());
    if (!call.call_class.route.IsEmpty()) {
      query.set_target_left_us(MicrosecondsLeft(target_left));
      query.set_deadline_left_us(MicrosecondsLeft(deadline_left));
    }
    m_context.messenger.Send(server, std::move(message));
  }
  return true;
}

void IngressShard::HandleLoadAnswer(const BackendServerId& owner, const wire::LoadAnswer& answer) {
  m_context.router.RecordOwnerState(owner, answer.state());
  const auto found = m_load_queries.find(answer.call_id());
  if (found == m_load_queries.end()) return;
  const ExchangeId exchange = found->second;
  PendingCall& call = m_calls.at(exchange);
  call.estimates.push_back(
      {owner, Duration(static_cast<Duration::rep>(answer.expected_us())), answer.refuses()});
  if (--call.pending_load_replies == 0) FinishLoadQuery(exchange, call);
}

void IngressShard::FinishLoadQuery(ExchangeId exchange, PendingCall& call) {
  m_load_queries.erase(std::exchange(call.load_query_id, 0));
  const TimePoint now = MonotonicNow();
  if (call.deadline <= now) return RespondWithReason(exchange, Reason::kDeadlineExceeded);
  const RoutingRequest request = RequestOf(call, call.call_class.may_cross_regions);
  const bool asks_region = call.query_scope == QueryScope::kOwnDataCentre &&
                           !m_context.router.HasGoodEstimate(request, call.estimates);
  if (asks_region && QueryLoadIn(QueryScope::kOtherDataCentresOfRegion, exchange, call)) return;
  const RoutingChoice choice = m_context.router.ChooseAmong(request, call.estimates);
  if (choice.refusal != Reason::kQueueFullTime) return RouteTo(exchange, call, choice, now);
  // All owners that were asked would refuse the call. Others may have room.
  for (const LoadEstimate& estimate : call.estimates) call.tried.push_back(estimate.server);
  // Each of them counts, which bounds the questions that one call causes.
  call.refusals += call.estimates.size();
  m_log.Failure("all_refuse", call.log_id, choice.refusal)
      .With("asked", static_cast<std::int64_t>(call.estimates.size()));
  RetryOrAnswer(exchange, call, choice.refusal, true);
}

void IngressShard::Route(ExchangeId exchange, PendingCall& call) {
  const TimePoint now = MonotonicNow();
  if (call.deadline <= now) return RespondWithReason(exchange, Reason::kDeadlineExceeded);
  if (call.load_query_id != 0 || QueryLoad(exchange, call)) return;
  RouteTo(exchange, call, Choose(call, call.call_class.may_cross_regions), now);
}

Duration IngressShard::MaxServerWait(const PendingCall& call) const {
  if (!m_budgets.early_refusal) return kMaxServerWait;
  return std::min<Duration>(kMaxServerWait, call.call_class.target / kEarlyRefusalDivisor);
}

void IngressShard::RouteTo(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice,
                           TimePoint now) {
  if (choice.refusal == Reason::kNone) {
    if (const auto expiry = m_context.router.Stamp(choice.server, call.deadline - now)) {
      call.waiting = false;
      return SendAttempt(exchange, call, choice, *expiry);
    }
  }
  if (!call.attempts.empty()) return;  // A suspect attempt may still get a response.
  const Reason reason = choice.refusal == Reason::kNone ? Reason::kLinkUnavailable : choice.refusal;
  // An evacuation lasts longer than a call can wait.
  if (reason == Reason::kEvacuated) return RespondWithReason(exchange, reason);
  if (!call.waiting) {
    call.waiting = true;
    call.waiting_until = std::min<TimePoint>(call.deadline, now + MaxServerWait(call));
  }
  // A call that another server refused fails with that server's reason, not with the lack of
  // further servers. After the loss of a link it waits, as a new link may be established soon.
  const bool was_refused = call.last_reason != Reason::kNone && !IsLinkFault(call.last_reason);
  if (was_refused) return RespondWithReason(exchange, call.last_reason);
  if (now >= call.waiting_until) RespondWithReason(exchange, reason);
}

void IngressShard::SendAttempt(ExchangeId exchange, PendingCall& call, const RoutingChoice& choice,
                               const ExpiryStamp& expiry) {
  const CallId id{m_next_attempt++ * m_count + m_index};
  const BackendServerId& server = choice.server;
  Attempt& attempt = m_attempts[id];
  attempt.exchange = exchange;
  attempt.server = server;
  attempt.expiry = expiry;
  attempt.sent = MonotonicNow();
  attempt.crosses_regions = choice.crosses_regions;
  call.attempts.push_back(id);
  call.request_id_not_run = false;
  call.tried.push_back(server);
  wire::Envelope message =
      MakeCallRequest(NameOf(id, attempt), server, call.call_class, call.digest, call.request);
  if (!call.call_class.route.IsEmpty()) {
    // expires_at_us and target_at_us are both on the owner's clock.
    const Duration after_target = call.deadline - (call.started + call.call_class.target);
    const auto target = static_cast<std::int64_t>(expiry.expires_at_us) - after_target.count();
    message.mutable_call_request()->set_target_at_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(target, 1)));
  }
  m_context.router.RecordSent(server, id, call.call_class.priority_index);
  m_log.Step("sent", call.log_id)
      .With("server", server.Value())
      .With("attempt", static_cast<std::int64_t>(id.value))
      .With("expected_us", choice.expected_delay.count())
      .With("report_age_us", choice.report_age.count())
      .With("remaining_ms", ToMilliseconds(call.deadline - attempt.sent));
  if (choice.crosses_regions) {
    m_context.metrics.Add(Metric::kCallPaidLinkBytes, message.ByteSizeLong());
  }
  m_context.messenger.Send(server, std::move(message));
}

void IngressShard::HandleOwnerMessage(const BackendServerId& owner, const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kResponseChunk:
      if (message.response_chunk().has_state()) {
        m_context.router.RecordOwnerState(owner, message.response_chunk().state());
      }
      return HandleChunk(message.response_chunk());
    case wire::Envelope::kRefused:
      m_context.router.RecordOwnerState(owner, message.refused().state());
      if (message.refused().request_id_not_run()) {
        RecordRequestIdNotRun(CallId{message.refused().call_id()});
      }
      // The server may have been reached.
      return HandleNotRun(
          CallId{message.refused().call_id()},
          ReasonFromNumber(message.refused().reason(), Outcome::kNotRun, Reason::kBackendShed));
    case wire::Envelope::kCallFailed:
      m_context.router.RecordOwnerState(owner, message.call_failed().state());
      return HandleUnknownOutcome(CallId{message.call_failed().call_id()},
                                  ReasonFromNumber(message.call_failed().reason(),
                                                   Outcome::kUnknown, Reason::kBackendClosed));
    case wire::Envelope::kLoadAnswer:
      return HandleLoadAnswer(owner, message.load_answer());
    case wire::Envelope::kStatusResult:
      m_context.router.RecordOwnerState(owner, message.status_result().state());
      return HandleStatus(message.status_result());
    case wire::Envelope::kCancelResult:
      m_context.router.RecordOwnerState(owner, message.cancel_result().state());
      return HandleCancelResult(message.cancel_result());
    default:
      return;
  }
}

bool IngressShard::StartRelay(CallId id, const Attempt& attempt, const wire::ResponseHead& head) {
  PendingCall& call = m_calls.at(attempt.exchange);
  if (call.relayed_attempt.value != 0) return false;  // Another attempt is relayed.
  call.relayed_attempt = id;
  CancelOthers(call, id);
  m_connections.at(attempt.exchange.connection)
      ->StartResponse(attempt.exchange.number,
                      MakeResponseHead(head, m_context.convention, attempt.server.Value()));
  return true;
}

void IngressShard::RejectResponse(CallId id, ResponseFault fault) {
  const Attempt& attempt = m_attempts.at(id);
  m_log.Failure("response_rejected", m_calls.at(attempt.exchange).log_id, Reason::kBackendMalformed)
      .With("server", attempt.server.Value())
      .With("rule", FaultName(fault));
  HandleUnknownOutcome(id, Reason::kBackendMalformed);
}

void IngressShard::HandleChunk(const wire::ResponseChunk& chunk) {
  const CallId id{chunk.call_id()};
  Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr || chunk.sequence() < attempt->next_sequence) return;
  const ExchangeId exchange = attempt->exchange;
  if (chunk.sequence() > attempt->next_sequence) {
    // For a suspect attempt, the status query requests the missing chunks from the owner.
    if (!attempt->is_suspect) HandleUnknownOutcome(id, Reason::kAnswerTruncated);
    return;
  }
  if (attempt->next_sequence == 0) {
    // Without a head, the default one is examined, which has no valid status.
    const ResponseFault fault = FindFault(chunk.head());
    if (fault != ResponseFault::kNone) return RejectResponse(id, fault);
  }
  if (chunk.has_head() && !StartRelay(id, *attempt, chunk.head())) return;
  if (chunk.has_head()) {
    attempt->status = chunk.head().status();
    attempt->is_error = chunk.head().status() >= kFirstErrorStatus;
    m_retries.RecordResponseTime(m_calls.at(exchange).call_class.service,
                                 MonotonicNow() - attempt->sent);
  }
  ++attempt->next_sequence;
  if (attempt->crosses_regions) RecordPaidLinkBytes(chunk.ByteSizeLong());
  const AttemptResult result = attempt->is_error ? AttemptResult::kError : AttemptResult::kAnswered;
  CallerConnection& caller = *m_connections.at(exchange.connection);
  caller.SendBody(exchange.number, chunk.data());
  if (!chunk.last()) return;
  PendingCall& call = m_calls.at(exchange);
  m_context.metrics.Add(Metric::kCallsAnswered);
  m_context.crash_guard.RecordAnswered(call.digest);
  m_context.metrics.RecordLatency(call.call_class.priority, MonotonicNow() - call.started);
  m_log.Step("answered", call.log_id)
      .With("server", attempt->server.Value())
      .With("status", attempt->status)
      .With("total_us", (MonotonicNow() - call.started).count());
  EndAttempt(id, result);
  CancelAttempts(call);
  EndCall(exchange);
  caller.FinishResponse(exchange.number);
}

void IngressShard::RecordPaidLinkBytes(std::size_t bytes) {
  m_context.metrics.Add(Metric::kCallPaidLinkBytes, bytes);
  m_context.router.RecordPaidLinkBytes(bytes);
}

void IngressShard::AllowRetryOnServer(PendingCall& call, const BackendServerId& server,
                                      Reason reason) {
  // For a request id, the next home decides whether it may run without the unreachable home.
  if (!call.call_class.request_id.empty()) return;
  if (IsLinkFault(reason)) std::erase(call.tried, server);
}

void IngressShard::HandleNotRun(CallId id, Reason reason) {
  const Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const ExchangeId exchange = attempt->exchange;
  PendingCall& call = m_calls.at(exchange);
  if (call.relayed_attempt == id) {
    return HandleUnknownOutcome(id, reason);  // Part of its response arrived.
  }
  AllowRetryOnServer(call, attempt->server, reason);
  // The call may have waited at a server that now leaves, so servers that refused it earlier may
  // have room.
  if (reason == Reason::kDraining) call.tried = {attempt->server};
  ++(ReachedServer(reason) ? call.arrivals : call.refusals);
  // Owners retain ended calls for a limited time, so a refusal this late is no proof of not-run.
  if (MonotonicNow() > call.deadline + kDeadlineGrace) {
    return HandleUnknownOutcome(id, Reason::kLinkSilent);
  }
  m_log.Failure("attempt_refused", call.log_id, reason)
      .With("server", attempt->server.Value())
      .With("after_us", (MonotonicNow() - attempt->sent).count());
  EndAttempt(id, ResultOfRefusal(reason));
  RetryOrAnswer(exchange, call, reason, true);
}

void IngressShard::HandleUnknownOutcome(CallId id, Reason reason) {
  const Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const ExchangeId exchange = attempt->exchange;
  PendingCall& call = m_calls.at(exchange);
  AllowRetryOnServer(call, attempt->server, reason);
  ++call.arrivals;
  m_log.Failure("attempt_failed", call.log_id, reason)
      .With("server", attempt->server.Value())
      .With("after_us", (MonotonicNow() - attempt->sent).count());
  EndAttempt(id, AttemptResult::kFailed);
  CallerConnection& caller = *m_connections.at(exchange.connection);
  if (call.relayed_attempt == id && !caller.DiscardUnsentResponse(exchange.number)) {
    m_context.metrics.CountRefusal(Reason::kAnswerTruncated);
    CancelAttempts(call);
    EndCall(exchange);
    return caller.Abort();
  }
  if (call.relayed_attempt == id) call.relayed_attempt = CallId{};
  call.unknown_outcome_reason = reason;
  RetryOrAnswer(exchange, call, reason, false);
}

Reason IngressShard::DecideRetry(const PendingCall& call, Reason reason, bool proved_not_run) {
  FailedAttempt failed;
  failed.service = call.call_class.service;
  failed.reason = reason;
  failed.proved_not_run = proved_not_run;
  failed.idempotent = call.call_class.idempotent;
  failed.attempts = call.arrivals + call.attempts.size();
  failed.max_attempts = MaxArrivals(call);
  failed.refusals = call.refusals;
  failed.reached_server = !proved_not_run || ReachedServer(reason);
  return m_retries.DecideRetry(failed, m_budgets, MonotonicNow());
}

std::size_t IngressShard::MaxArrivals(const PendingCall& call) {
  return call.call_class.attempts > 0 ? call.call_class.attempts : kMaxAttempts;
}

void IngressShard::RetryOrAnswer(ExchangeId exchange, PendingCall& call, Reason reason,
                                 bool proved_not_run) {
  call.last_reason = reason;
  if (!call.attempts.empty()) return;
  if (m_is_withdrawing) return RespondWithReason(exchange, reason);
  const Reason decision = DecideRetry(call, reason, proved_not_run);
  if (decision == Reason::kRetryBudget) {
    // The caller gets the original reason; the counter records that the retry budget prevented a
    // retry.
    m_context.metrics.CountRefusal(decision);
    return RespondWithReason(exchange, reason);
  }
  if (decision != Reason::kNone) return RespondWithReason(exchange, decision);
  m_context.metrics.CountRetry(reason);
  m_log.Step("retry", call.log_id)
      .With("reason", InfoOf(reason).name)
      .With("arrivals", static_cast<std::int64_t>(call.arrivals))
      .With("refusals", static_cast<std::int64_t>(call.refusals));
  Route(exchange, call);
}

void IngressShard::HandleSendFailed(CallId attempt) {
  HandleNotRun(attempt, Reason::kLinkUnavailable);
}

void IngressShard::HandleLinkDown(const BackendServerId& owner) {
  std::vector<ExchangeId> idempotent;
  for (auto& [id, attempt] : m_attempts) {
    if (attempt.server != owner || attempt.is_suspect) continue;
    attempt.is_suspect = true;
    if (m_calls.at(attempt.exchange).call_class.idempotent && attempt.next_sequence == 0) {
      idempotent.push_back(attempt.exchange);
    }
  }
  for (const ExchangeId exchange : idempotent) RouteSpeculatively(exchange);
}

void IngressShard::RouteSpeculatively(ExchangeId exchange) {
  PendingCall& call = m_calls.at(exchange);
  const TimePoint now = MonotonicNow();
  const bool may_send =
      !m_is_withdrawing && call.relayed_attempt.value == 0 && call.call_class.request_id.empty() &&
      call.arrivals + call.attempts.size() < MaxArrivals(call) && now < call.deadline;
  if (!may_send) return;
  const RoutingChoice choice = Choose(call, call.call_class.may_cross_regions);
  if (choice.refusal != Reason::kNone) return;
  const auto expiry = m_context.router.Stamp(choice.server, call.deadline - now);
  if (!expiry || DecideRetry(call, Reason::kLinkSilent, false) != Reason::kNone) return;
  m_context.metrics.CountRetry(Reason::kLinkSilent);
  SendAttempt(exchange, call, choice, *expiry);
}

void IngressShard::HandleLinkUp(const BackendServerId& owner) {
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.server != owner || !attempt.is_suspect) continue;
    m_context.messenger.Send(owner, MakeStatusQuery(NameOf(id, attempt), attempt.next_sequence));
    // The withdrawal may have been lost with the link.
    if (m_is_withdrawing) SendWithdrawal(id, attempt);
  }
}

void IngressShard::HandleStatus(const wire::StatusResult& status) {
  const CallId id{status.call_id()};
  Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  attempt->is_suspect = false;
  switch (EvaluateStatus(attempt->expiry.incarnation, Incarnation{status.state().incarnation()},
                         static_cast<CallProgress>(status.call_state()), status.answer_follows())) {
    case AttemptVerdict::kWait:
      return;
    case AttemptVerdict::kNotRun:
      // The owner itself is healthy, so the call may be sent there again.
      std::erase(m_calls.at(attempt->exchange).tried, attempt->server);
      return HandleNotRun(id, Reason::kLinkUnavailable);
    case AttemptVerdict::kUnknown:
      return HandleUnknownOutcome(id, Reason::kLinkSilent);
    case AttemptVerdict::kUnknownOwnerRestarted:
      return HandleUnknownOutcome(id, Reason::kOwnerRestarted);
  }
}

void IngressShard::HandleCancelResult(const wire::CancelResult& cancelled) {
  const CallId id{cancelled.call_id()};
  const Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  // Otherwise the owner replies to a withdrawal, and a running call goes on.
  const bool is_late = m_calls.at(attempt->exchange).cancelled_at_deadline;
  switch (AttemptStatusFrom(cancelled.call_state(), cancelled.state(), attempt->expiry)) {
    case AttemptStatus::kNotRun:
      return HandleNotRun(id, is_late ? Reason::kQueueExpired : Reason::kDraining);
    case AttemptStatus::kPending:
      if (is_late) HandleUnknownOutcome(id, Reason::kBackendTimeout);
      return;
    case AttemptStatus::kDone:
      return;  // Its response or failure message is in transit.
    case AttemptStatus::kUnknown:
      return HandleUnknownOutcome(id, Reason::kOwnerRestarted);
  }
}

void IngressShard::EndAttempt(CallId id, AttemptResult result) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) return;
  m_context.router.RecordEnded(found->second.server, id, result);
  std::erase(m_calls.at(found->second.exchange).attempts, id);
  m_attempts.erase(found);
}

void IngressShard::CancelAttempts(PendingCall& call) { CancelOthers(call, CallId{}); }

void IngressShard::CancelOthers(PendingCall& call, CallId kept) {
  const std::vector<CallId> attempts = call.attempts;
  for (const CallId id : attempts) {
    if (id == kept) continue;
    const Attempt& attempt = m_attempts.at(id);
    m_context.messenger.Send(attempt.server, MakeCancel(NameOf(id, attempt)));
    EndAttempt(id, AttemptResult::kCancelled);
  }
}

AttemptKey IngressShard::NameOf(CallId id, const Attempt& attempt) const {
  return AttemptKey{id, m_context.identity.incarnation, attempt.expiry};
}

Reason IngressShard::ReportableReason(const PendingCall& call, Reason reason) {
  if (InfoOf(reason).outcome != Outcome::kNotRun) return reason;
  if (call.unknown_outcome_reason != Reason::kNone) return call.unknown_outcome_reason;
  return call.attempts.empty() ? reason : Reason::kLinkSilent;
}

Outcome IngressShard::ReportableOutcome(const PendingCall& call, Reason reason) {
  const ReasonInfo& info = InfoOf(reason);
  const bool has_id = !call.call_class.request_id.empty();
  // An invalid request is refused at every send, so no earlier send can have run.
  const bool is_invalid = info.http_status < static_cast<int>(kFirstErrorStatus);
  const bool lacks_proof = has_id && !is_invalid && !call.request_id_not_run;
  return info.outcome == Outcome::kNotRun && lacks_proof ? Outcome::kUnknown : info.outcome;
}

void IngressShard::RecordRequestIdNotRun(CallId id) {
  const Attempt* attempt = FindAttempt(id);
  if (attempt != nullptr) m_calls.at(attempt->exchange).request_id_not_run = true;
}

void IngressShard::RespondWithReason(ExchangeId exchange, Reason reason) {
  Outcome outcome = InfoOf(reason).outcome;
  std::string log_id = "-";
  Duration elapsed{};
  std::chrono::milliseconds retry_after = RandomRetryAfter(m_random);
  if (PendingCall* call = FindCall(exchange); call != nullptr) {
    reason = ReportableReason(*call, reason);
    outcome = ReportableOutcome(*call, reason);
    log_id = call->log_id;
    elapsed = MonotonicNow() - call->started;
    retry_after = RetryAfter(*call);
    CancelAttempts(*call);
    EndCall(exchange);
  }
  m_context.metrics.CountRefusal(reason);
  const GeneratedResponse answer =
      GenerateResponse(reason, outcome, m_context.convention, retry_after);
  m_log.Failure("call_failed", log_id, reason)
      .With("outcome", OutcomeName(outcome))
      .With("status", answer.head.status)
      .With("version", static_cast<std::int64_t>(m_context.version.load()))
      .With("total_us", elapsed.count());
  CallerConnection& caller = *m_connections.at(exchange.connection);
  caller.StartResponse(exchange.number, answer.head);
  caller.SendBody(exchange.number, answer.body);
  caller.FinishResponse(exchange.number);
}

std::chrono::milliseconds IngressShard::RetryAfter(const PendingCall& call) {
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  const bool is_spread = declaration && declaration->budgets.spread_retry_after;
  // A call without a deadline has not been classified yet.
  if (!is_spread || call.deadline == TimePoint()) return RandomRetryAfter(m_random);
  RefusedCall refused;
  refused.urgency = UrgencyOf(*declaration, call.call_class.priority_index);
  refused.deadline_left = call.deadline - MonotonicNow();
  for (const LoadEstimate& estimate : call.estimates) {
    const bool is_first = &estimate == call.estimates.data();
    if (is_first || estimate.expected < refused.expected_wait) {
      refused.expected_wait = estimate.expected;
    }
  }
  return SpreadRetryAfter(refused, m_random);
}

void IngressShard::EndCall(ExchangeId exchange) {
  const auto found = m_calls.find(exchange);
  if (found == m_calls.end()) return;
  m_context.body_budget.Release(found->second.body_bytes);
  m_load_queries.erase(found->second.load_query_id);
  m_calls.erase(found);
}

void IngressShard::OnBadRequest(ExchangeId exchange, Reason reason) {
  RespondWithReason(exchange, reason);
}

void IngressShard::OnBodySent(ExchangeId exchange, std::size_t bytes) {
  const PendingCall* call = FindCall(exchange);
  if (call == nullptr || call->relayed_attempt.value == 0) return;
  const Attempt* attempt = FindAttempt(call->relayed_attempt);
  if (attempt == nullptr) return;
  wire::Envelope message;
  message.mutable_credit()->set_call_id(call->relayed_attempt.value);
  message.mutable_credit()->set_bytes(bytes);
  message.mutable_credit()->set_ingress_incarnation(m_context.identity.incarnation.value);
  m_context.messenger.Send(attempt->server, std::move(message));
}

void IngressShard::OnCallerDisconnected(ConnectionId connection) {
  std::vector<ExchangeId> exchanges;
  for (auto entry = m_calls.lower_bound({connection, 0});
       entry != m_calls.end() && entry->first.connection == connection; ++entry) {
    exchanges.push_back(entry->first);
  }
  for (const ExchangeId exchange : exchanges) {
    PendingCall& call = m_calls.at(exchange);
    m_context.metrics.CountRefusal(Reason::kCancelled);
    m_log.Failure("caller_left", call.log_id, Reason::kCancelled)
        .With("total_us", (MonotonicNow() - call.started).count());
    CancelAttempts(call);
    EndCall(exchange);
  }
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  found->second.release()->deleteLater();  // The connection emitted this event.
  m_connections.erase(found);
  m_context.caller_connections.fetch_sub(1);
}

bool IngressShard::ExceedsConnectionLimit(const CallClass& call_class) const {
  return call_class.priority_index > 0 &&
         m_context.caller_connections.load() > m_context.max_caller_connections.load();
}

void IngressShard::CloseWaitingConnections(std::size_t count) {
  if (m_context.caller_connections.load() < m_context.max_caller_connections.load()) return;
  std::vector<std::pair<TimePoint, ConnectionId>> awaiting_head;
  for (const auto& [id, connection] : m_connections) {
    if (const auto since = connection->AwaitingHeadSince()) awaiting_head.emplace_back(*since, id);
  }
  std::sort(awaiting_head.begin(), awaiting_head.end());
  std::size_t closed = 0;
  for (const auto& [since, id] : awaiting_head) {
    if (closed == count) break;
    if (m_connections.at(id)->CloseIfAwaitingHead()) ++closed;
  }
  m_context.metrics.Add(Metric::kUnreadConnectionsClosed, closed);
}

void IngressShard::CloseConnections(TimePoint end) {
  m_closing_end = end;
  std::vector<ConnectionId> connections;
  connections.reserve(m_connections.size());
  for (const auto& entry : m_connections) connections.push_back(entry.first);
  for (const ConnectionId id : connections) m_connections.at(id)->CloseWhenIdle();
}

void IngressShard::WithdrawWaitingCalls() {
  m_is_withdrawing = true;
  for (const ExchangeId exchange : PendingExchanges()) {
    PendingCall* call = FindCall(exchange);
    if (call == nullptr || call->relayed_attempt.value != 0) continue;
    if (call->attempts.empty()) {
      RespondWithReason(exchange, Reason::kDraining);
      continue;
    }
    for (const CallId id : call->attempts) SendWithdrawal(id, m_attempts.at(id));
  }
}

void IngressShard::SendWithdrawal(CallId id, const Attempt& attempt) {
  m_context.messenger.Send(attempt.server,
                           MakeCancel(NameOf(id, attempt), CancelScope::kUnlessRunning));
}

void IngressShard::EndRemainingCalls() {
  m_is_withdrawing = true;
  for (const ExchangeId exchange : PendingExchanges()) {
    // Ending one call may close its connection and thereby end other calls in the list.
    PendingCall* call = FindCall(exchange);
    if (call == nullptr) continue;
    if (call->relayed_attempt.value != 0) {
      HandleUnknownOutcome(call->relayed_attempt, Reason::kNodeStopped);
    } else {
      RespondWithReason(exchange,
                        call->attempts.empty() ? Reason::kDraining : Reason::kNodeStopped);
    }
  }
}

std::vector<ExchangeId> IngressShard::PendingExchanges() const {
  std::vector<ExchangeId> exchanges;
  exchanges.reserve(m_calls.size());
  for (const auto& entry : m_calls) exchanges.push_back(entry.first);
  return exchanges;
}

void IngressShard::Tick() {
  const TimePoint now = MonotonicNow();
  std::vector<ExchangeId> waiting;
  for (const auto& [exchange, call] : m_calls) {
    if (call.waiting) waiting.push_back(exchange);
  }
  for (const ExchangeId exchange : waiting) {
    if (PendingCall* call = FindCall(exchange); call != nullptr) Route(exchange, *call);
  }
  CheckHedges(now);
  CheckDeadlines(now);
  if (m_calls.empty()) m_timer.stop();
}

void IngressShard::CheckCallerMemory() {
  std::vector<CallerHolding> holdings;
  std::size_t held = 0;
  for (const auto& [id, connection] : m_connections) {
    holdings.push_back({id, connection->HeldBytes()});
    held += holdings.back().bytes;
  }
  std::atomic<std::size_t>& sum = *m_context.held_bytes;
  sum.fetch_add(held - m_held_bytes);  // Wraps around if fewer are held than before.
  m_held_bytes = held;
  const std::size_t total = sum.load();
  m_context.metrics.Set(Metric::kCallerBytesHeld, total);
  const std::size_t share = CallerMemoryShare(m_context.memory_bytes);
  const std::vector<CallerHolding> closed = CallersToClose(std::move(holdings), total, share);
  if (closed.empty()) return;
  std::size_t freed = 0;
  for (const CallerHolding& holding : closed) {
    freed += holding.bytes;
    m_connections.at(holding.connection)->Abort();
  }
  sum.fetch_sub(freed);
  m_held_bytes -= freed;
  m_context.metrics.Add(Metric::kCallersClosedForMemory, closed.size());
  EventLine(LogPart::kIngress, LogLevel::kWarning, "callers_closed_for_memory")
      .With("closed", static_cast<std::int64_t>(closed.size()))
      .With("freed_bytes", static_cast<std::int64_t>(freed))
      .With("held_bytes", static_cast<std::int64_t>(total))
      .With("limit_bytes", static_cast<std::int64_t>(share));
}

void IngressShard::CheckHedges(TimePoint now) {
  std::vector<ExchangeId> slow;
  for (const auto& [exchange, call] : m_calls) {
    const bool may_hedge = !m_is_withdrawing && call.call_class.idempotent &&
                           call.call_class.request_id.empty() && !call.hedged &&
                           call.attempts.size() == 1 && call.relayed_attempt.value == 0 &&
                           call.arrivals + 1 < MaxArrivals(call) && now < call.deadline;
    if (!may_hedge) continue;
    const std::optional<Duration> delay = m_retries.HedgeDelay(call.call_class.service);
    if (delay && now - m_attempts.at(call.attempts.front()).sent >= *delay) {
      slow.push_back(exchange);
    }
  }
  for (const ExchangeId exchange : slow) SendHedge(exchange, m_calls.at(exchange), now);
}

void IngressShard::SendHedge(ExchangeId exchange, PendingCall& call, TimePoint now) {
  // Hedges stay in the region: the paid link is not used for a call that already runs here. The
  // router leaves the region only for a call that no server of the region may receive.
  const RoutingChoice choice = Choose(call, false);
  if (choice.refusal != Reason::kNone) return;
  const auto expiry = m_context.router.Stamp(choice.server, call.deadline - now);
  if (!expiry || !m_retries.TryConsumeHedge(call.call_class.service, m_budgets, now)) return;
  call.hedged = true;
  m_context.metrics.Add(Metric::kHedges);
  SendAttempt(exchange, call, choice, *expiry);
}

void IngressShard::CheckDeadlines(TimePoint now) {
  std::vector<ExchangeId> late;
  for (const auto& [exchange, call] : m_calls) {
    if (now > call.deadline) late.push_back(exchange);
  }
  for (const ExchangeId exchange : late) {
    // Ending one call may close its connection and thereby end other calls in the list.
    PendingCall* call = FindCall(exchange);
    if (call != nullptr) CheckDeadline(exchange, *call, now);
  }
}

void IngressShard::CheckDeadline(ExchangeId exchange, PendingCall& call, TimePoint now) {
  if (call.attempts.empty()) return RespondWithReason(exchange, Reason::kDeadlineExceeded);
  if (now > call.deadline + kDeadlineGrace) {
    if (call.relayed_attempt.value != 0) {
      return HandleUnknownOutcome(call.relayed_attempt, Reason::kAnswerTruncated);
    }
    return RespondWithReason(exchange, Reason::kLinkSilent);
  }
  if (call.cancelled_at_deadline || call.relayed_attempt.value != 0) return;
  call.cancelled_at_deadline = true;
  for (const CallId id : call.attempts) {
    const Attempt& attempt = m_attempts.at(id);
    m_context.messenger.Send(attempt.server, MakeCancel(NameOf(id, attempt)));
  }
}

IngressShard::PendingCall* IngressShard::FindCall(ExchangeId exchange) {
  const auto found = m_calls.find(exchange);
  return found == m_calls.end() ? nullptr : &found->second;
}

IngressShard::Attempt* IngressShard::FindAttempt(CallId id) {
  const auto found = m_attempts.find(id);
  return found == m_attempts.end() ? nullptr : &found->second;
}

}  // namespace damaskhollow
