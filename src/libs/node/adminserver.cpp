#include "node/adminserver.h"

#include <QHttpServerResponse>
#include <system_error>
#include <utility>

#include "http/listener.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr int kBacklog = 50;

class AdminListener : public Listener {
 protected:
  void OnAcceptFailed(int error) override {
    EventLine(LogPart::kAdmin, LogLevel::kWarning, "accept_failed")
        .With("detail", std::generic_category().message(error));
  }
};

}  // namespace

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
  auto* listener = new AdminListener;
  m_server.bind(listener);  // Takes ownership.
  return listener->Listen(endpoint, kBacklog);
}

}  // namespace damaskhollow
