#include "node/ingressshard.h"

#include <QCryptographicHash>
#include <algorithm>
#include <utility>

#include "logging/logger.h"
#include "node/callheaders.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kTick{20};
// How long a call waits for a server to become reachable, for instance while a silent link is
// replaced.
constexpr std::chrono::milliseconds kServerWait{1000};
// The owner answers at the deadline; its answer needs this long to arrive, also between regions.
constexpr std::chrono::milliseconds kDeadlineGrace{200};
// A connection that was just opened has not sent its request yet and must not count as idle.
constexpr std::chrono::milliseconds kCrowdedIdle{1000};
constexpr std::size_t kMaxAttempts = 3;
constexpr std::size_t kDefaultBodyLimit = 1024UL * 1024UL;
constexpr std::uint32_t kFirstErrorStatus = 500;
constexpr qsizetype kDigestBytes = 16;

void AddToHash(QCryptographicHash& hash, std::string_view part) {
  hash.addData(QByteArrayView(part.data(), static_cast<qsizetype>(part.size())));
  hash.addData(QByteArrayView("\0", 1));
}

std::string DigestOf(const ServiceId& service, const HttpRequest& request) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  AddToHash(hash, service.Value());
  AddToHash(hash, request.method);
  AddToHash(hash, request.target);
  AddToHash(hash, request.body);
  return hash.result().first(kDigestBytes).toStdString();
}

}  // namespace

IngressShard::IngressShard(IngressContext context, std::size_t index, std::size_t count)
    : m_context(std::move(context)), m_index(index), m_count(count) {
  QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { Tick(); });
}

IngressShard::~IngressShard() = default;

void IngressShard::AddCaller(qintptr descriptor) {
  const ConnectionId id{m_next_connection++};
  m_connections.emplace(id, std::make_unique<CallerConnection>(id, descriptor, CallerLimits{},
                                                               m_context.body_budget, *this));
}

std::size_t IngressShard::BodyLimit(const HttpRequest& head) const {
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  if (!declaration) return kDefaultBodyLimit;
  return MaxBodyBytes(*declaration, DescribeCall(head), kDefaultBodyLimit);
}

void IngressShard::OnRequest(ConnectionId connection, HttpRequest request, std::size_t body_bytes) {
  m_context.metrics.Add(Metric::kCallsAccepted);
  PendingCall& call = m_calls[connection];
  call.request = std::move(request);
  call.body_bytes = body_bytes;
  call.started = MonotonicNow();
  const std::shared_ptr<const Declaration> declaration = m_context.declaration.load();
  if (!declaration) return AnswerReason(connection, Reason::kNoConfiguration);
  Classification classification = ClassifyCall(*declaration, DescribeCall(call.request));
  if (classification.refusal != Reason::kNone) {
    return AnswerReason(connection, classification.refusal);
  }
  if (IsCrowdedOut(classification.call_class)) {
    m_connections.at(connection)->CloseWhenIdle();
    return AnswerReason(connection, Reason::kIngressOverloaded);
  }
  call.call_class = std::move(classification.call_class);
  call.deadline = call.started + call.call_class.deadline;
  call.digest = DigestOf(call.call_class.service, call.request);
  if (!m_timer.isActive()) m_timer.start(kTick);
  Route(connection, call);
}

RoutingChoice IngressShard::ChooseServer(const PendingCall& call) {
  if (!call.call_class.request_id.empty()) {
    return ChooseHome(*m_context.declaration.load(), call.call_class.service,
                      call.call_class.request_id, call.tried, m_context.absent_since);
  }
  RoutingRequest request;
  request.service = call.call_class.service;
  request.idempotent = call.call_class.idempotent;
  request.may_cross_regions = call.call_class.may_cross_regions;
  request.bytes = call.request.body.size();
  request.excluded = call.tried;
  return m_context.router.Choose(request);
}

void IngressShard::Route(ConnectionId connection, PendingCall& call) {
  const TimePoint now = MonotonicNow();
  if (call.deadline <= now) return AnswerReason(connection, Reason::kDeadlineExceeded);
  const RoutingChoice choice = ChooseServer(call);
  if (choice.refusal == Reason::kNone) {
    if (const auto expiry = m_context.router.Stamp(choice.server, call.deadline - now)) {
      call.waiting = false;
      return SendAttempt(connection, call, choice, *expiry);
    }
  }
  if (!call.attempts.empty()) return;  // One in doubt may still be answered.
  const Reason reason = choice.refusal == Reason::kNone ? Reason::kLinkUnavailable : choice.refusal;
  if (!call.waiting) {
    call.waiting = true;
    call.waiting_until = std::min<TimePoint>(call.deadline, now + kServerWait);
  }
  // A call that was refused elsewhere is answered with that reason rather than with the lack of
  // another server.
  if (call.last_reason != Reason::kNone) return AnswerReason(connection, call.last_reason);
  if (now >= call.waiting_until) AnswerReason(connection, reason);
}

void IngressShard::SendAttempt(ConnectionId connection, PendingCall& call,
                               const RoutingChoice& choice, const ExpiryStamp& expiry) {
  const CallId id{m_next_attempt++ * m_count + m_index};
  const BackendServerId& server = choice.server;
  Attempt& attempt = m_attempts[id];
  attempt.connection = connection;
  attempt.server = server;
  attempt.expiry = expiry;
  attempt.crosses_regions = choice.crosses_regions;
  call.attempts.push_back(id);
  call.tried.push_back(server);

  wire::Envelope message;
  wire::CallRequest& request = *message.mutable_call_request();
  request.set_call_id(id.value);
  request.set_ingress_incarnation(m_context.identity.incarnation.value);
  request.set_server_id(server.Value());
  request.set_owner_incarnation(expiry.incarnation.value);
  request.set_expires_at_us(expiry.expires_at_us);
  request.set_service(call.call_class.service.Value());
  request.set_priority(call.call_class.priority.Value());
  request.set_idempotent(call.call_class.idempotent);
  request.set_depth(call.call_class.depth);
  request.set_request_id(call.call_class.request_id);
  request.set_digest(call.digest);
  request.set_method(call.request.method);
  request.set_target(call.request.target);
  for (const HttpHeader& header : EndToEndHeaders(call.request.headers)) {
    wire::Header& field = *request.add_headers();
    field.set_name(header.name);
    field.set_value(header.value);
  }
  request.set_body(call.request.body);
  m_context.router.NoteSent(server, id);
  if (choice.crosses_regions) {
    m_context.metrics.Add(Metric::kCallPaidLinkBytes, message.ByteSizeLong());
  }
  m_context.messenger.Send(server, std::move(message));
}

void IngressShard::HandleOwnerMessage(const BackendServerId& owner, const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kResponseChunk:
      if (message.response_chunk().has_state()) {
        m_context.router.NoteState(owner, message.response_chunk().state());
      }
      return HandleChunk(message.response_chunk());
    case wire::Envelope::kRefused:
      m_context.router.NoteState(owner, message.refused().state());
      return HandleNotRun(CallId{message.refused().call_id()},
                          static_cast<Reason>(message.refused().reason()));
    case wire::Envelope::kCallFailed:
      m_context.router.NoteState(owner, message.call_failed().state());
      return HandleUnknown(CallId{message.call_failed().call_id()},
                           static_cast<Reason>(message.call_failed().reason()));
    case wire::Envelope::kStatusResult:
      m_context.router.NoteState(owner, message.status_result().state());
      return HandleStatus(message.status_result());
    default:
      return;
  }
}

bool IngressShard::StartRelay(CallId id, const Attempt& attempt, const wire::ResponseHead& head) {
  PendingCall& call = m_calls.at(attempt.connection);
  if (call.relayed.value != 0) return false;  // Another attempt of this call answers.
  call.relayed = id;
  m_connections.at(attempt.connection)->StartAnswer(AnsweredHead(head, attempt.server.Value()));
  return true;
}

void IngressShard::HandleChunk(const wire::ResponseChunk& chunk) {
  const CallId id{chunk.call_id()};
  Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr || chunk.sequence() < attempt->next_sequence) return;
  const ConnectionId connection = attempt->connection;
  if (chunk.sequence() > attempt->next_sequence) {
    // While the link is in doubt, the owner is asked for what is missing.
    if (!attempt->in_doubt) HandleUnknown(id, Reason::kAnswerTruncated);
    return;
  }
  if (chunk.has_head() && !StartRelay(id, *attempt, chunk.head())) return;
  if (chunk.has_head()) attempt->is_error = chunk.head().status() >= kFirstErrorStatus;
  ++attempt->next_sequence;
  if (attempt->crosses_regions) NotePaidLinkBytes(chunk.ByteSizeLong());
  const AttemptResult result = attempt->is_error ? AttemptResult::kError : AttemptResult::kAnswered;
  CallerConnection& caller = *m_connections.at(connection);
  caller.SendBody(chunk.data());
  if (!chunk.last()) return;
  PendingCall& call = m_calls.at(connection);
  m_context.metrics.Add(Metric::kCallsAnswered);
  m_context.metrics.RecordLatency(call.call_class.priority, MonotonicNow() - call.started);
  EndAttempt(id, result);
  CancelAttempts(call);
  EndCall(connection);
  caller.FinishAnswer();
}

void IngressShard::NotePaidLinkBytes(std::size_t bytes) {
  m_context.metrics.Add(Metric::kCallPaidLinkBytes, bytes);
  m_context.router.NotePaidLinkBytes(bytes);
}

void IngressShard::HandleNotRun(CallId id, Reason reason) {
  const Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const ConnectionId connection = attempt->connection;
  PendingCall& call = m_calls.at(connection);
  // An owner without its backend server refuses at once; that must not attract calls.
  EndAttempt(
      id, reason == Reason::kBackendUnreachable ? AttemptResult::kFailed : AttemptResult::kRefused);
  call.last_reason = reason;
  if (!call.attempts.empty()) return;
  if (!MayRetry(call, reason)) return AnswerReason(connection, reason);
  m_context.metrics.CountRetry(reason);
  Route(connection, call);
}

void IngressShard::HandleUnknown(CallId id, Reason reason) {
  const Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  const ConnectionId connection = attempt->connection;
  PendingCall& call = m_calls.at(connection);
  const bool was_relayed = call.relayed == id;
  EndAttempt(id, AttemptResult::kFailed);
  call.last_reason = reason;
  call.doubt = reason;
  if (was_relayed) {
    m_context.metrics.CountRefusal(Reason::kAnswerTruncated);
    CancelAttempts(call);
    EndCall(connection);
    m_connections.at(connection)->Abort();
    return;
  }
  if (!call.attempts.empty()) return;
  if (!call.call_class.idempotent || !MayRetry(call, reason)) {
    return AnswerReason(connection, reason);
  }
  m_context.metrics.CountRetry(reason);
  Route(connection, call);
}

bool IngressShard::MayRetry(const PendingCall& call, Reason reason) const {
  return InfoOf(reason).try_another_server && call.tried.size() < kMaxAttempts &&
         call.relayed.value == 0;
}

void IngressShard::HandleSendFailed(CallId attempt) {
  HandleNotRun(attempt, Reason::kLinkUnavailable);
}

void IngressShard::HandleLinkDown(const BackendServerId& owner) {
  std::vector<ConnectionId> idempotent;
  for (auto& [id, attempt] : m_attempts) {
    if (attempt.server != owner || attempt.in_doubt) continue;
    attempt.in_doubt = true;
    if (m_calls.at(attempt.connection).call_class.idempotent && attempt.next_sequence == 0) {
      idempotent.push_back(attempt.connection);
    }
  }
  for (const ConnectionId connection : idempotent) RouteBeside(connection);
}

void IngressShard::RouteBeside(ConnectionId connection) {
  PendingCall& call = m_calls.at(connection);
  if (!MayRetry(call, Reason::kLinkSilent) || call.deadline <= MonotonicNow()) return;
  const std::size_t attempts = call.attempts.size();
  Route(connection, call);
  if (call.attempts.size() > attempts) m_context.metrics.CountRetry(Reason::kLinkSilent);
}

void IngressShard::HandleLinkUp(const BackendServerId& owner) {
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.server != owner || !attempt.in_doubt) continue;
    wire::Envelope message;
    wire::StatusQuery& query = *message.mutable_status_query();
    query.set_call_id(id.value);
    query.set_ingress_incarnation(m_context.identity.incarnation.value);
    query.set_owner_incarnation(attempt.expiry.incarnation.value);
    query.set_expires_at_us(attempt.expiry.expires_at_us);
    query.set_next_sequence(attempt.next_sequence);
    m_context.messenger.Send(owner, std::move(message));
  }
}

void IngressShard::HandleStatus(const wire::StatusResult& status) {
  const CallId id{status.call_id()};
  Attempt* attempt = FindAttempt(id);
  if (attempt == nullptr) return;
  attempt->in_doubt = false;
  if (attempt->expiry.incarnation.value != status.state().incarnation()) {
    return HandleUnknown(id, Reason::kOwnerRestarted);
  }
  HandleCallState(id, status.call_state(), status.answer_follows());
}

void IngressShard::HandleCallState(CallId id, wire::CallState state, bool answer_follows) {
  switch (state) {
    case wire::CALL_STATE_NEVER_SEEN:
    case wire::CALL_STATE_CANCELLED:
      // The owner itself is well, so the call may go there again.
      std::erase(m_calls.at(FindAttempt(id)->connection).tried, FindAttempt(id)->server);
      return HandleNotRun(id, Reason::kLinkUnavailable);
    case wire::CALL_STATE_DONE:
      if (!answer_follows) HandleUnknown(id, Reason::kLinkSilent);
      return;
    default:
      return;
  }
}

void IngressShard::EndAttempt(CallId id, AttemptResult result) {
  const auto found = m_attempts.find(id);
  if (found == m_attempts.end()) return;
  m_context.router.NoteEnded(found->second.server, id, result);
  std::erase(m_calls.at(found->second.connection).attempts, id);
  m_attempts.erase(found);
}

void IngressShard::CancelAttempts(PendingCall& call) {
  const std::vector<CallId> attempts = call.attempts;
  for (const CallId id : attempts) {
    const Attempt& attempt = m_attempts.at(id);
    wire::Envelope message;
    message.mutable_cancel()->set_call_id(id.value);
    message.mutable_cancel()->set_ingress_incarnation(m_context.identity.incarnation.value);
    message.mutable_cancel()->set_expires_at_us(attempt.expiry.expires_at_us);
    m_context.messenger.Send(attempt.server, std::move(message));
    EndAttempt(id, AttemptResult::kCancelled);
  }
}

void IngressShard::AnswerReason(ConnectionId connection, Reason reason) {
  if (PendingCall* call = FindCall(connection); call != nullptr) {
    // A refused attempt does not prove that an earlier one did not run.
    const bool is_doubtful = call->doubt != Reason::kNone;
    if (is_doubtful && InfoOf(reason).outcome == Outcome::kNotRun) reason = call->doubt;
    CancelAttempts(*call);
    EndCall(connection);
  }
  m_context.metrics.CountRefusal(reason);
  const ReasonAnswer answer = AnswerFor(reason);
  CallerConnection& caller = *m_connections.at(connection);
  caller.StartAnswer(answer.head);
  caller.SendBody(answer.body);
  caller.FinishAnswer();
}

void IngressShard::EndCall(ConnectionId connection) {
  const auto found = m_calls.find(connection);
  if (found == m_calls.end()) return;
  m_context.body_budget.Release(found->second.body_bytes);
  m_calls.erase(found);
}

void IngressShard::OnBadRequest(ConnectionId connection, Reason reason) {
  AnswerReason(connection, reason);
}

void IngressShard::OnBodySent(ConnectionId connection, std::size_t bytes) {
  const PendingCall* call = FindCall(connection);
  if (call == nullptr || call->relayed.value == 0) return;
  const Attempt* attempt = FindAttempt(call->relayed);
  if (attempt == nullptr) return;
  wire::Envelope message;
  message.mutable_credit()->set_call_id(call->relayed.value);
  message.mutable_credit()->set_bytes(bytes);
  message.mutable_credit()->set_ingress_incarnation(m_context.identity.incarnation.value);
  m_context.messenger.Send(attempt->server, std::move(message));
}

void IngressShard::OnCallerGone(ConnectionId connection) {
  if (PendingCall* call = FindCall(connection); call != nullptr) {
    m_context.metrics.CountRefusal(Reason::kCancelled);
    CancelAttempts(*call);
    EndCall(connection);
  }
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) return;
  found->second.release()->deleteLater();  // It is the sender of this event.
  m_connections.erase(found);
  m_context.caller_connections.fetch_sub(1);
}

bool IngressShard::IsCrowdedOut(const CallClass& call_class) const {
  return call_class.priority_index > 0 &&
         m_context.caller_connections.load() > m_context.max_caller_connections;
}

void IngressShard::CloseIdleConnections() {
  std::vector<ConnectionId> connections;
  for (const auto& entry : m_connections) {
    if (!entry.second->IsAnswering()) connections.push_back(entry.first);
  }
  for (const ConnectionId id : connections) m_connections.at(id)->CloseIfIdle(kCrowdedIdle);
}

void IngressShard::CloseConnections() {
  std::vector<ConnectionId> connections;
  connections.reserve(m_connections.size());
  for (const auto& entry : m_connections) connections.push_back(entry.first);
  for (const ConnectionId id : connections) m_connections.at(id)->CloseWhenIdle();
}

void IngressShard::Tick() {
  const TimePoint now = MonotonicNow();
  std::vector<ConnectionId> waiting;
  for (const auto& [connection, call] : m_calls) {
    if (call.waiting) waiting.push_back(connection);
  }
  for (const ConnectionId connection : waiting) {
    if (PendingCall* call = FindCall(connection); call != nullptr) Route(connection, *call);
  }
  CheckDeadlines(now);
  if (m_calls.empty()) m_timer.stop();
}

void IngressShard::CheckDeadlines(TimePoint now) {
  std::vector<ConnectionId> late;
  for (const auto& [connection, call] : m_calls) {
    if (!call.attempts.empty() && now > call.deadline + kDeadlineGrace) late.push_back(connection);
  }
  for (const ConnectionId connection : late) {
    PendingCall& call = m_calls.at(connection);
    if (call.relayed.value != 0) {
      HandleUnknown(call.relayed, Reason::kAnswerTruncated);
      continue;
    }
    AnswerReason(connection, Reason::kLinkSilent);
  }
}

IngressShard::PendingCall* IngressShard::FindCall(ConnectionId connection) {
  const auto found = m_calls.find(connection);
  return found == m_calls.end() ? nullptr : &found->second;
}

IngressShard::Attempt* IngressShard::FindAttempt(CallId id) {
  const auto found = m_attempts.find(id);
  return found == m_attempts.end() ? nullptr : &found->second;
}

}  // namespace damaskhollow
