#ifndef DAMASKHOLLOW_HTTP_LISTENER_H_
#define DAMASKHOLLOW_HTTP_LISTENER_H_

#include <QSocketNotifier>
#include <QTcpServer>
#include <QTimer>
#include <memory>

#include "base/endpoint.h"
#include "base/result.h"

namespace damaskhollow {

// A TCP server that accepts connections itself. QTcpServer takes a lack of descriptors for a
// temporary error and polls the listening socket without a pause, while callers wait unanswered.
// This class pauses instead and tells its owner. Passes connections to incomingConnection().
class Listener : public QTcpServer {
 public:
  Listener();

  // Starts accepting connections, of which up to `backlog` wait in the kernel. Fails with kSocket.
  Result<void> Listen(const Endpoint& endpoint, int backlog);

  // Accepts the connections that wait, and closes the port.
  void StopListening();

 protected:
  // accept() failed with `error`, an errno. It is tried again after a short time.
  virtual void OnAcceptFailed(int error);

  // The last accept() before the port is closed failed with `error`; EAGAIN if no connection waits.
  virtual void OnLastAcceptFailed(int error);

  // Accepts one connection that waits and returns its descriptor; -1 and errno if there is none, or
  // on an error.
  int AcceptOne();

 private:
  void AcceptAll();

  std::unique_ptr<QSocketNotifier> m_notifier;
  QTimer m_retry_timer;
};

// Whether the errno tells that no descriptor or memory is left.
bool IsLackOfResources(int error);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_LISTENER_H_
