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

// Queries the load of this node's backend server with a request to its health path when the owner
// service requests it. Must be created and destroyed on the main thread, and used only there except
// for Request.
class LoadProbe : public QObject, public BackendEvents {
 public:
  LoadProbe(const CallConvention& convention, MetricsRegistry& metrics, OwnerService& owner);
  ~LoadProbe() override;

  // Sets address and health path of this node's backend server from a declaration.
  void Configure(const Declaration& declaration, const BackendServerId& self);

  // Starts a probe unless one is running. The result is reported through OnProbedLoad or
  // OnProbeFailed of the owner service. May be called from any thread.
  void Request();

 private:
  void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) override;
  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override;
  void OnBackendIdleClosed(ConnectionId connection) override;
  void Start();
  void DiscardConnection();

  const CallConvention& m_convention;
  MetricsRegistry& m_metrics;
  OwnerService& m_owner;
  Endpoint m_server;
  std::string m_path;  // Empty if the service has no health path.
  std::unique_ptr<BackendConnection> m_connection;
  std::uint64_t m_next_connection = 1;
  bool m_is_running = false;
  std::string m_load;      // Load header of the response being read.
  Duration m_cold_left{};  // How long the server stays cold, according to that response.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_LOADPROBE_H_
