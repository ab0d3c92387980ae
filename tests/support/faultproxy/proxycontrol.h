#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYCONTROL_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FAULTPROXY_PROXYCONTROL_H_

#include <map>
#include <memory>
#include <vector>

#include "support/faultproxy/proxypair.h"
#include "support/httpserver.h"

namespace damaskhollow::test {

// All pairs of a proxy process and the control over them. POST /control/set?pair=N&... sets the
// faults of a pair, numbered from 0, or of all; `group=G` puts it on a shared link, `flip=1` swaps
// the directions there. POST /control/group?group=G&bits_per_second=N limits a shared link each
// way. GET /control/statistics answers a JSON array with the counts of each pair.
class ProxyControl {
 public:
  ProxyControl();

  // False if the address cannot be used.
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
