#ifndef DAMASKHOLLOW_OWNER_LOADPROBE_H_
#define DAMASKHOLLOW_OWNER_LOADPROBE_H_

#include <QObject>
#include <cstdint>
#include <memory>
#include <string>

#include "base/endpoint.h"
#include "declaration/declaration.h"
#include "http/backendconnection.h"
#include "http/callconvention.h"
#include "metrics/metricsregistry.h"
#include "owner/ownerservice.h"

namespace damaskhollow {

// Asks the own backend server for its load on its health path when the owner wants to know. Lives
// on the main thread; members that say so may be called from any thread.
class LoadProbe : public QObject, public BackendEvents {
 public:
  LoadProbe(const CallConvention& convention, MetricsRegistry& metrics, OwnerService& owner);
  ~LoadProbe() override;

  // Takes address and health path of the own server from a declaration.
  void Configure(const Declaration& declaration, const BackendServerId& self);

  // Starts a probe; the owner is told its end. From any thread.
  void Request();

 private:
  void OnBackendPart(ConnectionId connection, AnswerPart part, bool reusable) override;
  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override;
  void OnBackendIdleClosed(ConnectionId connection) override;
  void Start();
  void DiscardConnection();

  const CallConvention& m_convention;
  MetricsRegistry& m_metrics;
  OwnerService& m_owner;
  Endpoint m_server;
  std::string m_path;  // Empty if there is nothing to ask.
  std::unique_ptr<BackendConnection> m_connection;
  std::uint64_t m_next_connection = 1;
  bool m_is_running = false;
  std::string m_load;  // Of the answer being read.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_LOADPROBE_H_
