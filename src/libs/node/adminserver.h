#ifndef DAMASKHOLLOW_NODE_ADMINSERVER_H_
#define DAMASKHOLLOW_NODE_ADMINSERVER_H_

#include <QHttpServer>
#include <QJsonObject>
#include <functional>
#include <string>

#include "base/endpoint.h"
#include "base/result.h"
#include "metrics/metricsregistry.h"

namespace damaskhollow {

// Serves /metrics, /healthz, /status and, at `ready_path`, whether the node is ready. All handlers
// are synchronous: Qt's HTTP server crashes when a caller leaves before an asynchronous answer.
class AdminServer {
 public:
  using StatusSource = std::function<QJsonObject()>;
  using ReadySource = std::function<bool()>;

  AdminServer(const MetricsRegistry& metrics, const std::string& ready_path, StatusSource status,
              ReadySource ready);

  // Fails with kSocket.
  Result<void> Listen(const Endpoint& endpoint);

 private:
  QHttpServer m_server;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_ADMINSERVER_H_
