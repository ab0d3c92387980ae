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

// Why a request to the backend server failed.
struct RequestFailure {
  Reason reason = Reason::kNone;
  bool may_have_run = true;  // False only if the server cannot have received the request.
  ResponseFault fault = ResponseFault::kNone;  // The rule that a malformed response broke.
};

// Receives the responses of the backend server. Member functions are called on worker threads, and
// always on the same thread for one call.
class BackendResponseHandler {
 public:
  virtual ~BackendResponseHandler() = default;

  // Called with each part of the response, in order.
  virtual void OnResponsePart(OwnedCallId call, ResponsePart part) = 0;
  // Called once if the request failed; no parts follow.
  virtual void OnRequestFailed(OwnedCallId call, const RequestFailure& failure) = 0;
};

// A request to the backend server and the conditions for its response.
struct BackendRequest {
  HttpRequest request;
  std::size_t credit = 0;  // Bytes of response body that may be passed on without AddCredit.
  std::chrono::milliseconds timeout{};
  bool idempotent = false;
  ResponseCheck check;
};

// Manages the connections to the backend server, which are distributed over the worker threads. The
// functions up to and including Cancel may be called from any thread.
class BackendPool {
 public:
  BackendPool(std::span<const std::unique_ptr<EventThread>> workers,
              BackendResponseHandler& handler);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Sets the address for new connections. Idle connections to another address are closed.
  void SetServer(const Endpoint& server);

  // Sends a request on an idle or a new connection. The response is reported to the handler.
  void SendRequest(OwnedCallId call, BackendRequest request);

  // Allows `bytes` more of the call's response body to be passed on.
  void AddCredit(OwnedCallId call, std::size_t bytes);

  // Closes the call's connection. Nothing more is reported for the call.
  void Cancel(OwnedCallId call);

  // Closes all connections and waits until this is done. The worker threads must be running; must
  // not be called on one of them.
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
