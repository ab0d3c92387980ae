#ifndef DAMASKHOLLOW_HTTP_BACKENDCONNECTION_H_
#define DAMASKHOLLOW_HTTP_BACKENDCONNECTION_H_

#include <QObject>
#include <QSocketNotifier>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/keepalive.h"
#include "base/reason.h"
#include "base/time.h"
#include "http/message.h"
#include "http/responsecheck.h"

namespace damaskhollow {

// A piece of a response as it was read. The first part has the head; a small response is a single
// part.
struct ResponsePart {
  std::optional<HttpResponseHead> head;
  std::string data;
  bool last = false;

  bool IsEmpty() const { return !head && data.empty() && !last; }
};

// Receives the events of connections to the backend server. Members are called on the connection's
// thread.
class BackendEvents {
 public:
  virtual ~BackendEvents() = default;

  // Another part of the response was read. On the last part, `reusable` is whether the connection
  // can carry another request.
  virtual void OnBackendResponsePart(ConnectionId connection, ResponsePart part, bool reusable) = 0;

  // The request failed. `may_have_run` is false only if no byte of the request was handed to the
  // network.
  virtual void OnBackendFailed(ConnectionId connection, Reason reason, bool may_have_run) = 0;

  // An idle connection was closed by the backend server.
  virtual void OnBackendIdleClosed(ConnectionId connection) = 0;
};

// A Beast body that holds only the data parsed since it was last taken out. Unlike Beast's
// string_body it does not reserve memory for the declared content length.
struct CollectedBody {
  using value_type = std::string;

  // NOLINTBEGIN(readability-identifier-naming): names fixed by Beast's BodyReader requirements.
  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : m_body(body) {}

    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t total = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
        total += buffer.size();
      }
      return total;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& m_body;
  };
  // NOLINTEND(readability-identifier-naming)
};

// The client side of one HTTP/1.1 connection to a backend server. It carries one request at a time
// and never resends a request.
class BackendConnection : public QObject {
 public:
  BackendConnection(ConnectionId id, const Endpoint& server, BackendEvents& events);
  ~BackendConnection() override;

  // Lets the connection break, and its request fail, when the server stops responding on the TCP
  // level while a response is awaited. Takes effect when the connection is established; a socket
  // that does not support it fails the request with kBackendUnreachable.
  void SetKeepAlive(const KeepAlive& keep_alive) { m_keep_alive = keep_alive; }

  // Lets a request fail with kBackendUnreachable if the connection is not established within
  // `timeout`. Without it, only the timeout of the request bounds that time.
  void SetConnectTimeout(std::chrono::milliseconds timeout) { m_connect_timeout = timeout; }

  // Sends a request, connecting first if needed. At most `credit` bytes of the response body are
  // read. After `timeout` the request fails with kBackendTimeout and the connection closes. A
  // response with the id of another request is skipped. One that breaks a rule of ResponseFault
  // fails the request with kBackendMalformed.
  void Send(const HttpRequest& request, std::size_t credit, std::chrono::milliseconds timeout,
            ResponseCheck check = {});

  // Permits reading `bytes` more of the response body.
  void AddCredit(std::size_t bytes);

  // Closes the connection without further events.
  void Abort();

  // Whether the request failed because this process had no descriptor left for the connection,
  // which tells nothing about the server.
  bool LacksDescriptor() const { return m_lacks_descriptor; }

  // The rule that the response broke if the request failed with kBackendMalformed.
  ResponseFault Fault() const { return m_response_fault; }

  bool IsIdle() const { return m_state == State::kIdle; }
  TimePoint IdleSince() const { return m_idle_since; }

  // Whether bytes or an end have arrived on the idle connection. They belong to no request, so it
  // must not carry another one.
  bool HasUnreadInput() const;

  // Whether the server refused a request with this id on the connection. It may repeat the refusal,
  // which could not be told from the response to another request with the id.
  bool HasRefused(std::string_view request_id) const { return m_refused_ids.contains(request_id); }

  // How long the backend server keeps the idle connection open, as given by the Keep-Alive field of
  // its last response; empty if not given.
  std::optional<Duration> KeepAliveTimeout() const { return m_keep_alive_timeout; }

 private:
  enum class State { kNew, kConnecting, kWaiting, kReading, kIdle, kClosed };
  using Parser = boost::beast::http::response_parser<CollectedBody>;

  void OnConnected();
  void OnTimeout();
  void WriteRequest();
  void ReadMore();
  void Parse();
  void StartParser();
  void AcceptHead();
  void StartCloseDelimitedBody();
  void ReadCloseDelimitedBody();
  void EndCloseDelimitedBody();
  void CollectBody();
  void EmitPart();
  // Whether a body may follow although the status permits none.
  bool MaySendForbiddenBody() const;
  void Finish();
  // Fails the request with kBackendMalformed.
  void Reject(ResponseFault fault);
  void Fail(Reason reason);
  void OnClosed();

  bool m_lacks_descriptor = false;
  ResponseFault m_response_fault = ResponseFault::kNone;
  const ConnectionId m_id;
  const Endpoint m_server;
  BackendEvents& m_events;
  QTcpSocket m_socket;
  QTimer m_timer;
  std::optional<KeepAlive> m_keep_alive;  // Empty: off.
  std::optional<std::chrono::milliseconds> m_connect_timeout;
  std::chrono::milliseconds m_request_timeout{};
  State m_state = State::kNew;
  std::string m_output;  // Serialized request; empty once written.
  std::string m_method;
  std::string m_input;
  ResponseCheck m_check;
  bool m_skipping_response = false;  // The response belongs to another request.
  std::size_t m_skipped_bytes = 0;   // Of such responses, for the current request.
  unsigned m_interim_responses = 0;
  std::set<std::string, std::less<>> m_refused_ids;
  std::optional<Duration> m_keep_alive_timeout;
  // A close-delimited body (RFC 9112, 6.3) is read from a duplicate of the socket's descriptor, as
  // Qt does not distinguish a reset from an orderly close. -1 unless such a body is being read.
  int m_close_delimited_descriptor = -1;
  std::unique_ptr<QSocketNotifier> m_close_delimited_notifier;
  std::optional<Parser> m_parser;
  LineFoldingDetector m_line_folding;
  std::size_t m_credit = 0;
  bool m_head_parsed = false;
  ResponsePart m_part;  // Read but not passed to m_events yet.
  bool m_reusable = false;
  bool m_written = false;
  TimePoint m_idle_since{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_BACKENDCONNECTION_H_
