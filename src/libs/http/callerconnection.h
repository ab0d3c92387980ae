#ifndef DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_
#define DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "http/bodybudget.h"
#include "http/message.h"

namespace damaskhollow {

// Gets what callers do. Members are called on the connection's thread.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;

  // The longest body that is accepted for a request with this head, in bytes.
  virtual std::size_t BodyLimit(const HttpRequest& head) const = 0;

  // A whole request. The next one is read after FinishAnswer. `body_bytes` have been reserved in
  // the body budget; the receiver releases them.
  virtual void OnRequest(ConnectionId connection, HttpRequest request, std::size_t body_bytes) = 0;

  // A request that cannot be accepted; the receiver answers it and the connection closes after
  // that.
  virtual void OnBadRequest(ConnectionId connection, Reason reason) = 0;

  // `bytes` of the answer's body have been handed to the network.
  virtual void OnBodySent(ConnectionId connection, std::size_t bytes) = 0;

  // The caller left, or the connection was closed. The connection may be deleted when this returns
  // to the event loop.
  virtual void OnCallerGone(ConnectionId connection) = 0;
};

struct CallerLimits {
  std::size_t header_bytes = 16UL * 1024UL;
  int header_timeout_ms = 10000;
  int body_timeout_ms = 60000;
  int idle_timeout_ms = 75000;
};

// The server side of one HTTP/1.1 connection. Requests are handed on one at a time, so that
// pipelined ones are answered in order.
class CallerConnection : public QObject {
 public:
  // Takes over a connected socket by its descriptor.
  CallerConnection(ConnectionId id, qintptr descriptor, const CallerLimits& limits,
                   BodyBudget& budget, CallerEvents& events);
  ~CallerConnection() override;

  // Starts the answer to the present request.
  void StartAnswer(const HttpResponseHead& head);

  // Adds to the answer's body.
  void SendBody(std::string_view data);

  // Ends the answer; the next request may be read then.
  void FinishAnswer();

  // Closes the connection so that the caller sees the answer as incomplete.
  void Abort();

  // Closes the connection after the present answer, at once if there is none.
  void CloseWhenIdle();

  // Closes the connection if the head of a request is awaited; a part of one is dropped, unread.
  void CloseUnlessRead();

  // Since when the head of a request has been awaited; empty once it has arrived whole.
  std::optional<TimePoint> AwaitedSince() const;

  bool IsAnswering() const { return m_state == State::kAnswering; }

 private:
  enum class State { kReadingHead, kReadingBody, kAnswering, kLingering, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadMore();
  void Parse();
  void ParseHead();
  void ParseBody();
  void AcceptHead();
  void AcceptRequest();
  void Reject(Reason reason);
  void StartNextRequest();
  void Linger();
  void NoteBytesWritten(qint64 bytes);
  void NoteTimeout();
  void NoteGone();
  bool ReserveBody(std::size_t total_bytes);

  const ConnectionId m_id;
  const CallerLimits m_limits;
  BodyBudget& m_budget;
  CallerEvents& m_events;
  QTcpSocket m_socket;
  QTimer m_timer;
  State m_state = State::kReadingHead;
  std::string m_input;
  std::optional<Parser> m_parser;
  HttpRequest m_request;
  std::size_t m_body_limit = 0;
  std::size_t m_reserved = 0;  // Of the body budget, for the request being read.
  std::size_t m_head_pending =
      0;  // Bytes of answer heads and framing not yet handed to the network.
  std::size_t m_discarded = 0;
  TimePoint m_awaited_since{};
  bool m_keep_alive = true;
  bool m_is_http_10 = false;
  bool m_chunked_answer = false;
  bool m_answer_has_body = false;
  bool m_closing = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_
