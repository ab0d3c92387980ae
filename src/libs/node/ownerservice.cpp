#include "node/ownerservice.h"

#include <algorithm>
#include <utility>

#include "base/endpoint.h"
#include "logging/logger.h"
#include "node/callheaders.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kAnswerWindowBytes = 256UL * 1024UL;
constexpr std::size_t kKeptAnswerBytes = 1024UL * 1024UL;
// Covers the detection of a silent link and the handshake of a new one between regions.
constexpr std::chrono::seconds kKeptAnswerAge{3};
constexpr std::uint64_t kTombstoneSweepUs = 1000000;
constexpr std::uint64_t kLongestTombstoneUs = 86400000000ULL;

}  // namespace

OwnerService::OwnerService(NodeIdentity identity, MetricsRegistry& metrics, Messenger& messenger)
    : m_identity(std::move(identity)),
      m_metrics(metrics),
      m_messenger(messenger),
      m_admission(AdmissionLimits{}, {}),
      m_kept(kKeptAnswerBytes, kKeptAnswerAge) {}

void OwnerService::ApplyDeclaration(std::shared_ptr<const Declaration> declaration,
                                    std::uint64_t version) {
  const std::lock_guard lock(m_lock);
  m_declaration = std::move(declaration);
  m_version = version;
  const BackendServer* server = m_declaration->FindServer(m_identity.server);
  m_service = server == nullptr ? nullptr : m_declaration->FindService(server->service);
  if (server == nullptr) {
    DAMASKHOLLOW_LOG(kOwner, kWarning)
        << "this backend server is not in the inventory; refusing new calls";
    return;
  }
  AdmissionLimits limits;
  limits.slots = server->slots;
  m_admission.Reconfigure(limits, m_declaration->priorities);
  if (const Result<Endpoint> endpoint = ParseEndpoint(server->address)) {
    m_pool->SetServer(endpoint.value());
  }
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
  }
}

Reason OwnerService::CheckRequest(const CallKey& key, const wire::CallRequest& request,
                                  TimePoint now) const {
  if (request.server_id() != m_identity.server.Value() || m_service == nullptr) {
    return Reason::kWrongServer;
  }
  if (request.owner_incarnation() != m_identity.incarnation.value) return Reason::kWrongIncarnation;
  if (request.expires_at_us() <= ToClockMicroseconds(now)) return Reason::kExpired;
  if (m_tombstones.contains(key)) return Reason::kCancelled;
  if (m_draining || m_backend_leaving) return Reason::kDraining;
  if (!IsViewFresh(now)) return Reason::kViewRefreshing;
  return Reason::kNone;
}

void OwnerService::HandleCallRequest(const ReplyRoute& route, wire::CallRequest request) {
  const TimePoint now = MonotonicNow();
  const CallKey key = KeyOf(route, request.ingress_incarnation(), request.call_id());
  if (m_call_ids.contains(key)) return;  // Delivered twice.
  if (const Reason reason = CheckRequest(key, request, now); reason != Reason::kNone) {
    return Refuse(route, request.call_id(), reason);
  }
  const OwnedCallId id{m_next_call++};
  AdmissionCall call;
  call.id = id;
  call.deadline = TimePoint(Duration(static_cast<Duration::rep>(request.expires_at_us())));
  call.bytes = request.ByteSizeLong();
  const Priority* priority = m_declaration->FindPriority(PriorityId(request.priority()));
  call.priority_index = priority == nullptr
                            ? m_declaration->priorities.size() - 1
                            : static_cast<std::size_t>(priority - m_declaration->priorities.data());
  const Admission admission = m_admission.Offer(call, now);
  for (const OwnedCallId evicted : admission.evicted) {
    RefuseQueued(evicted, admission.eviction_reason);
  }
  if (admission.refusal != Reason::kNone) {
    return Refuse(route, request.call_id(), admission.refusal);
  }
  OwnedCall owned;
  owned.key = key;
  owned.route = route;
  owned.request = std::move(request);
  m_call_ids[key] = id;
  m_calls.emplace(id, std::move(owned));
  Dispatch(now);
}

void OwnerService::Dispatch(TimePoint now) {
  if (!IsViewFresh(now)) return;  // Tick dispatches when it is fresh again.
  for (const OwnedCallId id : m_admission.TakeDispatchable(now)) RunCall(id, m_calls.at(id), now);
}

void OwnerService::RunCall(OwnedCallId id, OwnedCall& call, TimePoint now) {
  const TimePoint deadline =
      TimePoint(Duration(static_cast<Duration::rep>(call.request.expires_at_us())));
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  call.running = true;
  BackendRequest request;
  request.request = BackendRequestOf(call.request, remaining);
  request.credit = kAnswerWindowBytes;
  request.timeout = remaining;
  request.idempotent = call.request.idempotent();
  call.request.clear_body();
  m_metrics.Add(Metric::kCallsDispatched);
  m_pool->Run(id, std::move(request));
}

void OwnerService::HandleCancel(const ReplyRoute& route, const wire::Cancel& cancel) {
  const CallKey key = KeyOf(route, cancel.ingress_incarnation(), cancel.call_id());
  wire::Envelope answer;
  wire::CancelResult& result = *answer.mutable_cancel_result();
  result.set_call_id(cancel.call_id());
  const auto found = m_call_ids.find(key);
  if (found == m_call_ids.end()) {
    result.set_call_state(StateOfUnknownCall(key));
    AddTombstone(key, cancel.expires_at_us(), wire::CALL_STATE_CANCELLED);
  } else if (const OwnedCallId id = found->second; m_admission.Cancel(id)) {
    result.set_call_state(wire::CALL_STATE_CANCELLED);
    AddTombstone(key, cancel.expires_at_us(), wire::CALL_STATE_CANCELLED);
    m_call_ids.erase(found);
    m_calls.erase(id);
  } else {
    result.set_call_state(wire::CALL_STATE_RUNNING);
    OwnedCall& call = m_calls.at(id);
    call.discard_answer = true;
    if (call.request.idempotent()) {
      m_pool->Cancel(id);
      Finish(id, SlotResult::kFailed);
    } else {
      // Cutting it off would leave its effect uncertain, so it runs to its end and the answer is
      // dropped.
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
  const auto found = m_call_ids.find(key);
  if (found != m_call_ids.end()) {
    OwnedCall& call = m_calls.at(found->second);
    call.route = route;
    result.set_call_state(call.running ? wire::CALL_STATE_RUNNING : wire::CALL_STATE_QUEUED);
    missing = call.tail.Missing(query.next_sequence());
  } else if (const AnswerTail* kept = m_kept.Find(key); kept != nullptr) {
    result.set_call_state(wire::CALL_STATE_DONE);
    missing = kept->Missing(query.next_sequence());
  } else {
    result.set_call_state(StateOfUnknownCall(key));
    if (result.call_state() == wire::CALL_STATE_NEVER_SEEN) {
      AddTombstone(key, query.expires_at_us(), wire::CALL_STATE_CANCELLED);
    }
  }
  result.set_answer_follows(!missing.empty());
  *result.mutable_state() = LockedState();
  m_messenger.Reply(route, std::move(answer));
  for (wire::Envelope& message : missing) m_messenger.Reply(route, std::move(message));
}

void OwnerService::HandleCredit(const ReplyRoute& route, const wire::Credit& credit) {
  const auto found = m_call_ids.find(KeyOf(route, credit.ingress_incarnation(), credit.call_id()));
  if (found == m_call_ids.end()) return;
  m_calls.at(found->second).tail.NoteCredit(credit.bytes());
  m_pool->AddCredit(found->second, credit.bytes());
}

void OwnerService::Refuse(const ReplyRoute& route, std::uint64_t call_id, Reason reason) {
  m_metrics.CountRefusal(reason);
  wire::Envelope message;
  message.mutable_refused()->set_call_id(call_id);
  message.mutable_refused()->set_reason(static_cast<std::uint32_t>(reason));
  *message.mutable_refused()->mutable_state() = LockedState();
  m_messenger.Reply(route, std::move(message));
}

void OwnerService::RefuseQueued(OwnedCallId id, Reason reason) {
  const auto found = m_calls.find(id);
  Refuse(found->second.route, found->second.key.call.value, reason);
  AddTombstone(found->second.key, found->second.request.expires_at_us(),
               wire::CALL_STATE_CANCELLED);
  m_call_ids.erase(found->second.key);
  m_calls.erase(found);
}

void OwnerService::OnAnswerPart(OwnedCallId id, AnswerPart part) {
  const std::lock_guard lock(m_lock);
  OwnedCall* call = FindCall(id);
  if (call == nullptr) return;
  if (part.head) call->shed = m_service != nullptr && m_service->shed_status == part.head->status;
  if (part.head) NoteDrainHeader(*part.head);
  const bool last = part.last;
  if (!call->shed && !call->discard_answer) SendPart(*call, std::move(part));
  if (last) FinishAnswered(id, *call);
}

void OwnerService::NoteDrainHeader(const HttpResponseHead& head) {
  const std::string_view value = FindHeader(head.headers, "Damaskhollow-Drain");
  if (value.empty()) return;
  const bool is_leaving = value == "1";
  m_drain_header = m_drain_header.value_or(false) || is_leaving;
  m_backend_leaving = m_backend_leaving || is_leaving;
}

std::optional<bool> OwnerService::TakeDrainHeader() {
  const std::lock_guard lock(m_lock);
  return std::exchange(m_drain_header, std::nullopt);
}

void OwnerService::SetBackendLeaving(bool leaving) {
  const std::lock_guard lock(m_lock);
  if (m_backend_leaving == leaving) return;
  m_backend_leaving = leaving;
  DAMASKHOLLOW_LOG(kOwner, kInfo) << (leaving
                                          ? "the backend server is leaving; new calls are refused"
                                          : "the backend server takes new calls again");
}

void OwnerService::SendPart(OwnedCall& call, AnswerPart part) {
  wire::Envelope message;
  wire::ResponseChunk& chunk = *message.mutable_response_chunk();
  chunk.set_call_id(call.key.call.value);
  chunk.set_sequence(call.next_sequence++);
  if (part.head) *chunk.mutable_head() = ToWire(*part.head);
  chunk.set_data(std::move(part.data));
  chunk.set_last(part.last);
  if (part.head || part.last) *chunk.mutable_state() = LockedState();
  call.tail.Add(chunk);
  m_messenger.Reply(call.route, std::move(message));
}

void OwnerService::FinishAnswered(OwnedCallId id, OwnedCall& call) {
  if (call.shed) {
    const ReplyRoute route = call.route;
    const std::uint64_t call_id = call.key.call.value;
    Finish(id, SlotResult::kShed);
    return Refuse(route, call_id, Reason::kBackendShed);
  }
  if (!call.discard_answer) m_kept.Keep(call.key, std::move(call.tail), MonotonicNow());
  Finish(id, SlotResult::kCompleted);
}

void OwnerService::OnAnswerFailed(OwnedCallId id, Reason reason, bool may_have_run) {
  const std::lock_guard lock(m_lock);
  OwnedCall* call = FindCall(id);
  if (call == nullptr) return;
  const ReplyRoute route = call->route;
  const std::uint64_t call_id = call->key.call.value;
  const bool discard = call->discard_answer;
  Finish(id, SlotResult::kFailed);
  if (discard) return;
  if (!may_have_run) return Refuse(route, call_id, Reason::kBackendUnreachable);
  m_metrics.CountRefusal(reason);
  wire::Envelope message;
  message.mutable_call_failed()->set_call_id(call_id);
  message.mutable_call_failed()->set_reason(static_cast<std::uint32_t>(reason));
  *message.mutable_call_failed()->mutable_state() = LockedState();
  m_messenger.Reply(route, std::move(message));
}

void OwnerService::Finish(OwnedCallId id, SlotResult result) {
  const TimePoint now = MonotonicNow();
  const auto found = m_calls.find(id);
  AddTombstone(found->second.key, found->second.request.expires_at_us(), wire::CALL_STATE_DONE);
  m_call_ids.erase(found->second.key);
  m_calls.erase(found);
  m_admission.NoteFinished(id, result, now);
  Dispatch(now);
}

void OwnerService::AddTombstone(const CallKey& key, std::uint64_t expires_at_us,
                                wire::CallState state) {
  const std::uint64_t now_us = ToClockMicroseconds(MonotonicNow());
  m_tombstones.emplace(key,
                       Tombstone{std::min(expires_at_us, now_us + kLongestTombstoneUs), state});
}

wire::CallState OwnerService::StateOfUnknownCall(const CallKey& key) const {
  const auto found = m_tombstones.find(key);
  return found == m_tombstones.end() ? wire::CALL_STATE_NEVER_SEEN : found->second.state;
}

void OwnerService::Tick(TimePoint now) {
  const std::lock_guard lock(m_lock);
  for (const OwnedCallId id : m_admission.TakeExpired(now)) {
    RefuseQueued(id, Reason::kQueueExpired);
  }
  Dispatch(now);
  m_kept.DropOld(now);
  const AdmissionLoad load = m_admission.Load();
  m_metrics.Set(Metric::kQueuedCalls, load.queued);
  m_metrics.Set(Metric::kInFlightCalls, load.in_flight);
  const std::uint64_t now_us = ToClockMicroseconds(now);
  if (now_us < m_next_tombstone_sweep_us) return;
  m_next_tombstone_sweep_us = now_us + kTombstoneSweepUs;
  std::erase_if(m_tombstones,
                [&](const auto& entry) { return entry.second.expires_at_us < now_us; });
}

void OwnerService::StartDrain() {
  const std::lock_guard lock(m_lock);
  if (m_draining) return;
  m_draining = true;
  DAMASKHOLLOW_LOG(kOwner, kInfo) << "draining; new calls are refused";
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
  state.set_configuration_version(m_version);
  return state;
}

bool OwnerService::IsDraining() const {
  const std::lock_guard lock(m_lock);
  return m_draining || m_backend_leaving;
}

bool OwnerService::IsIdle() const {
  const std::lock_guard lock(m_lock);
  return m_calls.empty();
}

CallKey OwnerService::KeyOf(const ReplyRoute& route, std::uint64_t incarnation,
                            std::uint64_t call_id) const {
  return CallKey{route.peer, Incarnation{incarnation}, CallId{call_id}};
}

OwnerService::OwnedCall* OwnerService::FindCall(OwnedCallId id) {
  const auto found = m_calls.find(id);
  return found == m_calls.end() ? nullptr : &found->second;
}

}  // namespace damaskhollow
