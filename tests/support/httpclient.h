#ifndef DAMASKHOLLOW_TESTS_SUPPORT_HTTPCLIENT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_HTTPCLIENT_H_

#include <QObject>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "http/backendconnection.h"
#include "http/message.h"

namespace damaskhollow::test {

// The response to a request, or the failure that ended the request.
struct HttpResponse {
  bool complete = false;  // The response arrived to its end.
  Reason failure = Reason::kNone;
  int status = 0;  // 0: no response head arrived.
  std::vector<HttpHeader> headers;
  std::string body;

  // Returns the outcome as the caller may conclude it: "answered", "not-run" or "unknown", or
  // "refused" if no connection was established. A truncated response with the outcome "answered"
  // counts as "unknown".
  std::string Outcome() const;

  // Returns the value of the header Damaskhollow-Reason.
  std::string ReasonName() const;

  std::string Header(std::string_view name) const;

  // Returns a summary for assertion messages.
  std::string Describe() const;
};

// Sends HTTP requests on the calling thread's event loop. Never retries a request.
class HttpClient : public QObject, public BackendEvents {
 public:
  using Done = std::function<void(const HttpResponse&)>;

  // With `reuse`, idle connections are kept open for further requests to the same address.
  explicit HttpClient(bool reuse = false) : m_reuse(reuse) {}
  ~HttpClient() override;

  // Sends a request. `done` is called from the event loop, unless Cancel() is called before.
  ConnectionId Send(const Endpoint& endpoint, const HttpRequest& request,
                    std::chrono::milliseconds timeout, Done done);

  // Closes the connection of a pending request, like a caller that disconnects.
  void Cancel(ConnectionId connection);

  // Sends a request and runs the event loop until it is done.
  HttpResponse Fetch(const Endpoint& endpoint, const HttpRequest& request,
                     std::chrono::milliseconds timeout = std::chrono::milliseconds(30000));

  std::size_t Pending() const { return m_pending.size(); }

  void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) override;
  void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) override;
  void OnBackendIdleClosed(ConnectionId connection) override;

 private:
  struct Exchange {
    Endpoint endpoint;
    HttpResponse response;
    Done done;
  };

  ConnectionId AcquireConnection(const Endpoint& endpoint);
  void Remove(ConnectionId connection);
  void Finish(ConnectionId connection);

  const bool m_reuse;
  std::uint64_t m_next_connection = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<BackendConnection>> m_connections;
  std::unordered_map<ConnectionId, Exchange> m_pending;
  std::map<Endpoint, std::vector<ConnectionId>> m_idle;
};

// Returns a request; without `body` it has an empty one.
HttpRequest MakeRequest(std::string_view method, std::string_view target,
                        std::vector<HttpHeader> headers = {}, std::string body = {});

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_HTTPCLIENT_H_
