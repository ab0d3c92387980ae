#ifndef DAMASKHOLLOW_NODE_NODE_H_
#define DAMASKHOLLOW_NODE_NODE_H_

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "calls/messenger.h"
#include "calls/sharedcrashguard.h"
#include "calls/sharedrouter.h"
#include "calls/viewgate.h"
#include "control/controlservice.h"
#include "control/platformbindings.h"
#include "http/bodybudget.h"
#include "ingress/ingressservice.h"
#include "metrics/metricsregistry.h"
#include "node/adminserver.h"
#include "owner/backendpool.h"
#include "owner/crashreporter.h"
#include "owner/loadprobe.h"
#include "owner/ownerservice.h"
#include "runtime/eventthread.h"
#include "settings/nodesettings.h"
#include "wire/peertransport.h"

namespace damaskhollow {

// One node of the load balancer. Creates the ingress, owner and control services, routes messages
// between them and the peers, and runs their periodic work. Lives on the main thread; the members
// of Messenger may be called from any thread, and those of PeerHandler are called on the
// transport's thread.
class Node : public QObject, public Messenger, public PeerHandler {
 public:
  Node(NodeSettings settings, PlatformBindings bindings);
  ~Node() override;

  // Loads the keys and the declaration file, if they are set, starts the worker threads and
  // services, and opens all ports. Fails if a file cannot be used or a port cannot be opened.
  Result<void> Start();

  // The number of calls and caller connections as fields of a log line. Takes no locks.
  std::string LoadFields() const;

  // Starts a graceful shutdown: the owner refuses new calls and announces this to peers, and calls
  // in flight are completed. Calls `done` when the node is idle or the drain timeout has passed.
  void StartDrain(std::function<void()> done);

 private:
  // Messenger
  void Send(const BackendServerId& peer, wire::Envelope message) override;
  void Reply(const ReplyRoute& route, wire::Envelope message) override;

  // PeerHandler
  void OnLinkUp(const BackendServerId& peer, const wire::OwnerState& state) override;
  void OnLinkDown(const BackendServerId& peer) override;
  void OnMessage(const ReplyRoute& route, wire::Envelope message) override;
  void OnSendFailed(const BackendServerId& peer, wire::Envelope message) override;
  bool HasOutstandingCalls(const BackendServerId& peer) const override;
  wire::OwnerState LocalOwnerState() const override;
  bool IsAllowedPeer(const BackendServerId& peer, const std::string& public_key) const override;
  void OnSent(const BackendServerId& peer, const wire::Envelope& message,
              std::size_t bytes) override;
  void OnControlReceived(const BackendServerId& peer, std::size_t bytes) override;
  void OnSocketEvents(SocketEvent event, std::uint64_t count) override;

  Result<LinkKeys> LoadKeys() const;
  void ApplyDeclaration(const std::shared_ptr<const Declaration>& declaration,
                        std::uint64_t version);
  // Adapts the number of caller connections to the descriptors that the process may open.
  void UpdateDescriptorLimit();
  // Runs the periodic work of the services and updates gauges.
  void Tick();
  // Lets the crash reporter check the local backend server.
  void CheckBackendCrashes();
  // Continues a drain: stops accepting callers once the announcement time has passed, ends the
  // calls that cannot be answered before the drain timeout, and ends the drain when the node is
  // idle or the timeout has passed.
  void CheckDrained();
  bool IsReady() const;
  QJsonObject Status() const;

  const NodeSettings m_settings;
  const PlatformBindings m_bindings;
  const NodeIdentity m_identity;
  MetricsRegistry m_metrics;
  BodyBudget m_body_budget;
  RequestLog m_request_log;
  std::atomic<std::shared_ptr<const Declaration>> m_declaration;
  std::atomic<std::uint64_t> m_configuration_version{0};
  std::atomic<std::size_t> m_caller_connections{0};
  std::atomic<std::size_t> m_held_bytes{0};
  std::atomic<std::size_t> m_caller_connection_limit{0};
  std::atomic<std::size_t> m_refused_connection_limit{0};
  TimePoint m_descriptors_checked{};
  ViewGate m_view_gate;
  SharedRouter m_router;
  SharedCrashGuard m_crash_guard;
  OwnerService m_owner;
  CrashReporter m_crash_reporter;
  std::vector<std::unique_ptr<EventThread>> m_workers;
  std::unique_ptr<BackendPool> m_backend_pool;
  std::unique_ptr<IngressService> m_ingress;
  std::unique_ptr<PeerTransport> m_transport;
  std::unique_ptr<ControlService> m_control;
  std::unique_ptr<AdminServer> m_admin;
  std::unique_ptr<LoadProbe> m_load_probe;
  QTimer m_timer;
  std::function<void()> m_on_drained;  // Set during a drain.
  TimePoint m_drain_started{};
  std::optional<TimePoint> m_idle_since;  // Set while a draining node has no work.
  bool m_is_closing = false;              // No caller connections are accepted any more.
  bool m_is_withdrawing = false;          // Waiting calls are refused.
  bool m_has_ended_calls = false;         // No response is awaited any more.

  mutable std::mutex m_peers_lock;
  std::set<BackendServerId> m_linked_peers;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_NODE_H_
