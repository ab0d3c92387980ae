#include "owner/backendpool.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace damaskhollow {

namespace {

// An idle connection may be closed by the server just when a request is sent on it, which leaves
// the outcome unknown. A request that must not run twice therefore uses only a connection that was
// used just before.
constexpr std::chrono::milliseconds kFreshIdle{1000};
constexpr std::chrono::milliseconds kLongestIdle{30000};
// The server counts from when it sent its answer, and the next request needs some time to arrive.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};

}  // namespace

// The connections of one worker thread. All members run on that thread.
class BackendPool::Shard : public BackendEvents {
 public:
  explicit Shard(BackendAnswers& answers) : m_answers(answers) {}

  void SetServer(const Endpoint& server) {
    if (server == m_server) return;
    m_server = server;
    m_idle.clear();
  }

  void Run(OwnedCallId call, const BackendRequest& request) {
    const ConnectionId id = TakeConnection(request.idempotent);
    m_calls[id] = call;
    m_connection_of[call] = id;
    m_connections.at(id)->Send(request.request, request.credit, request.timeout, request.check);
  }

  void AddCredit(OwnedCallId call, std::size_t bytes) {
    const auto found = m_connection_of.find(call);
    if (found != m_connection_of.end()) m_connections.at(found->second)->AddCredit(bytes);
  }

  void Cancel(OwnedCallId call) {
    const auto found = m_connection_of.find(call);
    if (found == m_connection_of.end()) return;
    const ConnectionId id = found->second;
    m_connections.at(id)->Abort();
    Forget(id);
    Drop(id);
  }

  void Clear() {
    m_idle.clear();
    m_calls.clear();
    m_connection_of.clear();
    m_connections.clear();
  }

  void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) override {
    if (!part.last) return m_answers.OnAnswerPart(m_calls.at(connection), std::move(part));
    const OwnedCallId call = Forget(connection);
    if (reusable) {
      m_idle.push_back(connection);
    } else {
      Drop(connection);
    }
    m_answers.OnAnswerPart(call, std::move(part));
  }

  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override {
    const OwnedCallId call = Forget(connection);
    Drop(connection);
    m_answers.OnAnswerFailed(call, reason, may_have_run);
  }

  void OnBackendIdleClosed(ConnectionId connection) override {
    std::erase(m_idle, connection);
    Drop(connection);
  }

 private:
  ConnectionId TakeConnection(bool idempotent) {
    const TimePoint now = MonotonicNow();
    while (!m_idle.empty()) {
      const ConnectionId id = m_idle.back();  // The one used last.
      m_idle.pop_back();
      const BackendConnection& connection = *m_connections.at(id);
      const Duration idle = now - connection.IdleSince();
      Duration longest = idempotent ? Duration(kLongestIdle) : Duration(kFreshIdle);
      if (const std::optional<Duration> kept = connection.KeepAliveTimeout()) {
        longest = std::min<Duration>(longest, *kept - kKeepAliveMargin);
      }
      if (idle < longest) return id;
      Drop(id);
    }
    const ConnectionId id{m_next_connection++};
    m_connections.emplace(id, std::make_unique<BackendConnection>(id, m_server, *this));
    return id;
  }

  OwnedCallId Forget(ConnectionId connection) {
    const OwnedCallId call = m_calls.at(connection);
    m_calls.erase(connection);
    m_connection_of.erase(call);
    return call;
  }

  // The connection may be the sender of the present event, so it is deleted later.
  void Drop(ConnectionId connection) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) return;
    found->second->Abort();
    found->second.release()->deleteLater();
    m_connections.erase(found);
  }

  BackendAnswers& m_answers;
  Endpoint m_server;
  std::uint64_t m_next_connection = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<BackendConnection>> m_connections;
  std::unordered_map<ConnectionId, OwnedCallId> m_calls;
  std::unordered_map<OwnedCallId, ConnectionId> m_connection_of;
  std::vector<ConnectionId> m_idle;  // The one used last is at the end.
};

BackendPool::BackendPool(std::span<const std::unique_ptr<EventThread>> workers,
                         BackendAnswers& answers) {
  for (const std::unique_ptr<EventThread>& worker : workers) {
    m_slots.push_back(Slot{worker.get(), std::make_unique<Shard>(answers)});
  }
}

BackendPool::~BackendPool() = default;

void BackendPool::SetServer(const Endpoint& server) {
  for (Slot& slot : m_slots) {
    slot.thread->Post([shard = slot.shard.get(), server] { shard->SetServer(server); });
  }
}

void BackendPool::Run(OwnedCallId call, BackendRequest request) {
  Slot& slot = SlotOf(call);
  auto shared = std::make_shared<BackendRequest>(std::move(request));
  slot.thread->Post([shard = slot.shard.get(), call, shared] { shard->Run(call, *shared); });
}

void BackendPool::AddCredit(OwnedCallId call, std::size_t bytes) {
  Slot& slot = SlotOf(call);
  slot.thread->Post([shard = slot.shard.get(), call, bytes] { shard->AddCredit(call, bytes); });
}

void BackendPool::Cancel(OwnedCallId call) {
  Slot& slot = SlotOf(call);
  slot.thread->Post([shard = slot.shard.get(), call] { shard->Cancel(call); });
}

void BackendPool::Stop() {
  for (Slot& slot : m_slots) {
    slot.thread->RunAndWait([shard = slot.shard.get()] { shard->Clear(); });
  }
}

}  // namespace damaskhollow
