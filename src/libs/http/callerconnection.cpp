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

constexpr qint64 kReadBufferBytes = 64LL * 1024LL;
constexpr int kLingerMs = 2000;
// A caller that sends on after it was refused is cut off beyond this, so that it cannot use the
// network without end.
constexpr std::size_t kMaxDiscardedBytes = 4UL * 1024UL * 1024UL;

}  // namespace

CallerConnection::CallerConnection(ConnectionId id, qintptr descriptor, const CallerLimits& limits,
                                   BodyBudget& budget, CallerEvents& events)
    : m_id(id), m_limits(limits), m_budget(budget), m_events(events) {
  m_socket.setReadBufferSize(kReadBufferBytes);
  m_socket.setSocketDescriptor(descriptor);
  m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  m_timer.setSingleShot(true);
  connect(&m_socket, &QTcpSocket::readyRead, this, &CallerConnection::ReadMore);
  connect(&m_socket, &QTcpSocket::bytesWritten, this, &CallerConnection::NoteBytesWritten);
  connect(&m_socket, &QTcpSocket::disconnected, this, &CallerConnection::NoteGone);
  connect(&m_timer, &QTimer::timeout, this, &CallerConnection::NoteTimeout);
  StartNextRequest();
}

CallerConnection::~CallerConnection() {
  m_socket.disconnect(this);
  m_budget.Release(m_reserved);
}

void CallerConnection::StartNextRequest() {
  m_parser.emplace();
  m_parser->header_limit(static_cast<std::uint32_t>(m_limits.header_bytes));
  m_parser->body_limit(boost::none);  // Checked here, as the limit depends on the head.
  m_request = HttpRequest();
  m_state = State::kReadingHead;
  m_awaited_since = MonotonicNow();
  m_timer.start(m_input.empty() ? m_limits.idle_timeout_ms : m_limits.header_timeout_ms);
}

void CallerConnection::ReadMore() {
  if (m_state == State::kLingering) {
    m_discarded += static_cast<std::size_t>(m_socket.readAll().size());
    if (m_discarded > kMaxDiscardedBytes) m_socket.abort();
    return;
  }
  if (m_state == State::kAnswering || m_state == State::kClosed) return;
  const QByteArray data = m_socket.readAll();
  if (m_state == State::kReadingHead && m_input.empty()) m_timer.start(m_limits.header_timeout_ms);
  m_input.append(data.constData(), static_cast<std::size_t>(data.size()));
  Parse();
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
  m_is_http_10 = message.version() < 11;
  m_keep_alive = message.keep_alive() && !m_closing;
  m_body_limit = m_events.BodyLimit(m_request);
  if (m_request.target.empty() || m_request.target.front() != '/') {
    return Reject(Reason::kMalformedRequest);
  }
  if (!m_is_http_10 && !HasHeader(m_request.headers, "Host")) {
    return Reject(Reason::kMalformedRequest);
  }
  const auto length = m_parser->content_length();
  if (length && *length > m_body_limit) return Reject(Reason::kBodyTooLarge);
  if (length && !ReserveBody(*length)) return Reject(Reason::kBodyMemory);

  m_state = State::kReadingBody;
  m_timer.start(m_limits.body_timeout_ms);
  m_parser->eager(true);
  const bool expects_continue = boost::beast::iequals(message[http::field::expect], "100-continue");
  if (expects_continue && m_input.empty() && !m_parser->is_done()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    m_head_pending += kContinue.size();
    m_socket.write(kContinue.data(), static_cast<qint64>(kContinue.size()));
  }
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
  m_request.body = std::move(m_parser->get().body());
  m_parser.reset();
  m_state = State::kAnswering;
  m_events.OnRequest(m_id, std::move(m_request), std::exchange(m_reserved, 0));
}

void CallerConnection::Reject(Reason reason) {
  m_timer.stop();
  m_budget.Release(std::exchange(m_reserved, 0));
  m_parser.reset();
  m_input.clear();
  m_input.shrink_to_fit();
  m_keep_alive = false;
  m_state = State::kAnswering;
  m_events.OnBadRequest(m_id, reason);
}

void CallerConnection::StartAnswer(const HttpResponseHead& head) {
  if (m_state != State::kAnswering) return;
  if (m_closing) m_keep_alive = false;
  const bool no_body = HasNoBody(m_request.method, head.status);
  m_answer_has_body = !no_body;
  m_chunked_answer = !no_body && !head.content_length && !m_is_http_10;
  if (!no_body && !head.content_length && m_is_http_10) m_keep_alive = false;
  const AnswerFraming framing{m_chunked_answer, m_keep_alive};
  const std::string bytes = SerializeResponseHead(head, framing);
  m_head_pending += bytes.size();
  m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void CallerConnection::SendBody(std::string_view data) {
  if (m_state != State::kAnswering || data.empty() || !m_answer_has_body) return;
  if (!m_chunked_answer) {
    m_socket.write(data.data(), static_cast<qint64>(data.size()));
    return;
  }
  const std::string chunk = boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::const_buffer(data.data(), data.size())));
  m_head_pending += chunk.size() - data.size();
  m_socket.write(chunk.data(), static_cast<qint64>(chunk.size()));
}

void CallerConnection::FinishAnswer() {
  if (m_state != State::kAnswering) return;
  if (m_chunked_answer) {
    const std::string end = boost::beast::buffers_to_string(http::make_chunk_last());
    m_head_pending += end.size();
    m_socket.write(end.data(), static_cast<qint64>(end.size()));
  }
  m_chunked_answer = false;
  if (!m_keep_alive || m_closing) return Linger();
  StartNextRequest();
  // Handled from the event loop: a caller that pipelines thousands of requests must not nest as
  // many calls.
  QMetaObject::invokeMethod(
      this, [this] { ReadMore(); }, Qt::QueuedConnection);
}

void CallerConnection::Linger() {
  // Closing with unread data in the receive buffer would reset the connection and could lose the
  // answer, so the write side is shut down first and what still arrives is discarded.
  m_state = State::kLingering;
  m_timer.start(kLingerMs);
  if (m_socket.bytesToWrite() == 0) {
    ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
  }
  m_socket.readAll();
}

void CallerConnection::NoteBytesWritten(qint64 bytes) {
  const std::size_t framing = std::min(m_head_pending, static_cast<std::size_t>(bytes));
  m_head_pending -= framing;
  const std::size_t body = static_cast<std::size_t>(bytes) - framing;
  if (m_state == State::kLingering && m_socket.bytesToWrite() == 0) {
    ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
  }
  if (m_state == State::kAnswering && body > 0) m_events.OnBodySent(m_id, body);
}

void CallerConnection::NoteTimeout() {
  if (m_state == State::kLingering || (m_state == State::kReadingHead && m_input.empty())) {
    m_socket.abort();
    return;
  }
  Reject(Reason::kRequestTimeout);
}

void CallerConnection::Abort() {
  m_state = State::kClosed;
  m_socket.abort();
}

void CallerConnection::CloseWhenIdle() {
  m_closing = true;
  const bool is_idle = m_state == State::kReadingHead && m_input.empty();
  if (is_idle) m_socket.disconnectFromHost();
}

void CallerConnection::CloseUnlessRead() {
  if (m_state == State::kReadingHead) m_socket.abort();
}

std::optional<TimePoint> CallerConnection::AwaitedSince() const {
  if (m_state != State::kReadingHead) return std::nullopt;
  return m_awaited_since;
}

void CallerConnection::NoteGone() {
  m_timer.stop();
  m_state = State::kClosed;
  m_events.OnCallerGone(m_id);
}

}  // namespace damaskhollow
