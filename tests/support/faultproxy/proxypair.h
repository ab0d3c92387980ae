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

// Forwards the connections of one listening address to one target and injects faults.
class ProxyPair : public QObject {
 public:
  ProxyPair(Endpoint listen, Endpoint target);
  ~ProxyPair() override;

  // Returns false if the pair cannot listen on its address.
  bool Listen();

  // Sets the shared links for bytes to the target (`up`) and from it (`down`); null for none.
  void SetLinks(SharedLink* up, SharedLink* down);

  // Applies the options that are set: `delay_ms` delays bytes; `freeze` and `hold` (up, down, both
  // or none) stop reading or delivery in a direction; `silence` discards all bytes of existing
  // connections, and `blackhole` also those of new ones; `unresponsive` discards them and also
  // leaves existing connections without acknowledgements; `cut` closes all connections and refuses
  // new ones.
  void ApplyOptions(const QueryOptions& options);

  // Returns the bytes forwarded in each direction and the numbers of accepted and open connections.
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
  void MakeAllUnresponsive();

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
