#include "ingress/ingressservice.h"

#include <QHostAddress>
#include <utility>

#include "calls/callheaders.h"

namespace damaskhollow {

namespace {

constexpr int kListenBacklog = 512;
// A flood of other work may fill the connection limit; a quarter more is kept for the most urgent.
constexpr std::size_t kUrgentReserveDivisor = 4;
// The part of the limit that is freed at once, so that the search for the oldest connections pays.
constexpr std::size_t kRoomDivisor = 16;
// When a caller that found no connection free may come again.
constexpr std::chrono::milliseconds kOverloadedReturn{1000};

// The call that an owner's message belongs to; 0 for messages that belong to none.
std::uint64_t CallOf(const wire::Envelope& message) {
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
    // A shard lives on its thread, as its timer does.
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

void IngressService::incomingConnection(qintptr descriptor) {
  const std::size_t connections = m_context.caller_connections.load();
  const std::size_t limit = m_context.max_caller_connections;
  if (connections >= limit) MakeRoom();
  if (connections >= limit + limit / kUrgentReserveDivisor) {
    m_context.metrics.CountRefusal(Reason::kIngressOverloaded);
    const GeneratedResponse answer = GenerateResponse(Reason::kIngressOverloaded, Outcome::kNotRun,
                                                      m_context.convention, kOverloadedReturn);
    auto* socket = new QTcpSocket(this);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->setSocketDescriptor(descriptor);
    socket->write(QByteArray::fromStdString(SerializeResponseHead(answer.head, {}) + answer.body));
    socket->disconnectFromHost();
    return;
  }
  m_context.caller_connections.fetch_add(1);
  Slot& slot = m_slots[m_next_slot++ % m_slots.size()];
  slot.thread->Post([shard = slot.shard.get(), descriptor] { shard->AddCaller(descriptor); });
}

void IngressService::MakeRoom() {
  const std::size_t count = m_context.max_caller_connections / kRoomDivisor / m_slots.size() + 1;
  for (Slot& slot : m_slots) {
    slot.thread->Post([shard = slot.shard.get(), count] { shard->MakeRoom(count); });
  }
}

void IngressService::HandleOwnerMessage(const BackendServerId& owner, wire::Envelope message) {
  const std::uint64_t call = CallOf(message);
  if (call == 0) return;
  Slot& slot = SlotOf(call);
  auto shared = std::make_shared<wire::Envelope>(std::move(message));
  slot.thread->Post(
      [shard = slot.shard.get(), owner, shared] { shard->HandleOwnerMessage(owner, *shared); });
}

void IngressService::HandleSendFailed(const wire::Envelope& message) {
  if (!message.has_call_request()) return;
  const CallId call{message.call_request().call_id()};
  Slot& slot = SlotOf(call.value);
  slot.thread->Post([shard = slot.shard.get(), call] { shard->HandleSendFailed(call); });
}

void IngressService::HandleLinkDown(const BackendServerId& owner) {
  for (Slot& slot : m_slots) {
    slot.thread->Post([shard = slot.shard.get(), owner] { shard->HandleLinkDown(owner); });
  }
}

void IngressService::HandleLinkUp(const BackendServerId& owner) {
  for (Slot& slot : m_slots) {
    slot.thread->Post([shard = slot.shard.get(), owner] { shard->HandleLinkUp(owner); });
  }
}

void IngressService::StartClosing() {
  close();
  for (Slot& slot : m_slots) {
    slot.thread->Post([shard = slot.shard.get()] { shard->CloseConnections(); });
  }
}

void IngressService::Stop() {
  for (Slot& slot : m_slots) {
    slot.thread->RunAndWait([&slot] { slot.shard.reset(); });
  }
}

}  // namespace damaskhollow
