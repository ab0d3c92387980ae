#include "http/listener.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace damaskhollow {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{100};
// Other events of the thread get their turn in between.
constexpr int kMaxAcceptsPerEvent = 64;
constexpr std::array kResourceErrors{EMFILE, ENFILE, ENOBUFS, ENOMEM};
// Errors of a connection that ended before it was accepted; see accept(2).
constexpr std::array kConnectionErrors{EINTR,     ECONNABORTED, EPROTO,      ENETDOWN,
                                       EHOSTDOWN, EHOSTUNREACH, ENETUNREACH, ENOPROTOOPT,
                                       ENONET,    ETIMEDOUT,    ECONNRESET};

}  // namespace

bool IsLackOfResources(int error) {
  return std::ranges::find(kResourceErrors, error) != kResourceErrors.end();
}

Listener::Listener() {
  m_retry_timer.setSingleShot(true);
  connect(&m_retry_timer, &QTimer::timeout, this, [this] {
    if (m_notifier) m_notifier->setEnabled(true);
  });
}

Result<void> Listener::Listen(const Endpoint& endpoint, int backlog) {
  setListenBacklogSize(backlog);
  if (!listen(QHostAddress(QString::fromStdString(endpoint.address)), endpoint.port)) {
    return Failure{FailureCode::kSocket, ToString(endpoint), errorString().toStdString()};
  }
  pauseAccepting();  // The notifier of this class takes the place of that of QTcpServer.
  m_notifier = std::make_unique<QSocketNotifier>(socketDescriptor(), QSocketNotifier::Read);
  connect(m_notifier.get(), &QSocketNotifier::activated, this, &Listener::AcceptAll);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Listener::StopListening() {
  m_retry_timer.stop();
  m_notifier.reset();
  // Closing resets the connections that the kernel has established and nobody has accepted.
  while (isListening()) {
    const int descriptor = AcceptOne();
    if (descriptor < 0) {
      OnLastAcceptFailed(errno);
      break;
    }
    incomingConnection(descriptor);
  }
  close();
}

int Listener::AcceptOne() {
  for (;;) {
    const int descriptor = ::accept4(static_cast<int>(socketDescriptor()), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
    const bool is_retried =
        descriptor < 0 && std::ranges::find(kConnectionErrors, errno) != kConnectionErrors.end();
    if (!is_retried) return descriptor;
  }
}

void Listener::AcceptAll() {
  for (int count = 0; count < kMaxAcceptsPerEvent && m_notifier; ++count) {
    const int descriptor = AcceptOne();
    const int error = errno;
    if (descriptor >= 0) {
      incomingConnection(descriptor);
      continue;
    }
    if (error == EAGAIN || error == EWOULDBLOCK) return;
    m_notifier->setEnabled(false);
    m_retry_timer.start(kRetryInterval);
    return OnAcceptFailed(error);
  }
}

void Listener::OnAcceptFailed(int) {}

void Listener::OnLastAcceptFailed(int) {}

}  // namespace damaskhollow
