#ifndef DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_
#define DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "http/listener.h"
#include "ingress/ingressshard.h"
#include "ingress/refusedcaller.h"
#include "runtime/descriptorlimit.h"
#include "runtime/eventthread.h"

namespace damaskhollow {

// The ingress role of a node: accepts caller connections on the thread that creates it and
// distributes them over the worker threads, each of which has one IngressShard.
class IngressService : public Listener {
 public:
  IngressService(const IngressContext& context,
                 std::span<const std::unique_ptr<EventThread>> workers);
  ~IngressService() override;

  // Forwards an owner's message to the shard that handles its call. May be called from any thread.
  void HandleOwnerMessage(const BackendServerId& owner, wire::Envelope message);

  // Handles a call request that could not be handed to the network; other messages are ignored.
  // May be called from any thread.
  void HandleSendFailed(const wire::Envelope& message);

  // Notify all shards that the link to `owner` was lost or established again.
  void HandleLinkDown(const BackendServerId& owner);
  void HandleLinkUp(const BackendServerId& owner);

  // Stops accepting connections and closes existing ones as they become idle. Refuses requests that
  // are complete only from now on and whose deadline is after `end`, when responses are no longer
  // relayed.
  void StartClosing(TimePoint end);

  // Forward to all shards; see IngressShard.
  void WithdrawWaitingCalls();
  void EndRemainingCalls();

  // Deletes all shards and their connections. The worker threads must still be running.
  void Stop();

  // Closes connections on which no complete request head has been received, if there are more than
  // the limit, which may have been lowered.
  void EnforceConnectionLimit();

  std::size_t CallerConnections() const { return m_context.caller_connections.load(); }

 protected:
  void incomingConnection(qintptr descriptor) override;
  void OnAcceptFailed(int error) override;
  void OnLastAcceptFailed(int error) override;

  // Called when the connection limit is reached: tells the shards to close connections on which
  // no complete request head has been received.
  void CloseWaitingConnections();

 private:
  // Accepts and refuses callers that wait while no descriptor is left.
  void RefuseWaitingCallers();
  // Refuses the first request on a connection that has been accepted. `uses_spare` tells that its
  // descriptor is a spare one, which the next waiting caller gets.
  void Refuse(qintptr descriptor, bool uses_spare);
  void OnRefused(std::uint64_t id, bool uses_spare);
  // Refuses the callers that wait with a single descriptor, without waiting for their requests.
  void RefuseLastCallers();
  std::string OverloadedResponse() const;

  struct Slot {
    EventThread* thread;
    std::unique_ptr<IngressShard> shard;
  };

  // Runs `task` on the worker thread of the slot, unless Stop() has deleted the shard by then.
  static void Post(Slot& slot, std::function<void(IngressShard&)> task);

  Slot& SlotOf(std::uint64_t call_id) { return m_slots[call_id % m_slots.size()]; }

  IngressContext m_context;
  std::vector<Slot> m_slots;
  std::size_t m_next_slot = 0;
  SpareDescriptors m_spare_descriptors;
  std::uint64_t m_next_refused_caller = 1;
  // Connections that wait for the end of their refusal, the oldest first.
  std::map<std::uint64_t, std::unique_ptr<RefusedCaller>> m_refused_callers;
  TimePoint m_last_accept_warning{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_INGRESSSERVICE_H_
