#include "ingress/ingressservice.h"

#include <QHostAddress>
#include <utility>

#include "calls/callheaders.h"

namespace damaskhollow {

namespace {

constexpr int kListenBacklog = 512;
// Connections are accepted up to a quarter above the limit, so that calls of the most urgent
// priority get in while other traffic fills the limit.
constexpr std::size_t kUrgentReserveDivisor = 4;
// Fraction of the limit that is closed per pass. Closing in batches amortizes the search for the
// oldest connections.
constexpr std::size_t kCloseBatchDivisor = 16;
// Retry delay advised to callers whose connection is refused.
constexpr std::chrono::milliseconds kOverloadedRetryAfter{1000};

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
    : m_context(context) {
  for (std::size_t index = 0; index < workers.size(); ++index) {
    Slot slot{workers[index].get(), nullptr};
    // The shard's timer needs the thread affinity of the worker, so the shard is created there.
    slot.thread->RunAndWait(
        [&] { slot.shard = std::make_unique<IngressShard>(m_context, index, workers.size()); });
    m_slots.push_back(std::move(slot));
  }
}

IngressService::~IngressService() = default;

Result<void> IngressService::Listen(const Endpoint& endpoint) {
  setListenBacklogSize(kListenBacklog);
  if (!listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port)) {
    return Failure{FailureCode::kSocket, ToString(endpoint), errorString().toStdString()};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void IngressService::Post(Slot& slot, std::function<void(IngressShard&)> task) {
  slot.thread->Post([&slot, task = std::move(task)] {
    if (slot.shard) task(*slot.shard);
  });
}

void IngressService::incomingConnection(qintptr descriptor) {
  const std::size_t connections = m_context.caller_connections.load();
  const std::size_t limit = m_context.max_caller_connections;
  if (connections >= limit) CloseWaitingConnections();
  if (connections >= limit + limit / kUrgentReserveDivisor) {
    m_context.metrics.CountRefusal(Reason::kIngressOverloaded);
    const GeneratedResponse answer = GenerateResponse(Reason::kIngressOverloaded, Outcome::kNotRun,
                                                      m_context.convention, kOverloadedRetryAfter);
    auto* socket = new QTcpSocket(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->setSocketDescriptor(descriptor);
    socket->write(QByteArray::fromStdString(SerializeResponseHead(answer.head, {}) + answer.body));
    socket->disconnectFromHost();
    return;
  }
  m_context.caller_connections.fetch_add(1);
  Slot& slot = m_slots[m_next_slot++ % m_slots.size()];
  Post(slot, [descriptor](IngressShard& shard) { shard.AddCaller(descriptor); });
}

void IngressService::CloseWaitingConnections() {
  const std::size_t count =
      m_context.max_caller_connections / kCloseBatchDivisor / m_slots.size() + 1;
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
  // Accepts the connections that the kernel has established; closing would reset them.
  waitForNewConnection(0);
  close();
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
