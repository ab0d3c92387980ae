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

// Links that one node dials at most. A linked peer costs about 57 KB in both directions, and a node
// without links 24 MB, which leaves room for 128 in 32 MB.
inline constexpr std::size_t kMaxLinks = 128;

// Fleets up to this size open all links.
inline constexpr std::size_t kAllLinksNodes = 50;

// What a node's links depend on.
struct LinkNeeds {
  std::vector<BackendServerId> inventory;    // Without this node.
  std::vector<BackendServerId> control;      // Overlay neighbours and other readers.
  std::vector<BackendServerId> own_service;  // Asked about request ids; empty without them.
  std::map<ServiceId, std::vector<BackendServerId>> subsets;  // Of the services in use.
};

// Names the servers of a service that calls are routed to.
using SubsetFunction = std::function<std::vector<BackendServerId>(const ServiceId& service)>;

// The needs of node `self`, which calls the services `used`, without its control links. Where
// callers send request ids, any server of a service may be the home of one, so all of them follow
// those that calls are routed to.
LinkNeeds LinkNeedsOf(const Declaration& declaration, const BackendServerId& self,
                      std::span<const ServiceId> used, const SubsetFunction& subset_of,
                      bool has_request_ids);

// Decides which links a node dials. Links follow what the node uses: a service's subset is opened
// on the first call to it and closed when there was none for 60 s.
class LinkPlan {
 public:
  // Notes that a call to `service` was routed.
  void RecordUse(const ServiceId& service, TimePoint now);

  // The services that were called in the last 60 s, the latest first.
  std::vector<ServiceId> UsedServices(TimePoint now) const;

  // The links to have now, at most kMaxLinks; control links first, then those of the own service,
  // then those of the services called last.
  std::set<BackendServerId> Wanted(const LinkNeeds& needs, TimePoint now) const;

 private:
  std::map<ServiceId, TimePoint> m_last_use;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_FLEET_LINKPLAN_H_
