#ifndef DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_
#define DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_

#include <QTcpSocket>
#include <QTimer>
#include <cstddef>
#include <functional>
#include <string>

namespace damaskhollow {

// A connection that is accepted only to refuse its first request. Waits a short time for the head
// of the request and for the caller to close, because closing a connection with unread bytes resets
// it, and the caller may then not see the response. Deletes itself.
class RefusedCaller : public QObject {
 public:
  // Takes over a connected socket. Calls `ended` when its descriptor is free again, unless `parent`
  // deletes this object before.
  RefusedCaller(qintptr descriptor, std::string response, std::function<void()> ended,
                QObject* parent);

 private:
  void ReadMore();
  void Respond();
  void End();

  const std::string m_response;
  const std::function<void()> m_ended;
  QTcpSocket m_socket;
  QTimer m_timer;
  std::string m_head;
  std::size_t m_read_bytes = 0;
  bool m_has_responded = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_
