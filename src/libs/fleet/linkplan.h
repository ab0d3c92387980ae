#ifndef DAMASKHOLLOW_FLEET_LINKPLAN_H_
#define DAMASKHOLLOW_FLEET_LINKPLAN_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Maximum number of links that one node dials. A linked peer takes about 57 KB in both directions
// and a node without links 24 MB, so 128 links fit into 32 MB.
inline constexpr std::size_t kMaxLinks = 128;

// In fleets up to this number of nodes, every node dials all others.
inline constexpr std::size_t kAllLinksNodes = 50;

// The servers that a node may need links to.
struct LinkNeeds {
  std::vector<BackendServerId> inventory;    // All servers except this node's.
  std::vector<BackendServerId> control;      // Overlay neighbours and other readers.
  std::vector<BackendServerId> own_service;  // Queried about request ids; empty without those.
  std::map<ServiceId, std::vector<BackendServerId>> subsets;  // For each service in use.
};

// Returns the servers of a service that calls are routed to.
using SubsetFunction = std::function<std::vector<BackendServerId>(const ServiceId& service)>;

// Returns the needs of node `self`, which calls the services `used`, without its control links. If
// callers send request ids, any server of a service may be the home of such an id, so all servers
// of the service are appended to those that calls are routed to.
LinkNeeds LinkNeedsOf(const Declaration& declaration, const BackendServerId& self,
                      std::span<const ServiceId> used, const SubsetFunction& subset_of,
                      bool has_request_ids);

// Decides which links a node dials, depending on the services it calls: the links to a service's
// subset are opened on the first call to it and closed after 60 s without one. Not thread-safe.
class LinkPlan {
 public:
  // Records that a call to `service` was routed.
  void RecordUse(const ServiceId& service, TimePoint now);

  // Returns the services called in the last 60 s, most recent first.
  std::vector<ServiceId> UsedServices(TimePoint now) const;

  // Returns the servers to have links to at `now`. Fleets of up to kAllLinksNodes nodes get all
  // links. Larger ones get at most kMaxLinks: control links first, then those of the node's own
  // service, then those of the most recently called services.
  std::set<BackendServerId> Wanted(const LinkNeeds& needs, TimePoint now) const;

 private:
  std::map<ServiceId, TimePoint> m_last_use;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_LINKPLAN_H_
