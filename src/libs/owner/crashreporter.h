#ifndef DAMASKHOLLOW_OWNER_CRASHREPORTER_H_
#define DAMASKHOLLOW_OWNER_CRASHREPORTER_H_

#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "calls/messenger.h"
#include "calls/sharedcrashguard.h"
#include "metrics/metricsregistry.h"

namespace damaskhollow {

// Detects crashes of this node's backend server and reports them to the peers. When a connection
// closes with a call in flight, it checks whether other calls still run and whether the server
// still accepts connections, to distinguish a crash from other causes. Used on the main thread
// only.
class CrashReporter {
 public:
  // Whether a call that was dispatched before the given time is still running.
  using HasRunningCallDispatchedBefore = std::function<bool(TimePoint)>;
  using LinkedPeers = std::function<std::vector<BackendServerId>()>;

  CrashReporter(BackendServerId self, Incarnation incarnation, SharedCrashGuard& crash_guard,
                MetricsRegistry& metrics, Messenger& messenger);
  ~CrashReporter();

  // Must be called every few milliseconds. `server` is the address of the backend server.
  void Tick(const Endpoint& server,
            const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
            const LinkedPeers& linked_peers);

 private:
  enum class Probe { kNone, kRunning, kConnected, kRefused };

  // Decides whether the aborted calls were caused by a crash.
  void CheckAborted(const Endpoint& server,
                    const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
                    const LinkedPeers& linked_peers);

  // Starts connecting to the backend server. A refused connection confirms a crash.
  void StartProbe(const Endpoint& server);
  void EndProbe(Probe result);

  // Sends the digests of requests to the linked peers: requests that completed although they were
  // suspects, or those that were in flight during a crash.
  void SendReport(std::span<const std::string> digests, bool completed,
                  const LinkedPeers& linked_peers);

  const BackendServerId m_self;
  const Incarnation m_incarnation;
  SharedCrashGuard& m_crash_guard;
  MetricsRegistry& m_metrics;
  Messenger& m_messenger;
  std::unique_ptr<QTcpSocket> m_socket;
  Probe m_probe = Probe::kNone;
  std::uint64_t m_next_sequence = 1;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_CRASHREPORTER_H_
