#include "ingress/ingressservice.h"

#include <system_error>
#include <utility>

#include "calls/callheaders.h"
#include "logging/logger.h"
#include "policy/descriptorbudget.h"

namespace damaskhollow {

namespace {

// Fraction of the limit that is closed per pass. Closing in batches amortizes the search for the
// oldest connections.
constexpr std::size_t kCloseBatchDivisor = 16;
// Retry delay advised to callers whose connection is refused.
constexpr std::chrono::milliseconds kOverloadedRetryAfter{1000};
constexpr std::chrono::seconds kAcceptWarningInterval{1};
// Callers that can be refused at the same time while no descriptor is left.
constexpr std::size_t kSpareDescriptors = 8;
// Bounds the time for which a flood of new connections keeps a port from being closed.
constexpr std::size_t kMaxLastRefusals = 2048;

// The id of the call that an owner's message refers to; 0 if it refers to none.
std::uint64_t CallIdOf(const wire::Envelope& message) {
  switch (message.body_case()) {
    case wire::Envelope::kResponseChunk:
      return message.response_chunk().call_id();
    case wire::Envelope::kRefused:
      return message.refused().call_id();
    case wire::Envelope::kCallFailed:
      return message.call_failed().call_id();
    case wire::Envelope::kStatusResult:
      return message.status_result().call_id();
    case wire::Envelope::kCancelResult:
      return message.cancel_result().call_id();
    case wire::Envelope::kLoadAnswer:
      return message.load_answer().call_id();
    default:
      return 0;
  }
}

}  // namespace

IngressService::IngressService(const IngressContext& context,
                               std::span<const std::unique_ptr<EventThread>> workers)
    : m_context(context), m_spare_descriptors(kSpareDescriptors) {
  for (std::size_t index = 0; index < workers.size(); ++index) {
    Slot slot{workers[index].get(), nullptr};
    // The shard's timer needs the thread affinity of the worker, so the shard is created there.
    slot.thread->RunAndWait(
        [&] { slot.shard = std::make_unique<IngressShard>(m_context, index, workers.size()); });
    m_slots.push_back(std::move(slot));
  }
}

IngressService::~IngressService() = default;

void IngressService::Post(Slot& slot, std::function<void(IngressShard&)> task) {
  slot.thread->Post([&slot, task = std::move(task)] {
    if (slot.shard) task(*slot.shard);
  });
}

void IngressService::incomingConnection(qintptr descriptor) {
  const std::size_t connections = m_context.caller_connections.load();
  // Descriptors may have become free since the limits were computed, so that no connection need be
  // closed.
  if (connections >= m_context.max_caller_connections.load()) m_context.update_connection_limits();
  const std::size_t limit = m_context.max_caller_connections.load();
  if (connections >= limit) CloseWaitingConnections();
  if (connections >= UrgentConnectionLimit(limit)) {
    if (m_refused_callers.size() < m_context.max_refused_connections.load()) {
      return Refuse(descriptor, false);
    }
    m_context.metrics.CountRefusal(Reason::kIngressOverloaded);
    return RefuseAtOnce(static_cast<int>(descriptor), OverloadedResponse());
  }
  m_context.caller_connections.fetch_add(1);
  Slot& slot = m_slots[m_next_slot++ % m_slots.size()];
  Post(slot, [descriptor](IngressShard& shard) { shard.AddCaller(descriptor); });
}

std::string IngressService::OverloadedResponse() const {
  const GeneratedResponse response = GenerateResponse(Reason::kIngressOverloaded, Outcome::kNotRun,
                                                      m_context.convention, kOverloadedRetryAfter);
  return SerializeResponseHead(response.head, {}) + response.body;
}

void IngressService::Refuse(qintptr descriptor, bool uses_spare) {
  m_context.metrics.CountRefusal(Reason::kIngressOverloaded);
  const std::uint64_t id = m_next_refused_caller++;
  m_refused_callers[id] = std::make_unique<RefusedCaller>(
      descriptor, OverloadedResponse(), [this, id, uses_spare] { OnRefused(id, uses_spare); });
}

void IngressService::OnRefused(std::uint64_t id, bool uses_spare) {
  const auto found = m_refused_callers.find(id);
  found->second.release()->deleteLater();  // It has emitted the current event.
  m_refused_callers.erase(found);
  if (!uses_spare) return;
  m_spare_descriptors.Refill();
  RefuseWaitingCallers();
}

void IngressService::OnAcceptFailed(int error) {
  m_context.metrics.Add(Metric::kAcceptFailures);
  const TimePoint now = MonotonicNow();
  const bool is_logged = now - m_last_accept_warning >= kAcceptWarningInterval;
  if (is_logged) m_last_accept_warning = now;
  EventLine(LogPart::kIngress, LogLevel::kWarning, "accept_failed", is_logged)
      .With("detail", std::generic_category().message(error))
      .With("connections", static_cast<std::int64_t>(m_context.caller_connections.load()));
  if (!IsLackOfResources(error)) return;
  CloseWaitingConnections();
  RefuseWaitingCallers();
}

void IngressService::RefuseWaitingCallers() {
  while (isListening() && m_spare_descriptors.ReleaseOne()) {
    const int caller = AcceptOne();
    if (caller < 0) return m_spare_descriptors.Refill();
    Refuse(caller, true);
  }
}

void IngressService::OnLastAcceptFailed(int error) {
  if (IsLackOfResources(error)) RefuseLastCallers();
}

void IngressService::RefuseLastCallers() {
  if (!m_spare_descriptors.ReleaseOne()) {
    if (m_refused_callers.empty()) return;
    m_refused_callers.erase(m_refused_callers.begin());
  }
  const std::string response = OverloadedResponse();
  for (std::size_t count = 0; count < kMaxLastRefusals; ++count) {
    const int caller = AcceptOne();
    if (caller < 0) return;
    m_context.metrics.CountRefusal(Reason::kIngressOverloaded);
    RefuseAtOnce(caller, response);
  }
}

void IngressService::EnforceConnectionLimit() {
  if (m_refused_callers.empty()) m_spare_descriptors.Refill();
  if (m_context.caller_connections.load() > m_context.max_caller_connections.load()) {
    CloseWaitingConnections();
  }
}

void IngressService::CloseWaitingConnections() {
  const std::size_t count =
      m_context.max_caller_connections.load() / kCloseBatchDivisor / m_slots.size() + 1;
  for (Slot& slot : m_slots) {
    Post(slot, [count](IngressShard& shard) { shard.CloseWaitingConnections(count); });
  }
}

void IngressService::HandleOwnerMessage(const BackendServerId& owner, wire::Envelope message) {
  const std::uint64_t call = CallIdOf(message);
  if (call == 0) return;
  Slot& slot = SlotOf(call);
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  Post(slot, [owner, shared](IngressShard& shard) { shard.HandleOwnerMessage(owner, *shared); });
}

void IngressService::HandleSendFailed(const wire::Envelope& message) {
  if (!message.has_call_request()) return;
  const CallId call{message.call_request().call_id()};
  Slot& slot = SlotOf(call.value);
  Post(slot, [call](IngressShard& shard) { shard.HandleSendFailed(call); });
}

void IngressService::HandleLinkDown(const BackendServerId& owner) {
  for (Slot& slot : m_slots) {
    Post(slot, [owner](IngressShard& shard) { shard.HandleLinkDown(owner); });
  }
}

void IngressService::HandleLinkUp(const BackendServerId& owner) {
  for (Slot& slot : m_slots) {
    Post(slot, [owner](IngressShard& shard) { shard.HandleLinkUp(owner); });
  }
}

void IngressService::StartClosing(TimePoint end) {
  StopListening();
  for (Slot& slot : m_slots) {
    Post(slot, [end](IngressShard& shard) { shard.CloseConnections(end); });
  }
}

void IngressService::WithdrawWaitingCalls() {
  for (Slot& slot : m_slots) {
    Post(slot, [](IngressShard& shard) { shard.WithdrawWaitingCalls(); });
  }
}

void IngressService::EndRemainingCalls() {
  for (Slot& slot : m_slots) {
    Post(slot, [](IngressShard& shard) { shard.EndRemainingCalls(); });
  }
}

void IngressService::Stop() {
  for (Slot& slot : m_slots) {
    slot.thread->RunAndWait([&slot] { slot.shard.reset(); });
  }
}

}  // namespace damaskhollow
