#include "http/backendconnection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <sstream>
#include <utility>

namespace damaskhollow {

namespace {

namespace http = boost::beast::http;

constexpr qint64 kReadBufferBytes = 64LL * 1024LL;
constexpr std::uint32_t kHeaderLimitBytes = 64 * 1024;
constexpr std::size_t kCloseDelimitedReadBytes = 16UL * 1024UL;
// Interim (1xx) responses accepted before the final one.
constexpr unsigned kMaxInterimResponses = 16;
// Bytes read of responses that belong to other requests, for one request.
constexpr std::size_t kMaxSkippedBytes = 4UL * 1024UL * 1024UL;
// Requests refused on one connection, after which it is replaced.
constexpr std::size_t kMaxRefusedIds = 64;

// The `timeout` parameter of a Keep-Alive field, which is in whole seconds.
std::optional<Duration> ParseKeepAliveTimeout(std::string_view field) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t start = field.find(kName);
  if (start == std::string_view::npos) return std::nullopt;
  int seconds = 0;
  const char* begin = field.data() + start + kName.size();
  const auto [end, error] = std::from_chars(begin, field.data() + field.size(), seconds);
  if (error != std::errc() || end == begin || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

std::string SerializeRequest(const HttpRequest& request) {
  http::request_header<> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const HttpHeader& header : request.headers) message.insert(header.name, header.value);
  const bool has_length =
      !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
  if (has_length) message.set(http::field::content_length, std::to_string(request.body.size()));
  std::ostringstream out;
  out << message;
  return out.str() + request.body;
}

}  // namespace

BackendConnection::BackendConnection(ConnectionId id, const Endpoint& server, BackendEvents& events)
    : m_id(id), m_server(server), m_events(events) {
  m_socket.setReadBufferSize(kReadBufferBytes);
  m_timer.setSingleShot(true);
  connect(&m_socket, &QTcpSocket::connected, this, &BackendConnection::OnConnected);
  connect(&m_socket, &QTcpSocket::readyRead, this, &BackendConnection::ReadMore);
  connect(&m_socket, &QTcpSocket::disconnected, this, &BackendConnection::OnClosed);
  connect(&m_socket, &QTcpSocket::errorOccurred, this, &BackendConnection::OnClosed);
  connect(&m_timer, &QTimer::timeout, this, &BackendConnection::OnTimeout);
}

BackendConnection::~BackendConnection() {
  m_socket.disconnect(this);
  EndCloseDelimitedBody();
}

void BackendConnection::Send(const HttpRequest& request, std::size_t credit,
                             std::chrono::milliseconds timeout, ResponseCheck check) {
  m_check = std::move(check);
  m_skipping_response = false;
  m_skipped_bytes = 0;
  m_interim_responses = 0;
  m_output = SerializeRequest(request);
  m_method = request.method;
  m_credit = credit;
  m_head_parsed = false;
  m_written = false;
  StartParser();
  m_request_timeout = std::max(timeout, std::chrono::milliseconds(1));
  m_timer.start(m_request_timeout);
  if (m_state == State::kIdle) return WriteRequest();
  m_state = State::kConnecting;
  if (m_connect_timeout) m_timer.start(std::min(*m_connect_timeout, m_request_timeout));
  m_socket.connectToHost(QString::fromStdString(m_server.address), m_server.port);
}

bool BackendConnection::HasUnreadInput() const {
  if (m_socket.bytesAvailable() > 0) return true;
  char byte = 0;
  const ssize_t count =
      ::recv(static_cast<int>(m_socket.socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

void BackendConnection::OnTimeout() {
  const bool is_connecting = m_state == State::kConnecting && m_connect_timeout;
  Fail(is_connecting ? Reason::kBackendUnreachable : Reason::kBackendTimeout);
}

void BackendConnection::OnConnected() {
  if (m_connect_timeout) m_timer.start(m_request_timeout);
  m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
  const int descriptor = static_cast<int>(m_socket.socketDescriptor());
  if (m_keep_alive && !EnableKeepAlive(descriptor, *m_keep_alive)) {
    return Fail(Reason::kBackendUnreachable);
  }
  WriteRequest();
}

void BackendConnection::WriteRequest() {
  m_state = State::kWaiting;
  m_written = true;
  m_socket.write(m_output.data(), static_cast<qint64>(m_output.size()));
  m_output.clear();
  m_output.shrink_to_fit();
}

void BackendConnection::AddCredit(std::size_t bytes) {
  m_credit += bytes;
  if (m_close_delimited_notifier && m_credit > 0) m_close_delimited_notifier->setEnabled(true);
  if (m_state == State::kReading) ReadMore();
}

void BackendConnection::ReadMore() {
  if (m_state == State::kIdle) {
    // No request is pending, so the bytes belong to none.
    m_state = State::kClosed;
    m_events.OnBackendIdleClosed(m_id);
    return;
  }
  while ((m_state == State::kWaiting || m_state == State::kReading) &&
         m_socket.bytesAvailable() > 0 && (m_state == State::kWaiting || m_credit > 0)) {
    const qint64 limit = m_state == State::kWaiting
                             ? kReadBufferBytes
                             : std::min<qint64>(kReadBufferBytes, static_cast<qint64>(m_credit));
    const QByteArray data = m_socket.read(limit);
    m_input.append(data.constData(), static_cast<std::size_t>(data.size()));
    Parse();
    EmitPart();
  }
}

void BackendConnection::Parse() {
  boost::system::error_code error;
  std::string_view rest = m_input;
  while (!m_parser->is_done() && !rest.empty() && !error) {
    const bool is_head = !m_parser->is_header_done();
    const std::size_t used = m_parser->put(boost::asio::buffer(rest), error);
    // The element that ends a chunked body is the last chunk with the trailer.
    const bool is_trailer = !is_head && m_parser->chunked() && m_parser->is_done();
    const bool is_folded = (is_head || is_trailer) && m_line_folding.Add(rest.substr(0, used));
    if (is_folded) return Reject(ResponseFault::kLineFolding);
    rest.remove_prefix(used);
    if (!m_head_parsed && m_parser->is_header_done()) {
      AcceptHead();
      if (m_state == State::kClosed) return;
    }
    if (m_skipping_response) m_skipped_bytes += used;
    CollectBody();
    if (m_skipping_response && m_parser->is_done()) {
      m_skipping_response = false;
      m_head_parsed = false;
      m_state = State::kWaiting;
      StartParser();
    }
  }
  m_input.erase(0, m_input.size() - rest.size());
  if (error && error != http::error::need_more) return Reject(ResponseFault::kSyntax);
  // What the parser leaves is an incomplete head, chunk header or trailer.
  const bool is_endless = m_input.size() > kHeaderLimitBytes ||
                          m_skipped_bytes > kMaxSkippedBytes ||
                          m_interim_responses > kMaxInterimResponses;
  if (is_endless) return Reject(ResponseFault::kTooLong);
  if (m_parser->is_done()) return Finish();
  if (m_head_parsed && m_parser->need_eof()) StartCloseDelimitedBody();
}

void BackendConnection::StartParser() {
  m_parser.emplace();
  m_line_folding = LineFoldingDetector();
  m_parser->header_limit(kHeaderLimitBytes);
  m_parser->body_limit(boost::none);
  // One element at a time (head, chunk header, chunk, last chunk with trailer), so that the head is
  // examined before the fields of the trailer are added to it.
  m_parser->eager(false);
  if (m_method == "HEAD") m_parser->skip(true);
}

void BackendConnection::AcceptHead() {
  const auto& message = m_parser->get();
  HttpResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  const ResponseFault head_fault =
      FindHeadFault(head, {message.version(), message.reason()}, m_check);
  if (head_fault != ResponseFault::kNone) return Reject(head_fault);
  if (IsInterim(head.status)) {
    ++m_interim_responses;
    StartParser();  // The final response follows.
    return;
  }
  if (const auto length = m_parser->content_length()) head.content_length = *length;
  m_skipping_response = BelongsToOtherRequest(head, m_check);
  if (!m_skipping_response) {
    const ResponseFault mark_fault = FindMarkFault(head, m_check);
    if (mark_fault != ResponseFault::kNone) return Reject(mark_fault);
  }
  m_keep_alive_timeout = ParseKeepAliveTimeout(FindHeader(head.headers, "Keep-Alive"));
  const bool is_refusal =
      HasHeader(head.headers, m_check.not_run_field) || head.status == kMisdirectedStatus;
  if (!m_skipping_response && is_refusal && !m_check.id.empty()) m_refused_ids.insert(m_check.id);
  if (!m_skipping_response) m_part.head = std::move(head);
  m_head_parsed = true;
  m_state = State::kReading;
}

void BackendConnection::StartCloseDelimitedBody() {
  if (m_close_delimited_descriptor >= 0) return;
  m_close_delimited_descriptor = ::dup(static_cast<int>(m_socket.socketDescriptor()));
  if (m_close_delimited_descriptor < 0) return Fail(Reason::kBackendClosed);
  const QByteArray buffered = m_socket.readAll();
  m_socket.disconnect(this);
  m_socket.abort();  // Closes only the socket's own descriptor.
  m_close_delimited_notifier =
      std::make_unique<QSocketNotifier>(m_close_delimited_descriptor, QSocketNotifier::Read);
  connect(m_close_delimited_notifier.get(), &QSocketNotifier::activated, this,
          &BackendConnection::ReadCloseDelimitedBody);
  m_input.append(buffered.constData(), static_cast<std::size_t>(buffered.size()));
  if (!m_input.empty()) Parse();
}

void BackendConnection::ReadCloseDelimitedBody() {
  std::array<char, kCloseDelimitedReadBytes> data{};
  // Without credit, the bytes stay in the socket, so that the backend server has to wait.
  if (m_credit == 0) return m_close_delimited_notifier->setEnabled(false);
  const ssize_t count = ::recv(m_close_delimited_descriptor, data.data(),
                               std::min(data.size(), m_credit), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count < 0) return Fail(Reason::kBackendClosed);
  if (count > 0) {
    m_input.append(data.data(), static_cast<std::size_t>(count));
    Parse();
    if (m_state == State::kReading) EmitPart();
    return;
  }
  boost::system::error_code error;
  m_parser->put_eof(error);
  if (error || !m_parser->is_done() || m_skipping_response) return Fail(Reason::kBackendClosed);
  Finish();
  EmitPart();
}

void BackendConnection::EndCloseDelimitedBody() {
  if (m_close_delimited_descriptor < 0) return;
  m_close_delimited_notifier->setEnabled(false);
  m_close_delimited_notifier.release()->deleteLater();
  ::close(m_close_delimited_descriptor);
  m_close_delimited_descriptor = -1;
}

void BackendConnection::CollectBody() {
  if (!m_head_parsed) return;
  if (m_skipping_response) return m_parser->get().body().clear();
  m_part.data += m_parser->get().body();
  m_parser->get().body().clear();
}

void BackendConnection::EmitPart() {
  if (m_part.IsEmpty()) return;
  ResponsePart part = std::exchange(m_part, ResponsePart());
  m_credit -= std::min(m_credit, part.data.size());
  m_events.OnBackendResponsePart(m_id, std::move(part), m_reusable);
}

bool BackendConnection::MaySendForbiddenBody() const {
  if (m_parser->get().result() != http::status::no_content) return false;
  return m_parser->chunked() || m_parser->content_length().value_or(0) > 0;
}

void BackendConnection::Finish() {
  m_timer.stop();
  m_reusable = m_parser->keep_alive() && m_input.empty() && !MaySendForbiddenBody() &&
               m_refused_ids.size() < kMaxRefusedIds &&
               m_socket.state() == QAbstractSocket::ConnectedState;
  m_parser.reset();
  EndCloseDelimitedBody();
  m_state = m_reusable ? State::kIdle : State::kClosed;
  m_idle_since = MonotonicNow();
  m_part.last = true;
}

void BackendConnection::Reject(ResponseFault fault) {
  m_response_fault = fault;
  Fail(Reason::kBackendMalformed);
}

void BackendConnection::Fail(Reason reason) {
  if (m_state == State::kClosed) return;
  m_timer.stop();
  m_state = State::kClosed;
  m_part = ResponsePart();
  EndCloseDelimitedBody();
  m_socket.abort();
  m_events.OnBackendFailed(m_id, reason, m_written);
}

void BackendConnection::OnClosed() {
  if (m_state == State::kClosed) return;
  if (m_state == State::kIdle) {
    m_state = State::kClosed;
    m_events.OnBackendIdleClosed(m_id);
    return;
  }
  if (m_state == State::kReading) {
    // Read what arrived before the close regardless of credit: the socket buffer is limited and
    // receives nothing more.
    m_credit = std::max<std::size_t>(m_credit, kReadBufferBytes);
    ReadMore();
    if (m_state != State::kReading) return;
  }
  m_lacks_descriptor = m_socket.error() == QAbstractSocket::SocketResourceError;
  Fail(m_written ? Reason::kBackendClosed : Reason::kBackendUnreachable);
}

void BackendConnection::Abort() {
  m_timer.stop();
  m_state = State::kClosed;
  EndCloseDelimitedBody();
  m_socket.abort();
}

}  // namespace damaskhollow
