#ifndef DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_
#define DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_

#include <QTcpServer>
#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "ingress/ingressshard.h"
#include "runtime/eventthread.h"

namespace damaskhollow {

// The ingress role: accepts caller connections on the thread that creates it and spreads them over
// the worker threads.
class IngressService : public QTcpServer {
 public:
  IngressService(const IngressContext& context,
                 std::span<const std::unique_ptr<EventThread>> workers);
  ~IngressService() override;

  // Fails with kSocket.
  Result<void> Listen(const Endpoint& endpoint);

  // Passes an owner's message to the shard of its call. May be called from any thread.
  void HandleOwnerMessage(const BackendServerId& owner, wire::Envelope message);

  // Notes that a call request was not handed to the network. May be called from any thread.
  void HandleSendFailed(const wire::Envelope& message);

  void HandleLinkDown(const BackendServerId& owner);
  void HandleLinkUp(const BackendServerId& owner);

  // Stops accepting and closes connections as they become idle.
  void StartClosing();

  // Deletes all connections. The worker threads must still run.
  void Stop();

  std::size_t CallerConnections() const { return m_context.caller_connections.load(); }

 protected:
  void incomingConnection(qintptr descriptor) override;

  // Has the shards close connections that wait for a request, as the limit is reached.
  void CloseWaitingConnections();

 private:
  struct Slot {
    EventThread* thread;
    std::unique_ptr<IngressShard> shard;
  };

  Slot& SlotOf(std::uint64_t call_id) { return m_slots[call_id % m_slots.size()]; }

  IngressContext m_context;
  std::vector<Slot> m_slots;
  std::size_t m_next_slot = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_
