#include "owner/ownerservice.h"

#include <algorithm>
#include <utility>

#include "base/endpoint.h"
#include "calls/callheaders.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kResponseWindowBytes = 256UL * 1024UL;
constexpr std::size_t kRetransmitCacheBytes = 1024UL * 1024UL;
// Covers the detection of a silent link plus the handshake of its replacement between regions.
constexpr std::chrono::seconds kRetransmitCacheMaxAge{3};
constexpr std::chrono::seconds kEndedCallSweepInterval{1};
// How long a server that the inventory calls cold counts as cold; set anew with each dispatch.
constexpr std::chrono::seconds kInventoryColdTime{1};
// Bounds the probes for the state of a server that cannot be reached, whose probes fail at once.
constexpr std::chrono::milliseconds kStateQueryInterval{50};

}  // namespace

OwnerService::OwnerService(NodeIdentity identity, MetricsRegistry& metrics, Messenger& messenger,
                           SharedCrashGuard& crash_guard, const CallConvention& convention,
                           RequestLog& request_log)
    : m_identity(std::move(identity)),
      m_metrics(metrics),
      m_messenger(messenger),
      m_crash_guard(crash_guard),
      m_convention(convention),
      m_log(request_log, LogPart::kOwner),
      m_admission(AdmissionLimits{}, {}),
      m_calls(m_identity.incarnation),
      m_claims(m_identity.server, m_identity.started, m_messenger),
      m_retransmits(kRetransmitCacheBytes, kRetransmitCacheMaxAge) {}

void OwnerService::ApplyDeclaration(std::shared_ptr<const Declaration> declaration,
                                    std::uint64_t version) {
  const std::lock_guard lock(m_lock);
  m_declaration = std::move(declaration);
  m_configuration_version = version;
  const BackendServer* server = m_declaration->FindServer(m_identity.server);
  m_service = server == nullptr ? nullptr : m_declaration->FindService(server->service);
  if (m_service == nullptr) m_has_cold_bound = false;
  if (server == nullptr) {
    EventLine(LogPart::kOwner, LogLevel::kWarning, "own_server_unlisted")
        .With("version", static_cast<std::int64_t>(version));
    return RefuseWaiting(Reason::kDraining);
  }
  RefuseCallsOfOtherServices();
  SetEvacuated(m_declaration->IsEvacuated(server->data_centre));
  const TimePoint now = MonotonicNow();
  if (m_instance != server->instance) {
    m_pacer.Reset();
    ResetServerState();
  }
  m_instance = server->instance;
  ConfigureColdStart(*server, now);
  m_claims.SetInventory(*m_declaration, server->service, version, WallNow());
  AdmissionLimits limits;
  limits.slots = server->slots;
  m_admission.Reconfigure(limits, m_declaration->priorities);
  if (const Result<Endpoint> endpoint = ParseEndpoint(server->address)) {
    m_pool->SetServer(endpoint.value());
  }
}

void OwnerService::ConfigureColdStart(const BackendServer& server, TimePoint now) {
  if (m_service == nullptr) return;
  m_has_cold_bound = m_service->cold_calls_per_second > 0.0;
  m_cold_start.SetTolerance({m_service->cold_calls_per_second, m_service->cold_burst}, now);
  m_listed_as_cold = server.warming;
}

void OwnerService::ResetServerState() {
  m_cold_start.SetUnknown();
  m_occupied_slots.Reset();
}

void OwnerService::UpdateStartLimit(TimePoint now) {
  // Without a health path only the inventory reports the state, and it lags.
  if (m_has_cold_bound && !m_service->health) {
    m_cold_start.RecordState(m_listed_as_cold ? kInventoryColdTime : Duration(0), now);
  }
  const std::optional<StartLimit> limit = m_has_cold_bound ? m_cold_start.Limit(now) : std::nullopt;
  m_admission.SetStartLimit(limit);
  if (std::exchange(m_is_cold, limit.has_value()) == limit.has_value()) return;
  LogEvent(LogPart::kOwner, LogLevel::kInfo, limit ? "cold_started" : "cold_ended");
}

std::size_t OwnerService::FreeSlots() const {
  const std::size_t slots = m_admission.Slots();
  if (!m_has_cold_bound) return slots;
  return slots - std::min(m_occupied_slots.Count(), slots - 1);
}

bool OwnerService::AwaitsFirstReport(TimePoint now) {
  const bool has_reports = m_has_cold_bound && m_probe && m_service->health;
  return has_reports && m_admission.Load().queued > 0 && m_occupied_slots.AwaitsReport(now);
}

void OwnerService::AskForState(TimePoint now) {
  const bool is_due = now - m_state_asked_at >= kStateQueryInterval;
  if (!is_due || m_admission.Load().queued == 0 || !m_cold_start.NeedsState(now)) return;
  m_state_asked_at = now;
  StartProbe();
}

void OwnerService::HandleMessage(const ReplyRoute& route, wire::Envelope message) {
  const std::lock_guard lock(m_lock);
  if (message.has_call_request()) {
    HandleCallRequest(route, std::move(*message.mutable_call_request()));
  } else if (message.has_cancel()) {
    HandleCancel(route, message.cancel());
  } else if (message.has_status_query()) {
    HandleStatusQuery(route, message.status_query());
  } else if (message.has_credit()) {
    HandleCredit(route, message.credit());
  } else if (message.has_load_query()) {
    HandleLoadQuery(route, message.load_query());
  } else if (message.has_claim_release()) {
    m_claims.HandleRelease(route, message.claim_release(), LockedState(), WallNow());
  } else if (message.has_claim_released()) {
    HandleClaimResults(m_claims.HandleReleased(route.peer, message.claim_released(), WallNow()));
  }
}

void OwnerService::HandleSendFailed(const wire::Envelope& message) {
  if (!message.has_claim_release()) return;
  const std::lock_guard lock(m_lock);
  HandleClaimResults(m_claims.HandleSendFailed(message.claim_release()));
}

void OwnerService::RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state) {
  const std::lock_guard lock(m_lock);
  m_claims.RecordPeerState(peer, state, WallNow());
}

void OwnerService::SetAbsentSince(AbsentSince absent_since) {
  const std::lock_guard lock(m_lock);
  m_claims.SetAbsentSince(std::move(absent_since));
}

SendDecision OwnerService::CheckRequest(const CallKey& key, const wire::CallRequest& request,
                                        TimePoint now) const {
  if (request.server_id() != m_identity.server.Value() || m_service == nullptr) {
    return {Reason::kWrongServer, false};
  }
  // A VM's address may be reassigned to a server of another service while ingresses still route by
  // the old configuration.
  if (request.service() != m_service->id.Value()) return {Reason::kWrongServer, false};
  const SendDecision decision = m_calls.CheckArrival(key, request, now);
  if (decision.refusal != Reason::kNone || decision.ignore) return decision;
  if (IsLeaving()) return {Reason::kDraining, false};
  if (m_evacuated) return {Reason::kEvacuated, false};
  return {IsViewFresh(now) ? Reason::kNone : Reason::kViewRefreshing, false};
}

void OwnerService::HandleCallRequest(const ReplyRoute& route, wire::CallRequest request) {
  const TimePoint now = MonotonicNow();
  const CallKey key = KeyOf(route, request.ingress_incarnation(), request.call_id());
  const SendDecision decision = CheckRequest(key, request, now);
  if (decision.ignore) return;  // Duplicate delivery.
  if (decision.refusal != Reason::kNone) {
    m_calls.RecordRefused(key, request, now);
    return Refuse(route, request.call_id(), decision.refusal, LogIdOf(request, m_convention));
  }
  const OwnedCallId id = m_calls.Add(key, route, std::move(request));
  OwnedCall& call = m_calls.At(id);
  call.log_id = LogIdOf(call.request, m_convention);
  call.arrived = now;
  if (call.request.request_id().empty()) return Admit(id, now);
  StartClaim(id, call, now);
}

void OwnerService::StartClaim(OwnedCallId id, OwnedCall& call, TimePoint now) {
  const RequestDecision decision =
      m_claims.Start(id, call.request.request_id(), call.request.digest(), now, WallNow());
  switch (decision.kind) {
    case RequestDecision::Kind::kAccept:
      return Admit(id, now);
    case RequestDecision::Kind::kQueryServers:
      call.state = OwnedCallState::kClaiming;
      return;
    case RequestDecision::Kind::kRefuse:
      return RefuseNotRun(id, decision.reason);
    case RequestDecision::Kind::kReplay:
      return Replay(id, call, *decision.response);
  }
}

void OwnerService::HandleClaimResults(std::span<const ClaimResult> claims) {
  const TimePoint now = MonotonicNow();
  for (const ClaimResult& claim : claims) {
    if (claim.refusal != Reason::kNone) {
      RefuseNotRun(claim.call, claim.refusal);
    } else {
      Admit(claim.call, now);
    }
  }
}

void OwnerService::Admit(OwnedCallId id, TimePoint now) {
  OwnedCall& owned = m_calls.At(id);
  if (HoldOrRefuse(id, owned)) return;
  owned.state = OwnedCallState::kQueued;
  AdmissionCall call;
  call.id = id;
  call.deadline = owned.Deadline();
  call.bytes = owned.request.ByteSizeLong();
  if (owned.request.target_at_us() > 0) call.target = owned.Target();
  call.priority_index = m_admission.PriorityIndexOf(PriorityId(owned.request.priority()));
  UpdateStartLimit(now);
  const Admission admission = m_admission.Offer(call, now);
  for (const OwnedCallId evicted : admission.evicted) {
    RefuseNotRun(evicted, admission.eviction_reason);
  }
  if (admission.refusal != Reason::kNone) return RefuseNotRun(id, admission.refusal);
  Dispatch(now);
}

void OwnerService::SetLoadProbe(std::function<void()> probe) {
  const std::lock_guard lock(m_lock);
  m_probe = std::move(probe);
}

void OwnerService::HandleLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query) {
  const bool may_probe = m_probe && m_service != nullptr;
  if (!may_probe || m_pacer.IsFresh(MonotonicNow())) return AnswerLoadQuery(route, query);
  m_load_queries.emplace_back(route, query);
  StartProbe();
}

void OwnerService::StartProbe() {
  if (!m_probe || std::exchange(m_is_probing, true)) return;
  m_in_flight_at_probe = m_admission.Load().in_flight;
  m_probe();
}

void OwnerService::AnswerLoadQuery(const ReplyRoute& route, const wire::LoadQuery& query) {
  wire::Envelope message;
  wire::LoadAnswer& answer = *message.mutable_load_answer();
  answer.set_call_id(query.call_id());
  *answer.mutable_state() = LockedState();
  if (m_declaration) {
    UpdateStartLimit(MonotonicNow());
    const Duration wait = m_admission.ExpectedWaitOfPriority(
        m_admission.PriorityIndexOf(PriorityId(query.priority())));
    const std::size_t slots = m_admission.Slots();
    const std::size_t in_flight = std::min(m_admission.Load().in_flight + 1, slots);
    const Duration run = m_pacer.ExpectedTimeToResponse(PriorityId(query.priority()), in_flight,
                                                        slots, MonotonicNow());
    answer.set_expected_us(static_cast<std::uint64_t>((wait + run).count()));
    answer.set_refuses(WouldRefuse(query));
  }
  m_messenger.Reply(route, std::move(message));
}

bool OwnerService::WouldRefuse(const wire::LoadQuery& query) const {
  if (IsLeaving() || m_evacuated || m_service == nullptr) return true;
  if (query.deadline_left_us() == 0) return false;
  const TimePoint now = MonotonicNow();
  AdmissionCall call;
  call.priority_index = m_admission.PriorityIndexOf(PriorityId(query.priority()));
  call.deadline = now + Duration(static_cast<Duration::rep>(query.deadline_left_us()));
  call.target = now + Duration(static_cast<Duration::rep>(query.target_left_us()));
  return m_admission.WouldRefuse(call, now);
}

void OwnerService::AnswerLoadQueries() {
  m_is_probing = false;
  for (const auto& [route, query] : std::exchange(m_load_queries, {})) {
    AnswerLoadQuery(route, query);
  }
}

void OwnerService::OnProbedLoad(const ServerLoad& load, Duration cold_left) {
  const std::lock_guard lock(m_lock);
  const TimePoint now = MonotonicNow();
  RecordLoad(load, now);
  m_cold_start.RecordState(cold_left, now);
  // The report may be older than calls that were dispatched since the probe was sent.
  const std::size_t own = std::min(m_in_flight_at_probe, m_admission.Load().in_flight);
  m_occupied_slots.RecordReport(load.running + load.waiting, own);
  AnswerLoadQueries();
  Dispatch(now);
}

void OwnerService::OnProbeFailed() {
  const std::lock_guard lock(m_lock);
  AnswerLoadQueries();
}

void OwnerService::RecordLoad(const ServerLoad& load, TimePoint now) {
  m_slowness = load.slowness;
  m_pacer.RecordSlowness(load.slowness, now);
}

bool OwnerService::HoldOrRefuse(OwnedCallId id, OwnedCall& call) {
  const std::string& digest = call.request.digest();
  Reason refusal = m_crash_guard.CheckBan(digest);
  if (refusal == Reason::kNone) {
    if (!m_crash_guard.IsSuspect(digest)) return false;
    if (!m_suspect_gate.IsOccupied()) {
      m_suspect_gate.Enter(id);
      return false;
    }
    call.state = OwnedCallState::kHeld;
    refusal = m_suspect_gate.Wait(id, call.request.ByteSizeLong());
  }
  if (refusal != Reason::kNone) RefuseNotRun(id, refusal);
  return true;
}

void OwnerService::AdmitHeldSuspects(TimePoint now) {
  for (const OwnedCallId id : m_suspect_gate.Waiting()) {
    const OwnedCall& call = m_calls.At(id);
    if (call.Deadline() <= now) {
      RefuseNotRun(id, Reason::kQueueExpired);
    } else if (!m_suspect_gate.IsOccupied() || !m_crash_guard.IsSuspect(call.request.digest())) {
      m_suspect_gate.Leave(id);
      Admit(id, now);
    }
  }
}

void OwnerService::Replay(OwnedCallId id, OwnedCall& call, const StoredResponse& answer) {
  ResponsePart part;
  part.data = answer.body;
  part.last = true;
  wire::ResponseHead head;
  head.ParseFromString(answer.head);
  head.set_replayed(true);
  SendPart(id, call, std::move(part), &head);
  m_retransmits.Store(call.key, std::move(call.unacked), MonotonicNow());
  m_calls.RemoveFinished(id, MonotonicNow());
}

void OwnerService::Dispatch(TimePoint now) {
  // After a pause of the process, expired calls must be refused by the next tick, and the view must
  // be refreshed, before anything is dispatched.
  if (m_pause_detector.IsOverdue(now) || !IsViewFresh(now)) return;
  AskForState(now);
  UpdateStartLimit(now);
  if (AwaitsFirstReport(now)) return;
  m_admission.SetMaxInFlight(std::min(m_pacer.MaxInFlight(m_admission.Slots()), FreeSlots()));
  bool is_holding = false;
  const auto is_held = [&](const PriorityId& priority) {
    const bool is_held_now = m_pacer.IsHeld(priority, now);
    is_holding = is_holding || is_held_now;
    return is_held_now;
  };
  const std::vector<OwnedCallId> dispatched = m_admission.PopDispatchable(now, is_held);
  for (const OwnedCallId id : dispatched) {
    if (m_has_cold_bound) m_cold_start.RecordStart(now);
    RunCall(id, m_calls.At(id), now);
  }
  const std::size_t waiting = m_admission.Load().queued;
  if (m_is_cold && waiting > 0) m_metrics.Add(Metric::kColdStartDelays, waiting);
  if (is_holding && !m_pacer.IsFresh(now)) StartProbe();
}

void OwnerService::RunCall(OwnedCallId id, OwnedCall& call, TimePoint now) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.Deadline() - now);
  call.state = OwnedCallState::kRunning;
  call.dispatched_at = now;
  call.condition = m_pacer.Condition(m_admission.Load().in_flight, m_admission.Slots());
  m_log.Step("dispatched", call.log_id)
      .With("instance", m_instance)
      .With("waited_us", (now - call.arrived).count())
      .With("in_flight", static_cast<std::int64_t>(m_admission.Load().in_flight))
      .With("slowness_percent", static_cast<std::int64_t>(m_slowness * 100.0))
      .With("remaining_ms", remaining.count());
  BackendRequest request;
  request.request = MakeBackendRequest(call.request, remaining, m_convention, m_instance);
  request.credit = kResponseWindowBytes;
  request.timeout = remaining;
  request.idempotent = call.request.idempotent();
  request.check.id_field = m_convention.call_id;
  request.check.id = FindHeader(request.request.headers, m_convention.call_id);
  request.check.success_marker_field = m_convention.success_marker;
  request.check.not_run_field = m_convention.not_run;
  request.check.status_means_not_run =
      m_convention.status_guarantees_not_run && !m_convention.not_run.empty();
  call.request.clear_body();
  m_metrics.Add(Metric::kCallsDispatched);
  m_pool->SendRequest(id, std::move(request));
}

void OwnerService::HandleCancel(const ReplyRoute& route, const wire::Cancel& cancel) {
  const CallKey key = KeyOf(route, cancel.ingress_incarnation(), cancel.call_id());
  wire::Envelope answer;
  wire::CancelResult& result = *answer.mutable_cancel_result();
  result.set_call_id(cancel.call_id());
  const TimePoint now = MonotonicNow();
  const OwnedCallId id = m_calls.IdOf(key);
  OwnedCall* call = m_calls.Find(id);
  if (call == nullptr) {
    result.set_call_state(m_calls.Settle(key, cancel.expires_at_us(), now));
  } else if (call->state == OwnedCallState::kClaiming || call->state == OwnedCallState::kHeld ||
             m_admission.Cancel(id)) {
    m_suspect_gate.Leave(id);
    result.set_call_state(wire::CALL_STATE_CANCELLED);
    m_claims.RecordOutcome(id, ClaimOutcome::kNotRun);
    m_calls.RemoveCancelled(id, now);
  } else if (cancel.unless_running()) {
    result.set_call_state(wire::CALL_STATE_RUNNING);
  } else {
    result.set_call_state(wire::CALL_STATE_RUNNING);
    call->discard_answer = true;
    if (call->request.idempotent()) {
      m_pool->Cancel(id);
      m_claims.RecordOutcome(id, ClaimOutcome::kNotRun);  // An idempotent request may run again.
      Finish(id, SlotResult::kFailed);
    } else {
      // Aborting a request that is not idempotent would leave its effect unknown, so it runs to
      // completion and its response is discarded.
      m_pool->AddCredit(id, static_cast<std::size_t>(1) << 40U);
    }
  }
  *result.mutable_state() = LockedState();
  m_messenger.Reply(route, std::move(answer));
}

void OwnerService::HandleStatusQuery(const ReplyRoute& route, const wire::StatusQuery& query) {
  const CallKey key = KeyOf(route, query.ingress_incarnation(), query.call_id());
  wire::Envelope answer;
  wire::StatusResult& result = *answer.mutable_status_result();
  result.set_call_id(query.call_id());
  std::vector<wire::Envelope> missing;
  if (OwnedCall* call = m_calls.Find(m_calls.IdOf(key)); call != nullptr) {
    call->route = route;
    result.set_call_state(call->state == OwnedCallState::kRunning ? wire::CALL_STATE_RUNNING
                                                                  : wire::CALL_STATE_QUEUED);
    missing = call->unacked.MessagesFrom(query.next_sequence());
  } else if (const RetransmitBuffer* cached = m_retransmits.Find(key); cached != nullptr) {
    result.set_call_state(wire::CALL_STATE_DONE);
    missing = cached->MessagesFrom(query.next_sequence());
  } else {
    result.set_call_state(m_calls.Settle(key, query.expires_at_us(), MonotonicNow()));
  }
  result.set_answer_follows(!missing.empty());
  *result.mutable_state() = LockedState();
  m_messenger.Reply(route, std::move(answer));
  for (wire::Envelope& message : missing) m_messenger.Reply(route, std::move(message));
}

void OwnerService::HandleCredit(const ReplyRoute& route, const wire::Credit& credit) {
  const OwnedCallId id = m_calls.IdOf(KeyOf(route, credit.ingress_incarnation(), credit.call_id()));
  OwnedCall* call = m_calls.Find(id);
  if (call == nullptr) return;
  call->unacked.OnCredit(credit.bytes());
  m_pool->AddCredit(id, credit.bytes());
}

void OwnerService::Refuse(const ReplyRoute& route, std::uint64_t call_id, Reason reason,
                          std::string_view log_id, bool request_id_not_run) {
  m_metrics.CountRefusal(reason);
  const AdmissionLoad load = m_admission.Load();
  m_log.Failure("owner_refused", log_id, reason)
      .With("in_flight", static_cast<std::int64_t>(load.in_flight))
      .With("queued", static_cast<std::int64_t>(load.queued))
      .With("limit", static_cast<std::int64_t>(load.limit))
      .With("queue_delay_us", load.queue_delay.count());
  wire::Envelope message;
  // Some refusals are due to an earlier send of the same request, which may have run.
  if (InfoOf(reason).outcome == Outcome::kNotRun) {
    message.mutable_refused()->set_call_id(call_id);
    message.mutable_refused()->set_reason(static_cast<std::uint32_t>(reason));
    message.mutable_refused()->set_request_id_not_run(request_id_not_run);
    *message.mutable_refused()->mutable_state() = LockedState();
  } else {
    message.mutable_call_failed()->set_call_id(call_id);
    message.mutable_call_failed()->set_reason(static_cast<std::uint32_t>(reason));
    *message.mutable_call_failed()->mutable_state() = LockedState();
  }
  m_messenger.Reply(route, std::move(message));
}

void OwnerService::RefuseWaitingCalls(Reason reason) {
  const std::lock_guard lock(m_lock);
  RefuseWaiting(reason);
}

void OwnerService::RefuseWaiting(Reason reason) {
  for (const OwnedCallId id : m_calls.Waiting()) {
    m_admission.Cancel(id);
    RefuseNotRun(id, reason);
  }
}

void OwnerService::RefuseCallsOfOtherServices() {
  if (m_service == nullptr) return;
  for (const OwnedCallId id : m_calls.Waiting()) {
    if (m_calls.At(id).request.service() == m_service->id.Value()) continue;
    m_admission.Cancel(id);
    RefuseNotRun(id, Reason::kWrongServer);
  }
}

void OwnerService::RefuseNotRun(OwnedCallId id, Reason reason) {
  const OwnedCall& call = m_calls.At(id);
  m_suspect_gate.Leave(id);
  const bool request_id_not_run = m_claims.IsAccepted(id);
  m_claims.RecordOutcome(id, ClaimOutcome::kNotRun);
  Refuse(call.route, call.key.call.value, reason, call.log_id, request_id_not_run);
  m_calls.RemoveRefused(id, MonotonicNow());
}

void OwnerService::OnResponsePart(OwnedCallId id, ResponsePart part) {
  const std::lock_guard lock(m_lock);
  OwnedCall* call = m_calls.Find(id);
  if (call == nullptr) return;
  if (part.head) {
    const ResponseMarks marks =
        ReadMarks(*part.head, m_convention, m_service ? m_service->shed_status : std::nullopt);
    call->shed = marks.not_run;
    call->server_was_full = marks.server_was_full;
    RecordMarks(marks);
    m_log.Step("server_answered", call->log_id)
        .With("status", part.head->status)
        .With("time_us", (MonotonicNow() - call->dispatched_at).count())
        .With("slowness_percent", static_cast<std::int64_t>(m_slowness * 100.0));
  }
  const bool last = part.last;
  if (!call->shed) SendPart(id, *call, std::move(part), nullptr);
  if (last) FinishAnswered(id, *call);
}

void OwnerService::RecordMarks(const ResponseMarks& marks) {
  if (marks.load) RecordLoad(*marks.load, MonotonicNow());
  if (!marks.is_leaving) return;
  m_drain_header = m_drain_header.value_or(false) || *marks.is_leaving;
  if (*marks.is_leaving && !std::exchange(m_backend_leaving, true)) {
    RefuseWaiting(Reason::kDraining);
  }
}

std::optional<bool> OwnerService::PopDrainHeader() {
  const std::lock_guard lock(m_lock);
  return std::exchange(m_drain_header, std::nullopt);
}

void OwnerService::SetBackendLeaving(bool leaving) {
  const std::lock_guard lock(m_lock);
  if (m_backend_leaving == leaving) return;
  m_backend_leaving = leaving;
  LogEvent(LogPart::kOwner, LogLevel::kInfo, leaving ? "own_server_leaving" : "own_server_back");
  if (leaving) RefuseWaiting(Reason::kDraining);
}

void OwnerService::SetListedAsLeaving(bool leaving) {
  const std::lock_guard lock(m_lock);
  if (std::exchange(m_listed_as_leaving, leaving) == leaving) return;
  LogEvent(LogPart::kOwner, LogLevel::kInfo, leaving ? "own_server_leaving" : "own_server_back");
  if (leaving) RefuseWaiting(Reason::kDraining);
}

void OwnerService::SetEvacuated(bool evacuated) {
  if (std::exchange(m_evacuated, evacuated) == evacuated) return;
  LogEvent(LogPart::kOwner, LogLevel::kInfo,
           evacuated ? "own_server_evacuated" : "own_server_evacuation_ended");
  if (evacuated) return RefuseWaiting(Reason::kEvacuated);
  m_cold_start.SetUnknown();  // The servers may have been restarted meanwhile.
}

void OwnerService::SendPart(OwnedCallId id, OwnedCall& call, ResponsePart part,
                            const wire::ResponseHead* replayed_head) {
  wire::Envelope message;
  wire::ResponseChunk& chunk = *message.mutable_response_chunk();
  chunk.set_call_id(call.key.call.value);
  chunk.set_sequence(call.next_sequence++);
  if (part.head) *chunk.mutable_head() = ToWire(*part.head, m_convention);
  if (replayed_head != nullptr) *chunk.mutable_head() = *replayed_head;
  chunk.set_data(std::move(part.data));
  chunk.set_last(part.last);
  m_claims.RecordChunk(id, chunk);
  if (call.discard_answer) return;
  if (chunk.has_head() || chunk.last()) *chunk.mutable_state() = LockedState();
  call.unacked.Add(chunk);
  m_messenger.Reply(call.route, std::move(message));
}

void OwnerService::FinishAnswered(OwnedCallId id, OwnedCall& call) {
  if (call.shed) {
    const ReplyRoute route = call.route;
    const std::uint64_t call_id = call.key.call.value;
    const std::string log_id = call.log_id;
    const bool request_id_not_run = m_claims.IsAccepted(id);
    m_claims.RecordOutcome(id, ClaimOutcome::kNotRun);
    Finish(id, call.server_was_full ? SlotResult::kShed : SlotResult::kFailed);
    return Refuse(route, call_id, Reason::kBackendShed, log_id, request_id_not_run);
  }
  if (!call.discard_answer) m_retransmits.Store(call.key, std::move(call.unacked), MonotonicNow());
  m_claims.RecordOutcome(id, ClaimOutcome::kRan);
  m_crash_guard.RecordLocalCompletion(call.request.digest());
  m_pacer.RecordCompletion(PriorityId(call.request.priority()), MonotonicNow() - call.dispatched_at,
                           call.condition);
  Finish(id, SlotResult::kCompleted);
}

void OwnerService::OnRequestFailed(OwnedCallId id, const RequestFailure& failure) {
  const std::lock_guard lock(m_lock);
  OwnedCall* call = m_calls.Find(id);
  if (call == nullptr) return;
  const ReplyRoute route = call->route;
  const std::uint64_t call_id = call->key.call.value;
  const bool discard = call->discard_answer;
  const std::string log_id = call->log_id;
  const auto [reason, may_have_run, fault] = failure;
  if (fault != ResponseFault::kNone) {
    m_log.Failure("response_rejected", log_id, reason).With("rule", FaultName(fault));
  }
  // The server could not be reached, or it may have crashed.
  if (!may_have_run || reason == Reason::kBackendClosed) m_cold_start.SetUnknown();
  if (reason == Reason::kBackendClosed && may_have_run) {
    m_crash_guard.RecordAborted(call->request.digest());
  }
  const bool request_id_not_run = !may_have_run && m_claims.IsAccepted(id);
  const bool may_run_again = !may_have_run || call->request.idempotent();
  m_claims.RecordOutcome(id, may_run_again ? ClaimOutcome::kNotRun : ClaimOutcome::kMayHaveRun,
                         reason);
  Finish(id, SlotResult::kFailed);
  if (discard) return;
  Refuse(route, call_id, may_have_run ? reason : Reason::kBackendUnreachable, log_id,
         request_id_not_run);
}

void OwnerService::Finish(OwnedCallId id, SlotResult result) {
  const TimePoint now = MonotonicNow();
  m_calls.RemoveFinished(id, now);
  m_admission.OnCallFinished(id, result, now);
  m_suspect_gate.Leave(id);
  AdmitHeldSuspects(now);
  Dispatch(now);
}

void OwnerService::Tick(TimePoint now) {
  const std::lock_guard lock(m_lock);
  for (const OwnedCallId id : m_admission.PopExpired(now)) {
    RefuseNotRun(id, Reason::kQueueExpired);
  }
  UpdateStartLimit(now);
  for (const OwnedCallId id : m_admission.PopUnservable(now)) {
    RefuseNotRun(id, Reason::kQueueFullTime);
  }
  if (m_pause_detector.RecordTick(now)) {
    m_metrics.Add(Metric::kProcessPauses);
    LogEvent(LogPart::kOwner, LogLevel::kWarning, "paused");
  }
  HandleClaimResults(m_claims.Tick(now, WallNow()));
  AdmitHeldSuspects(now);
  Dispatch(now);
  m_retransmits.EvictExpired(now);
  const AdmissionLoad load = m_admission.Load();
  m_metrics.Set(Metric::kQueuedCalls, load.queued);
  m_metrics.Set(Metric::kInFlightCalls, load.in_flight);
  if (now < m_next_sweep) return;
  m_next_sweep = now + kEndedCallSweepInterval;
  m_calls.Sweep(now);
}

void OwnerService::StartDrain() {
  const std::lock_guard lock(m_lock);
  if (m_draining) return;
  m_draining = true;
  LogEvent(LogPart::kOwner, LogLevel::kInfo, "draining");
}

wire::OwnerState OwnerService::State() const {
  const std::lock_guard lock(m_lock);
  return LockedState();
}

wire::OwnerState OwnerService::LockedState() const {
  const AdmissionLoad load = m_admission.Load();
  wire::OwnerState state;
  state.set_incarnation(m_identity.incarnation.value);
  state.set_clock_us(ToClockMicroseconds(MonotonicNow()));
  state.set_in_flight(static_cast<std::uint32_t>(load.in_flight));
  state.set_queued(static_cast<std::uint32_t>(load.queued));
  state.set_limit(static_cast<std::uint32_t>(load.limit));
  state.set_queue_delay_us(static_cast<std::uint64_t>(load.queue_delay.count()));
  state.set_service_time_us(static_cast<std::uint64_t>(load.service_time.count()));
  state.set_draining(m_draining || m_backend_leaving);
  state.set_started_ms(static_cast<std::uint64_t>(m_identity.started.time_since_epoch().count()));
  state.set_configuration_version(m_configuration_version);
  state.set_slowness_percent(static_cast<std::uint32_t>(m_slowness * 100.0));
  return state;
}

bool OwnerService::IsDraining() const {
  const std::lock_guard lock(m_lock);
  return m_draining || m_backend_leaving;
}

bool OwnerService::HasRunningCallDispatchedBefore(TimePoint before) const {
  const std::lock_guard lock(m_lock);
  return m_calls.HasRunningCallDispatchedBefore(before);
}

bool OwnerService::IsIdle() const {
  const std::lock_guard lock(m_lock);
  return m_calls.IsEmpty();
}

CallKey OwnerService::KeyOf(const ReplyRoute& route, std::uint64_t incarnation,
                            std::uint64_t call_id) const {
  return CallKey{route.peer, Incarnation{incarnation}, CallId{call_id}};
}

}  // namespace damaskhollow
