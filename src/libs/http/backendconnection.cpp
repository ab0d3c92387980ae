#include "http/backendconnection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

namespace damaskhollow {

namespace {

namespace http = boost::beast::http;

constexpr qint64 kReadBufferBytes = 64LL * 1024LL;
constexpr std::uint32_t kHeaderLimitBytes = 64 * 1024;

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
  connect(&m_socket, &QTcpSocket::connected, this, &BackendConnection::Connected);
  connect(&m_socket, &QTcpSocket::readyRead, this, &BackendConnection::ReadMore);
  connect(&m_socket, &QTcpSocket::disconnected, this, &BackendConnection::NoteClosed);
  connect(&m_socket, &QTcpSocket::errorOccurred, this, &BackendConnection::NoteClosed);
  connect(&m_timer, &QTimer::timeout, this, [this] { Fail(Reason::kBackendTimeout); });
}

BackendConnection::~BackendConnection() { m_socket.disconnect(this); }

void BackendConnection::Send(const HttpRequest& request, std::size_t credit,
                             std::chrono::milliseconds timeout) {
  m_output = SerializeRequest(request);
  m_method = request.method;
  m_credit = credit;
  m_head_parsed = false;
  m_written = false;
  StartParser();
  m_timer.start(std::max(timeout, std::chrono::milliseconds(1)));
  if (m_state == State::kIdle) return WriteRequest();
  m_state = State::kConnecting;
  m_socket.connectToHost(QString::fromStdString(m_server.address), m_server.port);
}

void BackendConnection::Connected() {
  m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
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
  if (m_state == State::kReading) ReadMore();
}

void BackendConnection::ReadMore() {
  if (m_state == State::kIdle) {
    // Nothing was asked, so the bytes belong to no request.
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
  while (!m_parser->is_done() && !m_input.empty() && !error) {
    const std::size_t used = m_parser->put(boost::asio::buffer(m_input), error);
    m_input.erase(0, used);
    if (!m_head_parsed && m_parser->is_header_done()) AcceptHead();
    CollectBody();
  }
  if (error && error != http::error::need_more) return Fail(Reason::kBackendMalformed);
  if (m_parser->is_done()) Finish();
}

void BackendConnection::StartParser() {
  m_parser.emplace();
  m_parser->header_limit(kHeaderLimitBytes);
  m_parser->body_limit(boost::none);
  m_parser->eager(true);
  if (m_method == "HEAD") m_parser->skip(true);
}

void BackendConnection::AcceptHead() {
  const auto& message = m_parser->get();
  if (message.result_int() >= 100 && message.result_int() < 200) {
    StartParser();  // An interim answer; the final one follows.
    return;
  }
  HttpResponseHead head;
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  if (const auto length = m_parser->content_length()) head.content_length = *length;
  m_part.head = std::move(head);
  m_head_parsed = true;
  m_state = State::kReading;
}

void BackendConnection::CollectBody() {
  if (!m_head_parsed) return;
  m_part.data += std::exchange(m_parser->get().body(), std::string());
}

void BackendConnection::EmitPart() {
  if (m_part.IsEmpty()) return;
  AnswerPart part = std::exchange(m_part, AnswerPart());
  m_credit -= std::min(m_credit, part.data.size());
  m_events.OnBackendPart(m_id, std::move(part), m_reusable);
}

void BackendConnection::Finish() {
  m_timer.stop();
  m_reusable = m_parser->keep_alive() && m_input.empty() &&
               m_socket.state() == QAbstractSocket::ConnectedState;
  m_parser.reset();
  m_state = m_reusable ? State::kIdle : State::kClosed;
  m_idle_since = MonotonicNow();
  m_part.last = true;
}

void BackendConnection::Fail(Reason reason) {
  if (m_state == State::kClosed) return;
  m_timer.stop();
  m_state = State::kClosed;
  m_socket.abort();
  m_events.OnBackendFailed(m_id, reason, m_written);
}

void BackendConnection::NoteClosed() {
  if (m_state == State::kClosed) return;
  if (m_state == State::kIdle) {
    m_state = State::kClosed;
    m_events.OnBackendIdleClosed(m_id);
    return;
  }
  if (m_state == State::kReading) {
    // Read what arrived before the close, without regard to credit: the socket buffer is small and
    // will not grow.
    m_credit = std::max<std::size_t>(m_credit, kReadBufferBytes);
    ReadMore();
    if (m_state != State::kReading) return;
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      Finish();
      return EmitPart();
    }
  }
  Fail(m_written ? Reason::kBackendClosed : Reason::kBackendUnreachable);
}

void BackendConnection::Abort() {
  m_timer.stop();
  m_state = State::kClosed;
  m_socket.abort();
}

}  // namespace damaskhollow
