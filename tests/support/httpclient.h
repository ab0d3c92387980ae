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

// What came back for a request.
struct HttpResponse {
  bool complete = false;  // The whole answer arrived.
  Reason failure = Reason::kNone;
  int status = 0;  // 0: not even the head arrived.
  std::vector<HttpHeader> headers;
  std::string body;

  // The outcome that the caller can rely on: "answered", "not-run" or "unknown"; the latter also if
  // the answer is not whole. "refused" if the connection was not even made.
  std::string Outcome() const;

  // The value of Damaskhollow-Reason.
  std::string ReasonName() const;

  std::string Header(std::string_view name) const;

  // For messages of failed tests.
  std::string Describe() const;
};

// Sends HTTP requests on the calling thread's event loop. It never sends a request twice.
class HttpClient : public QObject, public BackendEvents {
 public:
  using Done = std::function<void(const HttpResponse&)>;

  // With `reuse` connections are kept for further requests to the same address.
  explicit HttpClient(bool reuse = false) : m_reuse(reuse) {}
  ~HttpClient() override;

  // Sends a request; `done` is called from the event loop, but not after Cancel.
  ConnectionId Send(const Endpoint& endpoint, const HttpRequest& request,
                    std::chrono::milliseconds timeout, Done done);

  // Closes the connection of a request, as a caller that leaves.
  void Cancel(ConnectionId connection);

  // Sends a request and runs the event loop until it is done.
  HttpResponse Fetch(const Endpoint& endpoint, const HttpRequest& request,
                     std::chrono::milliseconds timeout = std::chrono::milliseconds(30000));

  std::size_t Pending() const { return m_pending.size(); }

  void OnBackendPart(ConnectionId connection, AnswerPart part, bool reusable) override;
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

// A request without a body.
HttpRequest MakeRequest(std::string_view method, std::string_view target,
                        std::vector<HttpHeader> headers = {}, std::string body = {});

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_HTTPCLIENT_H_
