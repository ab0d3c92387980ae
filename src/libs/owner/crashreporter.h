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

// Tells crashes of this node's backend server from connections that closed for other reasons, and
// reports them to the peers. Lives on the main thread.
class CrashReporter {
 public:
  // Whether a call that was dispatched before the given time still runs.
  using HasRunningCallDispatchedBefore = std::function<bool(TimePoint)>;
  using LinkedPeers = std::function<std::vector<BackendServerId>()>;

  CrashReporter(BackendServerId self, Incarnation incarnation, SharedCrashGuard& crash_guard,
                MetricsRegistry& metrics, Messenger& messenger);
  ~CrashReporter();

  // To be called every few milliseconds, with the address of the backend server.
  void Tick(const Endpoint& server,
            const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
            const LinkedPeers& linked_peers);

 private:
  enum class Probe { kNone, kRunning, kConnected, kRefused };

  void CheckAborted(const Endpoint& server,
                    const HasRunningCallDispatchedBefore& has_running_call_dispatched_before,
                    const LinkedPeers& linked_peers);
  void StartProbe(const Endpoint& server);
  void EndProbe(Probe result);
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
