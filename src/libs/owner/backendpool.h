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
class BackendAnswers {
 public:
  virtual ~BackendAnswers() = default;

  virtual void OnAnswerPart(OwnedCallId call, ResponsePart part) = 0;
  virtual void OnAnswerFailed(OwnedCallId call, Reason reason, bool may_have_run) = 0;
};

// A request to the backend server.
struct BackendRequest {
  HttpRequest request;
  std::size_t credit = 0;  // Bytes of body that may be sent on before AddCredit.
  std::chrono::milliseconds timeout{};
  bool idempotent = false;
  ResponseCheck check;
};

// The connections to the backend server, spread over the worker threads. Commands may be called
// from any thread.
class BackendPool {
 public:
  BackendPool(std::span<const std::unique_ptr<EventThread>> workers, BackendAnswers& answers);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Connects to another address from now on.
  void SetServer(const Endpoint& server);

  void Run(OwnedCallId call, BackendRequest request);
  void AddCredit(OwnedCallId call, std::size_t bytes);

  // Closes the call's connection; no more answers are reported for it.
  void Cancel(OwnedCallId call);

  // Closes all connections. The worker threads must still run.
  void Stop();

 private:
  class Shard;
  struct Slot {
    EventThread* thread;
    std::unique_ptr<Shard> shard;
  };

  Slot& SlotOf(OwnedCallId call) { return m_slots[call.value % m_slots.size()]; }

  std::vector<Slot> m_slots;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_BACKENDPOOL_H_
