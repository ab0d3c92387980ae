#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYCONTROL_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYCONTROL_H_

#include <map>
#include <memory>
#include <vector>

#include "support/faultproxy/proxypair.h"
#include "support/httpserver.h"

namespace damaskhollow::test {

// Owns all pairs of a proxy process and serves the HTTP interface that controls them. A pair
// consists of an address that the proxy listens on and the target that it forwards connections to.
// POST /control/set?pair=N&... sets the faults of pair N, counted from 0; without `pair`, or with
// `pair=all`, of all pairs. `group=G` assigns the pair to shared link G, and `flip=1` swaps the
// pair's directions on it. POST /control/group?group=G&bits_per_second=B limits the bandwidth of
// shared link G to B bits per second in each direction. GET /control/statistics returns a JSON
// array with the statistics of each pair.
class ProxyControl {
 public:
  ProxyControl();

  // Return false if the proxy cannot listen on `listen` or `control`, respectively.
  bool AddPair(const Endpoint& listen, const Endpoint& target);
  bool Listen(const Endpoint& control) { return m_server.Listen(control); }

 private:
  struct Group {
    SharedLink up;
    SharedLink down;
  };

  void HandleRequest(ConnectionId connection, const HttpRequest& request);
  bool SetFaults(const QueryOptions& options);
  void SetGroup(const QueryOptions& options);
  std::string StatisticsJson() const;

  HttpServer m_server;
  std::map<int, Group> m_groups;
  std::vector<std::unique_ptr<ProxyPair>> m_pairs;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYCONTROL_H_
