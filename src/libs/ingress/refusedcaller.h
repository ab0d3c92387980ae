#ifndef DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_
#define DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace damaskhollow {

// A connection that is accepted only to refuse its first request. Closes as soon as the whole
// request has been read and the response is sent. Otherwise it waits a short time for the request
// and for the caller to close, because closing a connection with unread bytes resets it, and the
// caller may then not see the response.
class RefusedCaller : public QObject {
 public:
  // Takes over a connected socket. Calls `ended` once from the event loop when its descriptor is
  // free again.
  RefusedCaller(qintptr descriptor, std::string response, std::function<void()> ended);

  // Responds if that is still due, and closes the connection. Does not call `ended`.
  ~RefusedCaller() override;

 private:
  void ReadMore();
  void Parse(std::string_view data);
  void Respond();
  void End();

  const std::string m_response;
  const std::function<void()> m_ended;
  QTcpSocket m_socket;
  QTimer m_timer;
  boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
  std::string m_input;
  std::size_t m_read_bytes = 0;
  bool m_has_whole_request = false;
  bool m_has_responded = false;
};

// Responds to a connected socket without waiting for its request, and closes it, so that its
// descriptor is free on return.
void RefuseAtOnce(int descriptor, std::string_view response);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_INGRESS_REFUSEDCALLER_H_
