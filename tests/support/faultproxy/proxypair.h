#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYPAIR_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYPAIR_H_

#include <QJsonObject>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <map>
#include <memory>

#include "base/endpoint.h"
#include "support/faultproxy/relay.h"
#include "support/queryoptions.h"

namespace damaskhollow::test {

// Forwards the connections of one listening address to one target, with faults.
class ProxyPair : public QObject {
 public:
  ProxyPair(Endpoint listen, Endpoint target);
  ~ProxyPair() override;

  // False if the address cannot be used.
  bool Listen();

  // Sets the links that the bytes to and from the target pass; null for none.
  void SetLinks(SharedLink* up, SharedLink* down);

  // Applies `delay_ms`, `freeze` and `hold` (up, down, both or none), `silence` (present
  // connections), `blackhole` (also new ones) and `cut` (refuse and close).
  void ApplyOptions(const QueryOptions& options);

  // Bytes passed on each way, connections accepted so far and open now.
  QJsonObject Statistics() const;

 private:
  struct Connection {
    std::unique_ptr<QTcpSocket> client;
    std::unique_ptr<QTcpSocket> server;
    std::unique_ptr<Relay> up;
    std::unique_ptr<Relay> down;
    bool silent = false;
  };

  void Accept();
  void OnClosed(int connection, bool by_client);
  void Remove(int connection);
  void SetCut(bool cut);
  void SilenceAll();

  const Endpoint m_listen;
  const Endpoint m_target;
  QTcpServer m_server;
  DirectionFaults m_up;
  DirectionFaults m_down;
  bool m_blackhole = false;
  int m_next_connection = 1;
  std::map<int, Connection> m_connections;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYPAIR_H_
