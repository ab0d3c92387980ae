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

// Identifies one request and its response on a caller's connection. Numbers increase in the order
// in which the requests were sent, which is also the order of the responses.
struct ExchangeId {
  ConnectionId connection;
  std::uint64_t number = 0;

  auto operator<=>(const ExchangeId&) const = default;
};

// Receives the requests and events of caller connections. Members are called on the connection's
// thread.
class CallerEvents {
 public:
  virtual ~CallerEvents() = default;

  // The maximum body size accepted for a request with this head, in bytes.
  virtual std::size_t BodyLimit(const HttpRequest& head) const = 0;

  // A complete request was received. Others may follow before its response. `body_bytes` have been
  // reserved in the body budget; the implementation releases them.
  virtual void OnRequest(ExchangeId exchange, HttpRequest request, std::size_t body_bytes) = 0;

  // A request cannot be accepted. The implementation responds to it, then the connection closes.
  virtual void OnBadRequest(ExchangeId exchange, Reason reason) = 0;

  // `bytes` of the response body have been handed to the network.
  virtual void OnBodySent(ExchangeId exchange, std::size_t bytes) = 0;

  // The caller disconnected or the connection was closed. The connection may be deleted once
  // control returns to the event loop.
  virtual void OnCallerDisconnected(ConnectionId connection) = 0;
};

struct CallerLimits {
  std::size_t header_bytes = 16UL * 1024UL;
  int header_timeout_ms = 10000;
  int body_timeout_ms = 60000;
  int idle_timeout_ms = 75000;
  // Maximum number of requests dispatched before the response to the first is complete. Only safe
  // methods (RFC 9110, 9.2.1) are pipelined; any other request waits for the responses before it
  // and blocks those behind it.
  std::size_t max_pipelined_requests = 1;
};

// The server side of one HTTP/1.1 connection. Responses are sent in the order of the requests,
// regardless of the order in which they are supplied.
class CallerConnection : public QObject {
 public:
  // Takes ownership of the descriptor of a connected socket.
  CallerConnection(ConnectionId id, qintptr descriptor, const CallerLimits& limits,
                   BodyBudget& budget, CallerEvents& events);
  ~CallerConnection() override;

  // The oldest exchange without a complete response; 0 if there is none.
  std::uint64_t OldestPendingExchange() const {
    return m_exchanges.empty() ? 0 : m_exchanges.front().number;
  }

  // Starts the response to a request. This and the next three members ignore exchanges that have
  // ended.
  void StartResponse(std::uint64_t number, const HttpResponseHead& head);

  // Appends to the response body.
  void SendBody(std::uint64_t number, std::string_view data);

  // Ends the response.
  void FinishResponse(std::uint64_t number);

  // Discards the buffered part of a response so that another can be started; returns false if a
  // part of it has been handed to the network.
  bool DiscardUnsentResponse(std::uint64_t number);

  // The bytes held for the caller: input that is not parsed, and responses that are not sent.
  // Request bodies are not included, as they are reserved in the body budget.
  std::size_t HeldBytes() const;

  // Closes the connection such that the caller detects an incomplete response.
  void Abort();

  // Closes the connection after the pending responses, at once if there are none. One that has not
  // carried a request yet stays open for its first request for a short time.
  void CloseWhenIdle();

  // Closes the connection if it awaits the head of a request; a partial head is discarded. A head
  // that has arrived without having been read yet is read first and keeps the connection open.
  // Returns whether the connection was closed.
  bool CloseIfAwaitingHead();

  // The time since which the head of a request has been awaited; empty if none is awaited or the
  // last response has not been handed to the network.
  std::optional<TimePoint> AwaitingHeadSince() const;

 private:
  enum class State {
    kReadingHead,
    kReadingBody,
    kWaitingForTurn,  // A complete request waits for earlier responses.
    kStopped,         // Reads nothing more; closes after the pending responses.
    kLingering,
    kClosed
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // A dispatched request, until its response has been handed to the network.
  struct Exchange {
    std::uint64_t number = 0;
    std::string method;
    bool is_http_10 = false;
    bool closes_connection = false;  // After the response.
    bool started = false;
    bool chunked = false;
    bool has_body = false;
    bool finished = false;
    bool sent = false;              // Part of the response was handed to the network.
    std::string buffered;           // Response bytes that wait for earlier responses.
    std::size_t buffered_body = 0;  // Body bytes in `buffered`.
  };

  // Bytes written to the socket's buffer and not yet sent.
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

  // Whether so many response bytes are unsent that no further request is read.
  bool HasFullWriteBuffer() const;

  // Suspends reading until the write buffer has drained. The connection is closed if no response
  // byte is sent for the idle time-out.
  void AwaitDrain();

  // Whether a complete request with this method may be dispatched before earlier responses end.
  bool CanDispatch(std::string_view method) const;

  // Whether the next request may be read while earlier responses are pending.
  bool CanReadAhead() const;

  // Continues reading, or dispatches the waiting request, from the event loop.
  void ScheduleRead();
  void SendContinue();
  Exchange* FindExchange(std::uint64_t number);

  // Writes response bytes, or buffers them while the exchange has to wait for its turn or its
  // response may still be discarded.
  void WriteOrBuffer(Exchange& exchange, std::string_view bytes, bool is_body);
  void Write(std::uint64_t number, std::string_view bytes, bool is_body);
  void WriteBuffered(Exchange& exchange);
  void FlushResponses();

  // Shuts down the write side and discards further input for a limited time before closing.
  void Linger();
  void ShutDownWriting();

  // Sets whether closing the connection resets it. While a response is sent whose end is the end of
  // the connection, any other end must differ from an orderly one, even that of the process.
  void SetResetOnClose(bool resets);
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
  QTimer m_drain_timer;  // Runs while reading waits for the write buffer to drain.
  State m_state = State::kReadingHead;
  std::string m_input;
  std::optional<Parser> m_parser;
  HttpRequest m_request;
  std::size_t m_head_field_bytes = 0;  // Of the request being read, without trailers.
  std::size_t m_body_limit = 0;
  std::size_t m_reserved = 0;  // Body budget reserved for the request being read.
  bool m_request_closes_connection = false;
  bool m_request_is_http_10 = false;
  bool m_continue_due = false;  // The caller awaits 100 Continue to send the body.
  std::uint64_t m_next_number = 1;
  std::deque<Exchange> m_exchanges;  // Ordered by number.
  std::deque<Segment> m_unsent;
  std::size_t m_discarded = 0;
  TimePoint m_awaiting_head_since{};
  bool m_awaits_drain = false;
  bool m_is_read_scheduled = false;
  bool m_closing = false;
  bool m_resets_on_close = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_CALLERCONNECTION_H_
