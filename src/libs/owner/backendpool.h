#ifndef DAMASKHOLLOW_OWNER_BACKENDPOOL_H_
#define DAMASKHOLLOW_OWNER_BACKENDPOOL_H_

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/reason.h"
#include "http/backendconnection.h"
#include "http/message.h"
#include "policy/admissionqueue.h"
#include "runtime/eventthread.h"

namespace damaskhollow {

// Gets the answers of the backend server. Members are called on worker threads, for one call always
// on the same.
class BackendAnswerHandler {
 public:
  virtual ~BackendAnswerHandler() = default;

  virtual void OnAnswerPart(OwnedCallId call, AnswerPart part) = 0;
  virtual void OnAnswerFailed(OwnedCallId call, Reason reason, bool may_have_run) = 0;
};

// A request to the backend server.
struct BackendRequest {
  HttpRequest request;
  std::size_t credit = 0;  // Bytes of body that may be sent on before AddCredit.
  std::chrono::milliseconds timeout{};
  bool idempotent = false;
  AnswerCheck check;
};

// The connections to the backend server, spread over the worker threads. Commands may be called
// from any thread.
class BackendPool {
 public:
  BackendPool(std::span<const std::unique_ptr<EventThread>> workers, BackendAnswerHandler& handler);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Connects to another address from now on.
  void SetServer(const Endpoint& server);

  void SendRequest(OwnedCallId call, BackendRequest request);
  void AddCredit(OwnedCallId call, std::size_t bytes);

  // Closes the call's connection; no more answers are reported for it.
  void Cancel(OwnedCallId call);

  // Closes all connections. The worker threads must still run.
  void Stop();

 private:
  class Shard;
  struct WorkerShard {
    EventThread* thread;
    std::unique_ptr<Shard> shard;
  };

  WorkerShard& ShardOf(OwnedCallId call) {
    return m_worker_shards[call.value % m_worker_shards.size()];
  }

  std::vector<WorkerShard> m_worker_shards;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_BACKENDPOOL_H_
