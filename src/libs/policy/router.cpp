#include "policy/router.h"

#include <algorithm>
#include <utility>

namespace damaskhollow {

Router::Router(std::string_view strategy, Place place, std::uint64_t seed)
    : m_strategy(strategy), m_place(std::move(place)), m_random(seed) {}

void Router::SetDeclaration(std::shared_ptr<const Declaration> declaration, TimePoint) {
  m_declaration = std::move(declaration);
}

void Router::SetEligible(const BackendServerId& server, bool eligible, TimePoint) {
  m_servers[server].eligible = eligible;
}

void Router::SetReachable(const BackendServerId& server, bool reachable, TimePoint) {
  m_servers[server].reachable = reachable;
}

void Router::NoteLoad(const BackendServerId& server, const ReportedLoad& load, TimePoint) {
  m_servers[server].load = load;
}

void Router::NoteSent(const BackendServerId&, CallId, TimePoint) {}

void Router::NoteEnded(const BackendServerId&, CallId, AttemptResult, TimePoint) {}

RoutingChoice Router::Choose(const RoutingRequest& request, TimePoint) {
  std::vector<const BackendServer*> usable;
  for (const BackendServer* server : m_declaration->ServersOf(request.service)) {
    const ServerState& state = m_servers[server->id];
    const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), server->id) !=
                          request.excluded.end();
    if (state.eligible && state.reachable && !state.load.draining && !excluded) {
      usable.push_back(server);
    }
  }
  if (usable.empty()) return RoutingChoice{Reason::kNoServer, {}};
  return RoutingChoice{Reason::kNone, usable[m_next++ % usable.size()]->id};
}

}  // namespace damaskhollow
