#include "atmostonceworld.h"

#include <algorithm>
#include <utility>

namespace damaskhollow::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Time past the deadline until an ingress abandons an attempt, as in the ingress itself.
constexpr milliseconds kDeadlineGrace{200};
constexpr std::size_t kNodes = 4;
constexpr std::size_t kSteps = 3000;
constexpr std::size_t kMaxSends = 8;
constexpr std::size_t kRecentRequests = 12;

}  // namespace

AtMostOnceSimulation::AtMostOnceSimulation(std::uint64_t seed, InjectedFault injected_fault)
    : m_injected_fault(injected_fault), m_random(seed) {
  for (std::size_t index = 0; index < kNodes; ++index) {
    Node& node = m_nodes.emplace_back();
    node.id = BackendServerId("s" + std::to_string(index));
    node.clock_offset = milliseconds(m_random.Below(1000000));
    // Within 0.9 s of the true time, as the callers' clocks are, so that the difference of the two
    // stays within the allowance for clock error.
    node.wall_offset = milliseconds(m_random.Below(1800)) - milliseconds(900);
  }
  for (std::size_t index = 0; index < kNodes; ++index) Start(index, m_newest_version);
}

Violations AtMostOnceSimulation::Run() {
  for (std::size_t step = 0; step < kSteps; ++step) {
    m_now += milliseconds(m_random.Below(60));
    if (OneIn(200)) m_now += seconds(m_random.Below(240));
    ApplyRandomEvents();
    SendFromCallers();
    for (std::size_t index = 0; index < kNodes; ++index) {
      Node& node = m_nodes[index];
      if (node.paused_until > m_now) continue;
      if (OneIn(2)) Advance(index);
      while (!node.inbox.empty() && node.inbox.begin()->first <= m_now) {
        const Message message = node.inbox.begin()->second;
        node.inbox.erase(node.inbox.begin());
        Handle(index, message);
      }
      Advance(index);
    }
  }
  return m_violations;
}

WallTime AtMostOnceSimulation::WallTimeOf(const Node& node) const {
  const auto since_start =
      std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch() + node.wall_offset);
  return WallTime(seconds(1700000000)) + since_start;
}

std::vector<BackendServerId> AtMostOnceSimulation::Inventory(std::uint64_t version) const {
  std::vector<BackendServerId> members;
  for (const Node& node : m_nodes) {
    if (StableHash(std::to_string(version), node.id.Value()) % 4 != 0) members.push_back(node.id);
  }
  return members;
}

void AtMostOnceSimulation::Start(std::size_t index, std::uint64_t version) {
  Node& node = m_nodes[index];
  node.incarnation = Incarnation{m_next_incarnation++};
  node.clocks = OwnerClocks();
  node.attempts.clear();
  node.owned.clear();
  node.next_call = 1;
  const bool skips_restart_check = m_injected_fault == InjectedFault::kNoRestartCheck;
  const Incarnation guard_incarnation = skips_restart_check ? Incarnation{} : node.incarnation;
  node.guard = std::make_unique<SendGuard>(guard_incarnation);
  node.registry = std::make_unique<RequestRegistry>(
      node.id, skips_restart_check ? WallTime() : WallTimeOf(node));
  node.version = 0;
  ApplyVersion(index, version);
}

void AtMostOnceSimulation::ApplyVersion(std::size_t index, std::uint64_t version) {
  Node& node = m_nodes[index];
  if (version <= node.version) return;
  node.version = version;
  node.registry->SetInventory(Inventory(version), version, WallTimeOf(node));
}

bool AtMostOnceSimulation::RemovedServersAreUpToDate() const {
  const std::vector<BackendServerId> members = Inventory(m_newest_version);
  return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node& node) {
    return node.version == m_newest_version ||
           std::find(members.begin(), members.end(), node.id) != members.end();
  });
}

void AtMostOnceSimulation::Post(Message message) {
  // Some messages are lost, some are delayed, and some arrive twice, each copy after its own delay.
  const std::size_t copies = OneIn(7) ? 0 : OneIn(7) ? 2 : 1;
  // A connection ends with its process, so both copies can only reach the same incarnation.
  if (copies == 2) message.only_for = m_nodes[message.to].incarnation;
  for (std::size_t copy = 0; copy < copies; ++copy) {
    const milliseconds delay(OneIn(6) ? m_random.Below(8000) : m_random.Below(80));
    m_nodes[message.to].inbox.emplace(m_now + delay, message);
  }
}

void AtMostOnceSimulation::ApplyRandomEvents() {
  // Each configuration change reaches the nodes one by one. The at-most-once guarantee assumes that
  // the next change waits until the servers removed from the inventory have applied this one.
  if (OneIn(150) && RemovedServersAreUpToDate()) ++m_newest_version;
  for (std::size_t index = 0; index < kNodes; ++index) ApplyRandomNodeEvents(index);
}

void AtMostOnceSimulation::ApplyRandomNodeEvents(std::size_t index) {
  Node& node = m_nodes[index];
  if (OneIn(150)) node.paused_until = m_now + milliseconds(m_random.Below(6000));
  if (OneIn(300) && RemovedServersAreUpToDate()) {
    Start(index, OneIn(2) ? m_newest_version : node.version);
  }
  if (node.paused_until > m_now) return;
  if (OneIn(40)) ApplyVersion(index, m_newest_version);
  if (!OneIn(5)) return;
  Message recipient;
  recipient.from = m_random.Below(kNodes);
  Post(MakeReply(index, recipient, Kind::kHello));
}

void AtMostOnceSimulation::SendFromCallers() {
  if (OneIn(6)) {
    Request& request = m_requests.emplace_back();
    if (!OneIn(3)) {
      const milliseconds error = milliseconds(m_random.Below(1800)) - milliseconds(900);
      const auto created = WallTimeOf(Node{}).time_since_epoch() + error;
      request.id = std::to_string(created.count()) + "-" + std::to_string(m_requests.size());
    }
  }
  if (m_requests.empty() || !OneIn(2)) return;
  const std::size_t recent = std::min(m_requests.size(), kRecentRequests);
  const std::size_t index = m_requests.size() - 1 - m_random.Below(recent);
  Request& request = m_requests[index];
  if (request.sends >= kMaxSends || (request.id.empty() && !request.may_send)) return;
  const std::size_t ingress = m_random.Below(kNodes);
  if (m_nodes[ingress].paused_until > m_now) return;
  SendCall(ingress, index);
}

void AtMostOnceSimulation::SendCall(std::size_t ingress, std::size_t request_index) {
  Node& node = m_nodes[ingress];
  Request& request = m_requests[request_index];
  std::vector<BackendServerId> servers = Inventory(node.version);
  if (servers.empty()) return;
  if (!request.id.empty()) servers = HomeOrder(servers, request.id);
  const bool first = !request.id.empty() && !OneIn(3);
  const BackendServerId owner = servers[first ? 0 : m_random.Below(servers.size())];
  const milliseconds deadline(500 + m_random.Below(3000));
  const auto stamp = node.clocks.Stamp(owner, deadline, ClockOf(node));
  if (!stamp) return;
  const CallId id{node.next_call++};
  ++request.sends;
  request.may_send = false;
  Message call;
  call.kind = Kind::kCall;
  call.from = ingress;
  call.to = static_cast<std::size_t>(owner.Value()[1] - '0');
  call.key = {node.id, node.incarnation, id};
  call.stamp = *stamp;
  call.request = request_index;
  node.attempts[id] = {request_index, call.to, *stamp, m_now + deadline + kDeadlineGrace};
  Post(call);
}

AtMostOnceSimulation::Message AtMostOnceSimulation::MakeReply(std::size_t index,
                                                              const Message& original,
                                                              Kind kind) const {
  const Node& node = m_nodes[index];
  Message reply;
  reply.kind = kind;
  reply.from = index;
  reply.to = original.from;
  reply.key = original.key;
  reply.request = original.request;
  reply.query = original.query;
  reply.owner = node.incarnation;
  reply.clock_us = ToClockMicroseconds(ClockOf(node));
  reply.version = node.version;
  return reply;
}

void AtMostOnceSimulation::Handle(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  if (message.only_for.value != 0 && message.only_for != node.incarnation) return;
  if (message.owner.value != 0) {
    const BackendServerId& owner = m_nodes[message.from].id;
    node.clocks.RecordReading(owner, message.owner, message.clock_us, ClockOf(node));
    node.registry->RecordConfigurationVersion(owner, message.owner, message.version,
                                              WallTimeOf(node));
  }
  switch (message.kind) {
    case Kind::kHello:
      return;
    case Kind::kCall:
      return HandleCall(index, message);
    case Kind::kStatusQuery:
      return HandleStatusQuery(index, message);
    case Kind::kStatusResult:
      return HandleStatusResult(index, message);
    case Kind::kRefused:
      return HandleRefused(index, message);
    case Kind::kAnswered:
      if (message.key.incarnation == node.incarnation) node.attempts.erase(message.key.call);
      return;
    case Kind::kClaim: {
      const ReleaseReply release =
          node.registry->Release(m_requests[message.request].id, WallTimeOf(node));
      Message reply = MakeReply(index, message, Kind::kClaimReply);
      reply.released = release.released;
      reply.reason = release.reason;
      return Post(reply);
    }
    case Kind::kClaimReply:
      return HandleClaimReply(index, message);
  }
}

void AtMostOnceSimulation::HandleCall(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  if (node.owned.contains(message.key)) return;
  const bool no_restart_check = m_injected_fault == InjectedFault::kNoRestartCheck;
  const Incarnation owner = no_restart_check ? Incarnation{} : message.stamp.incarnation;
  const std::uint64_t now_us =
      m_injected_fault == InjectedFault::kNoExpiryCheck ? 0 : ToClockMicroseconds(ClockOf(node));
  const SendGuard empty_guard(no_restart_check ? Incarnation{} : node.incarnation);
  const SendGuard& guard =
      m_injected_fault == InjectedFault::kNoTombstoneCheck ? empty_guard : *node.guard;
  const SendDecision decision =
      guard.CheckArrival(message.key, owner, message.stamp.expires_at_us, now_us);
  if (decision.ignore) return;
  if (decision.refusal != Reason::kNone) {
    return Refuse(index, message.from, message.key, message.stamp.expires_at_us, decision.refusal);
  }
  OwnedEntry& entry = node.owned[message.key];
  entry.ingress = message.from;
  entry.request = message.request;
  entry.stamp = message.stamp;
  if (!m_requests[message.request].id.empty()) Claim(index, message, entry);
}

void AtMostOnceSimulation::Claim(std::size_t index, const Message& message, OwnedEntry& entry) {
  Node& node = m_nodes[index];
  const RequestDecision decision = node.registry->RegisterArrival(m_requests[message.request].id,
                                                                  "digest", {}, WallTimeOf(node));
  switch (decision.kind) {
    case RequestDecision::Kind::kAccept:
      return;
    case RequestDecision::Kind::kRefuse:
      ++m_violations.blocked_resends;
      node.owned.erase(message.key);
      return Refuse(index, message.from, message.key, message.stamp.expires_at_us, decision.reason);
    case RequestDecision::Kind::kReplay:
      ++m_violations.blocked_resends;
      node.guard->RecordEnded(message.key, entry.stamp.expires_at_us,
                              ToClockMicroseconds(ClockOf(node)));
      node.owned.erase(message.key);
      return Post(MakeReply(index, message, Kind::kAnswered));
    case RequestDecision::Kind::kQueryServers:
      break;
  }
  if (m_injected_fault == InjectedFault::kNoInventoryCheck) return;
  entry.pending_claims = {decision.servers_to_query.begin(), decision.servers_to_query.end()};
  entry.query = m_next_query++;
  for (const BackendServerId& server : decision.servers_to_query) {
    Message claim;
    claim.kind = Kind::kClaim;
    claim.from = index;
    claim.to = static_cast<std::size_t>(server.Value()[1] - '0');
    claim.request = message.request;
    claim.query = entry.query;
    Post(claim);
  }
}

void AtMostOnceSimulation::HandleClaimReply(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  const auto found = std::find_if(node.owned.begin(), node.owned.end(), [&](const auto& entry) {
    return !entry.second.pending_claims.empty() && entry.second.query == message.query;
  });
  if (found == node.owned.end()) return;
  if (!message.released) return RefuseNotRun(index, found->first, message.reason);
  found->second.pending_claims.erase(m_nodes[message.from].id);
}

void AtMostOnceSimulation::HandleStatusQuery(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  Message reply = MakeReply(index, message, Kind::kStatusResult);
  const auto found = node.owned.find(message.key);
  if (found != node.owned.end()) {
    reply.progress = found->second.running ? CallProgress::kRunning : CallProgress::kQueued;
  } else {
    switch (node.guard->ResolveState(message.key, message.stamp.expires_at_us,
                                     ToClockMicroseconds(ClockOf(node)))) {
      case InactiveCallState::kNeverSeen:
        reply.progress = CallProgress::kNeverSeen;
        break;
      case InactiveCallState::kNotRun:
        reply.progress = CallProgress::kCancelled;
        break;
      case InactiveCallState::kMayHaveRun:
        reply.progress = CallProgress::kDone;
        break;
    }
  }
  Post(reply);
}

void AtMostOnceSimulation::HandleStatusResult(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  const auto found = node.attempts.find(message.key.call);
  if (message.key.incarnation != node.incarnation || found == node.attempts.end()) return;
  const std::size_t request = found->second.request;
  switch (EvaluateStatus(found->second.stamp.incarnation, message.owner, message.progress, false)) {
    case AttemptVerdict::kWait:
      return;
    case AttemptVerdict::kNotRun:
      ReportNotRun(message.key, request);
      break;
    case AttemptVerdict::kUnknown:
    case AttemptVerdict::kUnknownOwnerRestarted:
      break;
  }
  node.attempts.erase(message.key.call);
}

void AtMostOnceSimulation::HandleRefused(std::size_t index, const Message& message) {
  Node& node = m_nodes[index];
  const auto found = node.attempts.find(message.key.call);
  if (message.key.incarnation != node.incarnation || found == node.attempts.end()) return;
  const std::size_t request = found->second.request;
  const bool is_late = found->second.abandoned_at <= m_now;
  node.attempts.erase(found);
  if (is_late) return;
  if (InfoOf(message.reason).outcome == Outcome::kNotRun) ReportNotRun(message.key, request);
}

void AtMostOnceSimulation::Refuse(std::size_t index, std::size_t ingress, const CallKey& key,
                                  std::uint64_t expires_at_us, Reason reason) {
  Node& node = m_nodes[index];
  node.guard->RecordRefused(key, expires_at_us, ToClockMicroseconds(ClockOf(node)));
  Message original;
  original.from = ingress;
  original.key = key;
  Message reply = MakeReply(index, original, Kind::kRefused);
  reply.reason = reason;
  Post(reply);
}

void AtMostOnceSimulation::RefuseNotRun(std::size_t index, const CallKey& key, Reason reason) {
  Node& node = m_nodes[index];
  // `key` may refer to the entry itself, so the extracted entry is kept until the function returns.
  const auto refused = node.owned.extract(key);
  const OwnedEntry& entry = refused.mapped();
  const std::string& id = m_requests[entry.request].id;
  if (!id.empty()) node.registry->RecordNotRun(id);
  Refuse(index, entry.ingress, refused.key(), entry.stamp.expires_at_us, reason);
}

void AtMostOnceSimulation::Advance(std::size_t index) {
  Node& node = m_nodes[index];
  std::vector<CallKey> keys;
  for (const auto& [key, entry] : node.owned) keys.push_back(key);
  for (const CallKey& key : keys) AdvanceOwned(index, key);
  QueryAttempts(index);
  if (!OneIn(4)) return;
  node.guard->Sweep(ToClockMicroseconds(ClockOf(node)));
  node.registry->Sweep({}, WallTimeOf(node));
}

void AtMostOnceSimulation::AdvanceOwned(std::size_t index, const CallKey& key) {
  Node& node = m_nodes[index];
  OwnedEntry& entry = node.owned.at(key);
  const std::uint64_t now_us = ToClockMicroseconds(ClockOf(node));
  const bool is_expired =
      entry.stamp.expires_at_us <= now_us && m_injected_fault != InjectedFault::kNoExpiryCheck;
  if (!entry.running) {
    if (is_expired) return RefuseNotRun(index, key, Reason::kQueueExpired);
    if (!entry.pending_claims.empty()) {
      if (OneIn(30)) RefuseNotRun(index, key, Reason::kHomeUnreachable);
      return;
    }
    if (OneIn(20)) return RefuseNotRun(index, key, Reason::kQueueFullCount);
    if (OneIn(3)) return;
    entry.running = true;
    entry.done_at = m_now + milliseconds(m_random.Below(1500));
    return RunRequest(key, entry.request);
  }
  if (entry.done_at > m_now) return;
  const std::string& id = m_requests[entry.request].id;
  const bool failed = OneIn(5);
  if (!id.empty() && failed) node.registry->RecordUnknownOutcome(id, Reason::kBackendClosed);
  if (!id.empty() && !failed) node.registry->RecordResponse(id, {});
  node.guard->RecordEnded(key, entry.stamp.expires_at_us, now_us);
  Message original;
  original.from = entry.ingress;
  original.key = key;
  node.owned.erase(key);
  Post(MakeReply(index, original, Kind::kAnswered));
}

void AtMostOnceSimulation::QueryAttempts(std::size_t index) {
  Node& node = m_nodes[index];
  std::erase_if(node.attempts,
                [&](const auto& entry) { return entry.second.abandoned_at <= m_now; });
  for (const auto& [id, attempt] : node.attempts) {
    if (!OneIn(15)) continue;
    Message query;
    query.kind = Kind::kStatusQuery;
    query.from = index;
    query.to = attempt.owner;
    query.key = {node.id, node.incarnation, id};
    query.stamp = attempt.stamp;
    Post(query);
  }
}

void AtMostOnceSimulation::RunRequest(const CallKey& key, std::size_t request) {
  ++m_violations.runs;
  if (++m_requests[request].runs > 1) ++m_violations.ran_twice;
  m_executed.insert(key);
  if (m_reported_not_run.contains(key)) ++m_violations.ran_when_not_run;
}

void AtMostOnceSimulation::ReportNotRun(const CallKey& key, std::size_t request) {
  ++m_violations.not_run_reports;
  m_reported_not_run.insert(key);
  if (m_executed.contains(key)) ++m_violations.ran_when_not_run;
  m_requests[request].may_send = true;
}

}  // namespace damaskhollow::test
