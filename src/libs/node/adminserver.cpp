#include "node/adminserver.h"

#include <QHostAddress>
#include <QHttpServerResponse>
#include <utility>

namespace damaskhollow {

AdminServer::AdminServer(const MetricsRegistry& metrics, const std::string& ready_path,
                         StatusSource status, ReadySource ready) {
  m_server.route("/metrics", [&metrics] {
    return QHttpServerResponse("text/plain; version=0.0.4",
                               QByteArray::fromStdString(metrics.PrometheusText()));
  });
  m_server.route("/healthz", [] { return QHttpServerResponse("text/plain", "ok\n"); });
  m_server.route(QString::fromStdString(ready_path), [ready = std::move(ready)] {
    const bool is_ready = ready();
    return QHttpServerResponse("text/plain", is_ready ? "ready\n" : "not ready\n",
                               is_ready ? QHttpServerResponse::StatusCode::Ok
                                        : QHttpServerResponse::StatusCode::ServiceUnavailable);
  });
  m_server.route("/status", [status = std::move(status)] { return QHttpServerResponse(status()); });
}

Result<void> AdminServer::Listen(const Endpoint& endpoint) {
  const quint16 port =
      m_server.listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port);
  if (port == 0) {
    return Failure{FailureCode::kSocket, ToString(endpoint), "cannot listen on the admin address"};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace damaskhollow
