#include "http/callerconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <utility>

namespace damaskhollow {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view kChunkEnd = "\r\n";
constexpr qint64 kReadBufferBytes = 64LL * 1024LL;
constexpr int kLingerMs = 2000;
// How long a closing connection waits for its first request: a caller that has just connected is
// about to send one, and a reset would not tell it whether the request ran.
constexpr int kFirstRequestMs = 200;
// A caller that keeps sending after its request was rejected is disconnected beyond this limit, so
// that it cannot use bandwidth indefinitely.
constexpr std::size_t kMaxDiscardedBytes = 4UL * 1024UL * 1024UL;
// A response with others behind it is buffered until complete, up to this size, so that one that
// fails midway does not close the connection and lose the others.
constexpr std::size_t kMaxBufferedBytes = 64UL * 1024UL;
// No further request is read or dispatched while more response bytes than this wait in the socket's
// write buffer. It is the credit window of one call, so that a response that is read slowly does
// not keep a caller with a usual pace from sending its next request.
constexpr qint64 kMaxUnsentBytes = 256LL * 1024LL;

bool IsSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// The size of header fields as sent: a colon, a space and a line end are added to each.
template <class Fields>
std::size_t FieldBytes(const Fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields) bytes += field.name_string().size() + field.value().size() + 4;
  return bytes;
}

}  // namespace

CallerConnection::CallerConnection(ConnectionId id, qintptr descriptor, const CallerLimits& limits,
                                   BodyBudget& budget, CallerEvents& events)
    : m_id(id), m_limits(limits), m_budget(budget), m_events(events) {
  m_socket.setReadBufferSize(kReadBufferBytes);
  m_socket.setSocketDescriptor(descriptor);
  m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  m_timer.setSingleShot(true);
  connect(&m_socket, &QTcpSocket::readyRead, this, &CallerConnection::ReadMore);
  connect(&m_socket, &QTcpSocket::bytesWritten, this, &CallerConnection::OnBytesWritten);
  connect(&m_socket, &QTcpSocket::disconnected, this, &CallerConnection::OnDisconnected);
  connect(&m_timer, &QTimer::timeout, this, &CallerConnection::OnTimeout);
  m_drain_timer.setSingleShot(true);
  connect(&m_drain_timer, &QTimer::timeout, &m_socket, &QTcpSocket::abort);
  StartNextRequest();
}

CallerConnection::~CallerConnection() {
  m_socket.disconnect(this);
  m_budget.Release(m_reserved);
}

void CallerConnection::StartNextRequest() {
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(m_limits.header_bytes));
  m_parser->body_limit(boost::none);  // Checked in this class, as the limit depends on the head.
  m_request = HttpRequest();
  m_state = State::kReadingHead;
  m_request_is_http_10 = m_request_closes_connection = m_continue_due = false;
  m_awaiting_head_since = MonotonicNow();
  m_timer.stop();
  if (m_exchanges.empty()) AwaitHead();
}

void CallerConnection::AwaitHead() {
  m_timer.start(m_input.empty() ? m_limits.idle_timeout_ms : m_limits.header_timeout_ms);
}

void CallerConnection::ReadMore() {
  if (m_state == State::kLingering) {
    m_discarded += static_cast<std::size_t>(m_socket.readAll().size());
    if (m_discarded > kMaxDiscardedBytes) m_socket.abort();
    return;
  }
  if (HasFullWriteBuffer()) return AwaitDrain();
  const bool is_reading = m_state == State::kReadingHead || m_state == State::kReadingBody;
  if (!is_reading || !CanReadAhead()) return;
  // Input beyond the header limit holds a whole head, or the parser can consume a part of it:
  // otherwise the request would have been rejected. It is parsed before more is read.
  const bool has_room = m_input.size() <= m_limits.header_bytes;
  const QByteArray data = has_room ? m_socket.readAll() : QByteArray();
  const bool is_start = m_state == State::kReadingHead && m_input.empty();
  if (is_start && !data.isEmpty()) m_timer.start(m_limits.header_timeout_ms);
  m_input.append(data.constData(), static_cast<std::size_t>(data.size()));
  Parse();
  const bool has_part = m_state == State::kReadingHead && !m_input.empty();
  if (has_part && !m_timer.isActive()) m_timer.start(m_limits.header_timeout_ms);
}

bool CallerConnection::HasFullWriteBuffer() const {
  return m_socket.bytesToWrite() > kMaxUnsentBytes;
}

void CallerConnection::AwaitDrain() {
  const bool is_open = m_state != State::kLingering && m_state != State::kClosed;
  if (!is_open || std::exchange(m_awaits_drain, true)) return;
  m_drain_timer.start(m_limits.idle_timeout_ms);
}

bool CallerConnection::CanReadAhead() const {
  if (HasFullWriteBuffer()) return false;
  if (m_exchanges.empty()) return true;
  if (m_exchanges.size() >= m_limits.max_pipelined_requests) return false;
  if (m_exchanges.back().is_http_10) return false;  // Response may be close-delimited.
  // While a response is being sent, the next request waits: if that response fails midway, the
  // connection closes.
  return IsSafeMethod(m_exchanges.back().method) && !m_exchanges.front().sent;
}

bool CallerConnection::CanDispatch(std::string_view method) const {
  if (HasFullWriteBuffer()) return false;
  return m_exchanges.empty() || (IsSafeMethod(method) && CanReadAhead());
}

void CallerConnection::Parse() {
  if (m_state == State::kReadingHead) ParseHead();
  if (m_state == State::kReadingBody) ParseBody();
}

void CallerConnection::ParseHead() {
  if (m_input.empty()) return;
  boost::system::error_code error;
  const std::size_t used = m_parser->put(boost::asio::buffer(m_input), error);
  m_input.erase(0, used);
  if (error == http::error::header_limit) return Reject(Reason::kHeaderTooLarge);
  if (error && error != http::error::need_more) return Reject(Reason::kMalformedRequest);
  if (m_parser->is_header_done()) AcceptHead();
}

void CallerConnection::AcceptHead() {
  const auto& message = m_parser->get();
  m_request.method = std::string(message.method_string());
  m_request.target = std::string(message.target());
  for (const auto& field : message) {
    m_request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  m_request_is_http_10 = message.version() < 11;
  m_request_closes_connection = !message.keep_alive();
  m_head_field_bytes = FieldBytes(message);
  m_body_limit = m_events.BodyLimit(m_request);
  if (m_request.target.empty() || m_request.target.front() != '/') {
    return Reject(Reason::kMalformedRequest);
  }
  if (!m_request_is_http_10 && !HasHeader(m_request.headers, "Host")) {
    return Reject(Reason::kMalformedRequest);
  }
  const auto length = m_parser->content_length();
  if (length && *length > m_body_limit) return Reject(Reason::kBodyTooLarge);
  if (length && !ReserveBody(*length)) return Reject(Reason::kBodyMemory);

  m_state = State::kReadingBody;
  m_timer.start(m_limits.body_timeout_ms);
  m_parser->eager(true);
  const bool expects_continue = boost::beast::iequals(message[http::field::expect], "100-continue");
  m_continue_due = expects_continue && m_input.empty() && !m_parser->is_done();
  if (m_exchanges.empty()) SendContinue();
}

void CallerConnection::SendContinue() {
  if (!std::exchange(m_continue_due, false)) return;
  Write(m_next_number, "HTTP/1.1 100 Continue\r\n\r\n", false);
}

void CallerConnection::ParseBody() {
  boost::system::error_code error;
  while (!m_parser->is_done() && !m_input.empty() && !error) {
    const std::size_t used = m_parser->put(boost::asio::buffer(m_input), error);
    m_input.erase(0, used);
    const std::size_t body_bytes = m_parser->get().body().size();
    if (body_bytes > m_body_limit) return Reject(Reason::kBodyTooLarge);
    if (!ReserveBody(body_bytes)) return Reject(Reason::kBodyMemory);
  }
  if (error && error != http::error::need_more) return Reject(Reason::kMalformedRequest);
  // Trailers and chunk extensions have the limit of the header fields. The parser consumes them
  // only when they are complete.
  const std::size_t unparsed_fields =
      m_parser->is_done() ? FieldBytes(m_parser->get()) - m_head_field_bytes : m_input.size();
  if (unparsed_fields > m_limits.header_bytes) return Reject(Reason::kHeaderTooLarge);
  if (m_parser->is_done()) AcceptRequest();
}

bool CallerConnection::ReserveBody(std::size_t total_bytes) {
  if (total_bytes <= m_reserved) return true;
  if (!m_budget.TryReserve(total_bytes - m_reserved)) return false;
  m_reserved = total_bytes;
  return true;
}

void CallerConnection::AcceptRequest() {
  m_timer.stop();
  if (!CanDispatch(m_request.method)) {
    m_state = State::kWaitingForTurn;
    return;
  }
  m_continue_due = false;
  m_request.body = std::move(m_parser->get().body());
  HttpRequest request = std::move(m_request);
  Exchange& exchange = AddExchange();
  exchange.method = request.method;
  const ExchangeId id{m_id, exchange.number};
  const std::size_t reserved = std::exchange(m_reserved, 0);
  if (exchange.closes_connection || m_closing) {
    m_parser.reset();
    m_state = State::kStopped;
  } else {
    StartNextRequest();
  }
  m_events.OnRequest(id, std::move(request), reserved);
  ScheduleRead();
}

CallerConnection::Exchange& CallerConnection::AddExchange() {
  Exchange& exchange = m_exchanges.emplace_back();
  exchange.number = m_next_number++;
  exchange.is_http_10 = m_request_is_http_10;
  exchange.closes_connection = m_request_closes_connection;
  return exchange;
}

void CallerConnection::Reject(Reason reason) {
  m_timer.stop();
  m_budget.Release(std::exchange(m_reserved, 0));
  m_parser.reset();
  m_input.clear();
  m_input.shrink_to_fit();
  Exchange& exchange = AddExchange();
  exchange.method = m_request.method;
  exchange.closes_connection = true;
  m_state = State::kStopped;
  m_events.OnBadRequest({m_id, exchange.number}, reason);
}

CallerConnection::Exchange* CallerConnection::FindExchange(std::uint64_t number) {
  const auto found = std::find_if(m_exchanges.begin(), m_exchanges.end(),
                                  [number](const auto& entry) { return entry.number == number; });
  return found == m_exchanges.end() || found->finished ? nullptr : &*found;
}

void CallerConnection::StartResponse(std::uint64_t number, const HttpResponseHead& head) {
  Exchange* exchange = FindExchange(number);
  if (exchange == nullptr) return;
  // While the connection is closing, nothing is read after the last exchange.
  const bool is_last = number == m_exchanges.back().number;
  if (m_closing && is_last) exchange->closes_connection = true;
  const bool no_body = HasNoBody(exchange->method, head.status);
  exchange->started = true;
  exchange->has_body = !no_body;
  exchange->chunked = !no_body && !head.content_length && !exchange->is_http_10;
  if (!no_body && !head.content_length && exchange->is_http_10) exchange->closes_connection = true;
  const bool is_close_delimited = !no_body && !head.content_length && !exchange->chunked;
  if (is_close_delimited) SetResetOnClose(true);
  const ResponseFraming framing{exchange->chunked, !exchange->closes_connection};
  WriteOrBuffer(*exchange, SerializeResponseHead(head, framing), false);
}

void CallerConnection::SendBody(std::uint64_t number, std::string_view data) {
  Exchange* exchange = FindExchange(number);
  if (exchange == nullptr || data.empty() || !exchange->has_body) return;
  if (!exchange->chunked) return WriteOrBuffer(*exchange, data, true);
  // Body bytes are counted separately from the chunk framing, as only they return credit.
  const boost::asio::const_buffer buffer(data.data(), data.size());
  const std::string chunk = boost::beast::buffers_to_string(http::make_chunk(buffer));
  const std::size_t start = chunk.size() - data.size() - kChunkEnd.size();
  WriteOrBuffer(*exchange, std::string_view(chunk).substr(0, start), false);
  WriteOrBuffer(*exchange, data, true);
  WriteOrBuffer(*exchange, kChunkEnd, false);
}

void CallerConnection::FinishResponse(std::uint64_t number) {
  Exchange* exchange = FindExchange(number);
  if (exchange == nullptr) return;
  if (exchange->chunked) {
    WriteOrBuffer(*exchange, boost::beast::buffers_to_string(http::make_chunk_last()), false);
  }
  exchange->finished = true;
  FlushResponses();
}

bool CallerConnection::DiscardUnsentResponse(std::uint64_t number) {
  Exchange* exchange = FindExchange(number);
  if (exchange == nullptr || exchange->sent) return false;
  exchange->buffered.clear();
  exchange->buffered_body = 0;
  exchange->started = exchange->chunked = exchange->has_body = false;
  return true;
}

void CallerConnection::WriteOrBuffer(Exchange& exchange, std::string_view bytes, bool is_body) {
  const bool is_first = exchange.number == m_exchanges.front().number;
  const bool is_buffered =
      !is_first || (!exchange.sent && m_exchanges.size() > 1 &&
                    exchange.buffered.size() + bytes.size() <= kMaxBufferedBytes);
  if (!is_buffered) {
    WriteBuffered(exchange);
    exchange.sent = true;
    return Write(exchange.number, bytes, is_body);
  }
  exchange.buffered += bytes;
  if (is_body) exchange.buffered_body += bytes.size();
}

void CallerConnection::WriteBuffered(Exchange& exchange) {
  if (exchange.buffered.empty()) return;
  exchange.sent = true;
  const std::string buffered = std::exchange(exchange.buffered, std::string());
  m_socket.write(buffered.data(), static_cast<qint64>(buffered.size()));
  const std::size_t body = std::exchange(exchange.buffered_body, 0);
  m_unsent.push_back({exchange.number, buffered.size() - body, false});
  m_unsent.push_back({exchange.number, body, true});
}

void CallerConnection::Write(std::uint64_t number, std::string_view bytes, bool is_body) {
  m_unsent.push_back({number, bytes.size(), is_body});
  m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

// Writes the responses whose turn has come and removes the exchanges that are complete.
void CallerConnection::FlushResponses() {
  while (!m_exchanges.empty() && m_exchanges.front().finished) {
    WriteBuffered(m_exchanges.front());
    const bool closes_connection = m_exchanges.front().closes_connection;
    m_exchanges.pop_front();
    const bool is_last = m_closing && m_exchanges.empty() && m_state != State::kWaitingForTurn;
    if (closes_connection || is_last) return Linger();
  }
  if (m_exchanges.empty()) {
    SendContinue();
    if (m_state == State::kReadingHead) {
      m_awaiting_head_since = MonotonicNow();
      AwaitHead();
    }
  } else if (m_exchanges.size() == 1 || m_exchanges.front().buffered.size() > kMaxBufferedBytes) {
    WriteBuffered(m_exchanges.front());
  }
  ScheduleRead();
}

// Runs from the event loop: direct calls would nest as deep as the number of pipelined requests,
// which may be thousands. At most one such event is pending: each request schedules two, so that
// the events would take more memory than the requests.
void CallerConnection::ScheduleRead() {
  if (std::exchange(m_is_read_scheduled, true)) return;
  QMetaObject::invokeMethod(
      this,
      [this] {
        m_is_read_scheduled = false;
        if (m_state == State::kWaitingForTurn && CanDispatch(m_request.method)) {
          return AcceptRequest();
        }
        ReadMore();
      },
      Qt::QueuedConnection);
}

void CallerConnection::Linger() {
  // Closing with unread data in the receive buffer would reset the connection and could lose the
  // response, so the write side is shut down first and further input is discarded.
  m_state = State::kLingering;
  m_drain_timer.stop();
  m_timer.start(kLingerMs);
  if (m_socket.bytesToWrite() == 0) ShutDownWriting();
  m_socket.readAll();
}

void CallerConnection::ShutDownWriting() {
  if (m_resets_on_close) SetResetOnClose(false);
  ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
}

void CallerConnection::SetResetOnClose(bool resets) {
  m_resets_on_close = resets;
  const linger reset{resets ? 1 : 0, 0};
  ::setsockopt(static_cast<int>(m_socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
}

void CallerConnection::OnBytesWritten(qint64 bytes) {
  if (m_state == State::kLingering && m_socket.bytesToWrite() == 0) ShutDownWriting();
  if (m_awaits_drain) {
    m_awaits_drain = HasFullWriteBuffer();
    if (m_awaits_drain) {
      m_drain_timer.start();  // The caller reads.
    } else {
      m_drain_timer.stop();
      ScheduleRead();
    }
  }
  auto left = static_cast<std::size_t>(bytes);
  while (left > 0 && !m_unsent.empty()) {
    Segment& segment = m_unsent.front();
    const std::size_t count = std::min(left, segment.bytes);
    const std::uint64_t number = segment.number;
    const bool is_credit = segment.is_body && count > 0 && FindExchange(number) != nullptr;
    left -= count;
    segment.bytes -= count;
    if (segment.bytes == 0) m_unsent.pop_front();
    if (is_credit) m_events.OnBodySent({m_id, number}, count);
  }
}

void CallerConnection::OnTimeout() {
  if (m_state == State::kLingering || (m_state == State::kReadingHead && m_input.empty())) {
    m_socket.abort();
    return;
  }
  // While reading is suspended, the caller is not late.
  if (!CanReadAhead()) return m_timer.start(m_limits.header_timeout_ms);
  Reject(Reason::kRequestTimeout);
}

std::size_t CallerConnection::HeldBytes() const {
  std::size_t bytes = m_input.size();
  bytes += static_cast<std::size_t>(m_socket.bytesAvailable() + m_socket.bytesToWrite());
  for (const Exchange& exchange : m_exchanges) bytes += exchange.buffered.size();
  return bytes;
}

void CallerConnection::Abort() {
  m_state = State::kClosed;
  m_socket.abort();
}

void CallerConnection::CloseWhenIdle() {
  m_closing = true;
  if (m_state != State::kReadingHead) return;
  if (!m_exchanges.empty()) {
    // Requests read after these were not dispatched, so the caller will resend them.
    m_timer.stop();
    m_state = State::kStopped;
    return;
  }
  if (!m_input.empty()) return;
  // Reads what the kernel has received before the event loop does: it may hold a request, and
  // closing with unread data would reset the connection.
  m_socket.waitForReadyRead(0);
  if (m_state != State::kReadingHead || !m_exchanges.empty() || !m_input.empty()) return;
  if (m_next_number == 1) return m_timer.start(kFirstRequestMs);
  m_socket.disconnectFromHost();
}

bool CallerConnection::CloseIfAwaitingHead() {
  if (!AwaitingHeadSince()) return false;
  // Reads what the kernel has received before the event loop does: it may complete a request.
  m_socket.waitForReadyRead(0);
  if (m_state != State::kClosed && !AwaitingHeadSince()) return false;
  m_socket.abort();
  return true;
}

std::optional<TimePoint> CallerConnection::AwaitingHeadSince() const {
  const bool is_idle = m_state == State::kReadingHead && m_exchanges.empty();
  if (!is_idle || m_socket.bytesToWrite() > 0) return std::nullopt;
  return m_awaiting_head_since;
}

void CallerConnection::OnDisconnected() {
  m_timer.stop();
  m_drain_timer.stop();
  m_state = State::kClosed;
  m_events.OnCallerDisconnected(m_id);
}

}  // namespace damaskhollow
