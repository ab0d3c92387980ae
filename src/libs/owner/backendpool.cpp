#include "owner/backendpool.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace damaskhollow {

namespace {

// The server may close an idle connection at the moment a request is sent on it, which leaves the
// outcome unknown. A request that must not run twice therefore uses only a connection that has been
// idle for a short time.
constexpr std::chrono::milliseconds kMaxIdleNotIdempotent{1000};
constexpr std::chrono::milliseconds kMaxIdle{30000};
// Subtracted from the server's keep-alive time: the server counts from when it sent its response,
// and the next request needs some time to arrive.
constexpr std::chrono::milliseconds kKeepAliveMargin{500};

}  // namespace

// Manages the connections of one worker thread. All member functions are called on that thread.
class BackendPool::Shard : public BackendEvents {
 public:
  explicit Shard(BackendResponseHandler& handler) : m_handler(handler) {}

  void SetServer(const Endpoint& server) {
    if (server == m_server) return;
    m_server = server;
    m_first_to_server = m_next_connection;
    for (const ConnectionId idle : std::exchange(m_idle, {})) DiscardConnection(idle);
  }

  void SendRequest(OwnedCallId call, const BackendRequest& request) {
    const ConnectionId id = AcquireConnection(request);
    m_active_calls[id] = call;
    m_connection_by_call[call] = id;
    m_connections.at(id)->Send(request.request, request.credit, request.timeout, request.check);
  }

  void AddCredit(OwnedCallId call, std::size_t bytes) {
    const auto found = m_connection_by_call.find(call);
    if (found != m_connection_by_call.end()) m_connections.at(found->second)->AddCredit(bytes);
  }

  void Cancel(OwnedCallId call) {
    const auto found = m_connection_by_call.find(call);
    if (found == m_connection_by_call.end()) return;
    const ConnectionId id = found->second;
    m_connections.at(id)->Abort();
    RemoveCall(id);
    DiscardConnection(id);
  }

  void Clear() {
    m_idle.clear();
    m_active_calls.clear();
    m_connection_by_call.clear();
    m_connections.clear();
  }

  void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) override {
    if (!part.last) return m_handler.OnResponsePart(m_active_calls.at(connection), std::move(part));
    const OwnedCallId call = RemoveCall(connection);
    // A call that outlasts a change of the address ends on a connection to the server before.
    if (reusable && connection.value >= m_first_to_server) {
      m_idle.push_back(connection);
    } else {
      DiscardConnection(connection);
    }
    m_handler.OnResponsePart(call, std::move(part));
  }

  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override {
    const OwnedCallId call = RemoveCall(connection);
    const ResponseFault fault = m_connections.at(connection)->Fault();
    DiscardConnection(connection);
    m_handler.OnRequestFailed(call, {reason, may_have_run, fault});
  }

  void OnBackendIdleClosed(ConnectionId connection) override {
    std::erase(m_idle, connection);
    DiscardConnection(connection);
  }

 private:
  // Returns the idle connection that was used last among those that can carry the request, else a
  // new connection. Those that are not fresh enough are closed.
  ConnectionId AcquireConnection(const BackendRequest& request) {
    const TimePoint now = MonotonicNow();
    // From the most recently used one on.
    for (std::size_t index = m_idle.size(); index-- > 0;) {
      const ConnectionId id = m_idle[index];
      const BackendConnection& connection = *m_connections.at(id);
      if (connection.HasRefused(request.check.id)) continue;
      m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(index));
      if (IsFresh(connection, request.idempotent, now)) return id;
      DiscardConnection(id);
    }
    const ConnectionId id{m_next_connection++};
    m_connections.emplace(id, std::make_unique<BackendConnection>(id, m_server, *this));
    return id;
  }

  static bool IsFresh(const BackendConnection& connection, bool idempotent, TimePoint now) {
    Duration max_idle = idempotent ? Duration(kMaxIdle) : Duration(kMaxIdleNotIdempotent);
    if (const std::optional<Duration> keep_alive = connection.KeepAliveTimeout()) {
      max_idle = std::min<Duration>(max_idle, *keep_alive - kKeepAliveMargin);
    }
    return now - connection.IdleSince() < max_idle && !connection.HasUnreadInput();
  }

  // Removes the call that runs on a connection, and returns its id.
  OwnedCallId RemoveCall(ConnectionId connection) {
    const OwnedCallId call = m_active_calls.at(connection);
    m_active_calls.erase(connection);
    m_connection_by_call.erase(call);
    return call;
  }

  // Closes a connection and removes it. The connection may be the sender of the event that is being
  // handled, so the object is deleted later.
  void DiscardConnection(ConnectionId connection) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) return;
    found->second->Abort();
    found->second.release()->deleteLater();
    m_connections.erase(found);
  }

  BackendResponseHandler& m_handler;
  Endpoint m_server;
  std::uint64_t m_next_connection = 1;
  std::uint64_t m_first_to_server = 1;  // Earlier connections lead to another address.
  std::unordered_map<ConnectionId, std::unique_ptr<BackendConnection>> m_connections;
  std::unordered_map<ConnectionId, OwnedCallId> m_active_calls;
  std::unordered_map<OwnedCallId, ConnectionId> m_connection_by_call;
  std::vector<ConnectionId> m_idle;  // The most recently used one is last.
};

BackendPool::BackendPool(std::span<const std::unique_ptr<EventThread>> workers,
                         BackendResponseHandler& handler) {
  for (const std::unique_ptr<EventThread>& worker : workers) {
    m_worker_shards.push_back(WorkerShard{worker.get(), std::make_unique<Shard>(handler)});
  }
}

BackendPool::~BackendPool() = default;

void BackendPool::SetServer(const Endpoint& server) {
  for (WorkerShard& worker_shard : m_worker_shards) {
    worker_shard.thread->Post(
        [shard = worker_shard.shard.get(), server] { shard->SetServer(server); });
  }
}

void BackendPool::SendRequest(OwnedCallId call, BackendRequest request) {
  WorkerShard& worker_shard = ShardOf(call);
  auto shared = std::make_shared<BackendRequest>(std::move(request));
  worker_shard.thread->Post(
      [shard = worker_shard.shard.get(), call, shared] { shard->SendRequest(call, *shared); });
}

void BackendPool::AddCredit(OwnedCallId call, std::size_t bytes) {
  WorkerShard& worker_shard = ShardOf(call);
  worker_shard.thread->Post(
      [shard = worker_shard.shard.get(), call, bytes] { shard->AddCredit(call, bytes); });
}

void BackendPool::Cancel(OwnedCallId call) {
  WorkerShard& worker_shard = ShardOf(call);
  worker_shard.thread->Post([shard = worker_shard.shard.get(), call] { shard->Cancel(call); });
}

void BackendPool::Stop() {
  for (WorkerShard& worker_shard : m_worker_shards) {
    worker_shard.thread->RunAndWait([shard = worker_shard.shard.get()] { shard->Clear(); });
  }
}

}  // namespace damaskhollow
