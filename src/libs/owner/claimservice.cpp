#include "owner/claimservice.h"

#include <utility>

namespace damaskhollow {

namespace {

// Covers a round trip between regions plus the replacement of a silent link.
constexpr std::chrono::milliseconds kReleaseTimeout{1000};
constexpr std::chrono::seconds kSweepInterval{1};

}  // namespace

ClaimService::ClaimService(BackendServerId self, WallTime started, Messenger& messenger)
    : m_messenger(messenger), m_registry(std::move(self), started, m_limits) {}

void ClaimService::SetInventory(const Declaration& declaration, const ServiceId& service,
                                std::uint64_t version, WallTime wall) {
  std::vector<BackendServerId> members;
  for (const BackendServer* server : declaration.ServersOf(service)) members.push_back(server->id);
  m_registry.SetInventory(members, version, wall);
}

void ClaimService::RecordPeerState(const BackendServerId& peer, const wire::OwnerState& state,
                                   WallTime wall) {
  m_registry.RecordConfigurationVersion(peer, Incarnation{state.incarnation()},
                                        state.configuration_version(), wall);
}

RequestDecision ClaimService::Start(OwnedCallId call, const std::string& request_id,
                                    std::string_view digest, TimePoint now, WallTime wall) {
  RequestDecision decision = m_registry.RegisterArrival(request_id, digest, m_absent_since, wall);
  if (decision.kind == RequestDecision::Kind::kRefuse ||
      decision.kind == RequestDecision::Kind::kReplay) {
    return decision;
  }
  Claim& claim = m_claims[call];
  claim.request_id = request_id;
  claim.is_accepted = decision.kind == RequestDecision::Kind::kAccept;
  if (claim.is_accepted) return decision;
  claim.query = m_next_query++;
  claim.awaited_peers = {decision.servers_to_query.begin(), decision.servers_to_query.end()};
  claim.timeout_at = now + kReleaseTimeout;
  m_queries[claim.query] = call;
  for (const BackendServerId& server : decision.servers_to_query) {
    wire::Envelope message;
    message.mutable_claim_release()->set_query_id(claim.query);
    message.mutable_claim_release()->set_request_id(request_id);
    m_messenger.Send(server, std::move(message));
  }
  return decision;
}

void ClaimService::HandleRelease(const ReplyRoute& route, const wire::ClaimRelease& release,
                                 const wire::OwnerState& state, WallTime wall) {
  const ReleaseReply answer = m_registry.Release(release.request_id(), wall);
  wire::Envelope message;
  wire::ClaimReleased& released = *message.mutable_claim_released();
  released.set_query_id(release.query_id());
  released.set_released(answer.released);
  released.set_reason(static_cast<std::uint32_t>(answer.reason));
  *released.mutable_state() = state;
  m_messenger.Reply(route, std::move(message));
}

std::vector<ClaimResult> ClaimService::HandleReleased(const BackendServerId& peer,
                                                      const wire::ClaimReleased& released,
                                                      WallTime wall) {
  RecordPeerState(peer, released.state(), wall);
  const auto query = m_queries.find(released.query_id());
  if (query == m_queries.end()) return {};
  if (!released.released()) {
    const auto reason = released.reason() < static_cast<std::uint32_t>(Reason::kCount)
                            ? static_cast<Reason>(released.reason())
                            : Reason::kAlreadyRunning;
    return {ResolveQuery(query, reason)};
  }
  Claim& claim = m_claims.at(query->second);
  claim.awaited_peers.erase(peer);
  if (!claim.awaited_peers.empty()) return {};
  return {ResolveQuery(query, Reason::kNone)};
}

std::vector<ClaimResult> ClaimService::HandleSendFailed(const wire::ClaimRelease& release) {
  const auto query = m_queries.find(release.query_id());
  if (query == m_queries.end()) return {};
  return {ResolveQuery(query, Reason::kHomeUnreachable)};
}

ClaimResult ClaimService::ResolveQuery(std::map<std::uint64_t, OwnedCallId>::iterator query,
                                       Reason refusal) {
  const OwnedCallId call = query->second;
  m_queries.erase(query);
  m_claims.at(call).query = 0;
  m_claims.at(call).is_accepted = refusal == Reason::kNone;
  return {call, refusal};
}

std::vector<ClaimResult> ClaimService::Tick(TimePoint now, WallTime wall) {
  std::vector<ClaimResult> results;
  // Query ids ascend in the order in which the queries time out.
  while (!m_queries.empty() && m_claims.at(m_queries.begin()->second).timeout_at <= now) {
    results.push_back(ResolveQuery(m_queries.begin(), Reason::kHomeUnreachable));
  }
  if (now >= m_next_sweep) {
    m_next_sweep = now + kSweepInterval;
    m_registry.Sweep(m_absent_since, wall);
  }
  return results;
}

bool ClaimService::IsAccepted(OwnedCallId call) const {
  const auto found = m_claims.find(call);
  return found != m_claims.end() && found->second.is_accepted;
}

void ClaimService::RecordChunk(OwnedCallId call, const wire::ResponseChunk& chunk) {
  const auto found = m_claims.find(call);
  if (found == m_claims.end()) return;
  StoredResponse& answer = found->second.answer;
  if (chunk.has_head()) answer.head = chunk.head().SerializeAsString();
  // One byte over the limit is enough to mark the response as too large to store.
  if (answer.Bytes() > m_limits.response_bytes) return;
  answer.body.append(chunk.data(), 0, m_limits.response_bytes + 1);
}

void ClaimService::RecordOutcome(OwnedCallId call, ClaimOutcome outcome, Reason reason) {
  const auto found = m_claims.find(call);
  if (found == m_claims.end()) return;
  Claim claim = std::move(found->second);
  m_claims.erase(found);
  m_queries.erase(claim.query);
  switch (outcome) {
    case ClaimOutcome::kNotRun:
      return m_registry.RecordNotRun(claim.request_id);
    case ClaimOutcome::kRan:
      return m_registry.RecordResponse(claim.request_id, std::move(claim.answer));
    case ClaimOutcome::kMayHaveRun:
      return m_registry.RecordUnknownOutcome(claim.request_id, reason);
  }
}

}  // namespace damaskhollow
