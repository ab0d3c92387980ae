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

// HTTP server of the admin port. Serves /metrics, /healthz, /status and, at `ready_path`, whether
// the node is ready. All handlers are synchronous because Qt's HTTP server crashes if a caller
// disconnects before an asynchronous response.
class AdminServer {
 public:
  using StatusSource = std::function<QJsonObject()>;
  using ReadySource = std::function<bool()>;

  AdminServer(const MetricsRegistry& metrics, const std::string& ready_path, StatusSource status,
              ReadySource ready);

  // Starts serving on `endpoint`. Fails with kSocket if the endpoint cannot be used.
  Result<void> Listen(const Endpoint& endpoint);

 private:
  QHttpServer m_server;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_NODE_ADMINSERVER_H_
