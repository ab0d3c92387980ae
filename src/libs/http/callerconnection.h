#ifndef DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_
#define DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
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

// Names one request and its answer on a caller's connection. Numbers rise in the order in which the
// requests were sent, which is that of the answers.
struct ExchangeId {
  ConnectionId connection;
  std::uint64_t number = 0;

  auto operator<=>(const ExchangeId&) const = default;
};

// Gets what callers do. Members are called on the connection's thread.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;

  // The longest body that is accepted for a request with this head, in bytes.
  virtual std::size_t BodyLimit(const HttpRequest& head) const = 0;

  // A whole request. Others may follow before it is answered. `body_bytes` have been reserved in
  // the body budget; the receiver releases them.
  virtual void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) = 0;

  // A request that cannot be accepted; the receiver answers it and the connection closes after
  // that.
  virtual void OnBadRequest(ExchangeId exchange, Reason reason) = 0;

  // `bytes` of the answer's body have been handed to the network.
  virtual void OnBodySent(ExchangeId exchange, std::size_t bytes) = 0;

  // The caller left, or the connection was closed. The connection may be deleted when this returns
  // to the event loop.
  virtual void OnCallerDisconnected(ConnectionId connection) = 0;
};

struct CallerLimits {
  std::size_t header_bytes = 16UL * 1024UL;
  int header_timeout_ms = 10000;
  int body_timeout_ms = 60000;
  int idle_timeout_ms = 75000;
  // Requests that are handed on before the first of them has been answered. Only safe methods
  // (RFC 9110, 9.2.1) are; any other waits for the answers before it and holds back what follows.
  std::size_t max_pipelined_requests = 1;
};

// The server side of one HTTP/1.1 connection. Answers go out in the order of the requests, whatever
// the order in which they are given.
class CallerConnection : public QObject {
 public:
  // Takes over a connected socket by its descriptor.
  CallerConnection(ConnectionId id, qintptr descriptor, const CallerLimits& limits,
                   BodyBudget& budget, CallerEvents& events);
  ~CallerConnection() override;

  // The oldest exchange without a whole answer; 0 if there is none.
  std::uint64_t OldestPendingExchange() const {
    return m_exchanges.empty() ? 0 : m_exchanges.front().number;
  }

  // Starts the answer to a request. This and the members below ignore exchanges that have ended.
  void StartResponse(std::uint64_t number, const HttpResponseHead& head);

  // Adds to the answer's body.
  void SendBody(std::uint64_t number, std::string_view data);

  // Ends the answer.
  void FinishResponse(std::uint64_t number);

  // Takes back what was given of an answer, so that another can be started; false if a part of it
  // has been handed to the network.
  bool DiscardUnsentResponse(std::uint64_t number);

  // Closes the connection so that the caller sees the answer as incomplete.
  void Abort();

  // Closes the connection after the answers that are due, at once if there are none.
  void CloseWhenIdle();

  // Closes the connection if the head of a request is awaited; a part of one is dropped, unread.
  void CloseIfAwaitingHead();

  // Since when the head of a request has been awaited; empty once it has arrived whole.
  std::optional<TimePoint> AwaitingHeadSince() const;

 private:
  enum class State {
    kReadingHead,
    kReadingBody,
    kWaitingForTurn,  // A whole request waits for the answers before it.
    kStopped,         // Nothing more is read; the connection closes after the answers that are due.
    kLingering,
    kClosed
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // A request that was handed on, until its answer has been handed to the network.
  struct Exchange {
    std::uint64_t number = 0;
    std::string method;
    bool is_http_10 = false;
    bool closes_connection = false;  // The connection closes after the answer.
    bool started = false;
    bool chunked = false;
    bool has_body = false;
    bool finished = false;
    bool sent = false;              // A part of the answer has been handed to the network.
    std::string buffered;           // Not handed on yet.
    std::size_t buffered_body = 0;  // Bytes of body in it.
  };

  // Bytes that the socket has taken and not yet sent.
  struct Segment {
    std::uint64_t number = 0;
    std::size_t bytes = 0;
    bool is_body = false;
  };

  void ReadMore();
  void Parse();
  void ParseHead();
  void ParseBody();
  void AcceptHead();
  void AcceptRequest();
  Exchange& AddExchange();
  void Reject(Reason reason);
  void StartNextRequest();
  void AwaitHead();
  bool CanDispatch(std::string_view method) const;
  bool CanReadAhead() const;
  void ScheduleRead();
  void SendContinue();
  Exchange* FindExchange(std::uint64_t number);
  void WriteOrBuffer(Exchange& exchange, std::string_view bytes, bool is_body);
  void Write(std::uint64_t number, std::string_view bytes, bool is_body);
  void WriteBuffered(Exchange& exchange);
  void FlushResponses();
  void Linger();
  void OnBytesWritten(qint64 bytes);
  void OnTimeout();
  void OnDisconnected();
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
  bool m_request_closes_connection = false;
  bool m_request_is_http_10 = false;
  bool m_continue_due = false;  // The caller waits for 100 Continue before it sends the body.
  std::uint64_t m_next_number = 1;
  std::deque<Exchange> m_exchanges;  // In the order of their numbers.
  std::deque<Segment> m_unsent;
  std::size_t m_discarded = 0;
  TimePoint m_awaiting_head_since{};
  bool m_closing = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_
