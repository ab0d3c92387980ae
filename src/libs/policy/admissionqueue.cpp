#include "policy/admissionqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "policy/prioritylanes.h"

namespace damaskhollow {

namespace {

constexpr int kServiceTimeSmoothing = 8;
// Shares of slot time are measured over this window, with exponential decay.
constexpr double kShareWindowUs = 1e6;
// Assumed service time until a call has completed.
constexpr Duration kUnknownServiceTime{1000};
// A priority's service time counts as stale if no call of the priority has completed for this long.
// Otherwise a value too long for any call to be admitted would never be corrected.
constexpr std::chrono::milliseconds kServiceTimeMaxAge{1000};
// The limit is decreased at most once per congestion event, by a factor common in TCP congestion
// control.
constexpr double kDecreaseFactor = 0.7;

// Minimum assumed share, which keeps the expected wait finite when other priorities use all slots.
constexpr double kMinShare = 0.01;

// A call is not started if less than this fraction of its expected run time is left before its
// deadline.
constexpr double kMinStartFraction = 0.7;

// Keeps times finite with a very low rate.
constexpr double kMaxStartDelaySeconds = 86400.0;

constexpr std::size_t kNoLane = std::numeric_limits<std::size_t>::max();

// Time that must be left before the deadline to start a call with this expected run time.
Duration MinTimeToStart(Duration run) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(run.count()) * kMinStartFraction));
}

// Returns the part of a limit that a lane's guaranteed share still reserves when the lane uses
// `used`.
std::size_t UnusedReserve(double guaranteed_share, std::size_t cap, std::size_t used) {
  const auto reserve = static_cast<std::size_t>(guaranteed_share * static_cast<double>(cap));
  return reserve > used ? reserve - used : 0;
}

}  // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits& limits,
                               std::span<const Priority> priorities) {
  m_priorities.resize(1);
  m_lane_of.resize(1);
  m_lanes.resize(1);
  Reconfigure(limits, priorities);
}

void AdmissionQueue::Reconfigure(const AdmissionLimits& limits,
                                 std::span<const Priority> priorities) {
  const bool was_full_limit = m_limit >= static_cast<double>(m_limits.slots);
  m_limits = limits;
  m_limits.slots = std::max<std::size_t>(1, limits.slots);
  const auto slots = static_cast<double>(m_limits.slots);
  m_limit = was_full_limit ? slots : std::min(m_limit, slots);

  const std::vector<Priority> old_priorities = std::exchange(m_priorities, {});
  m_priorities.assign(priorities.begin(), priorities.end());
  if (m_priorities.empty()) m_priorities.resize(1);
  m_priority_indices.clear();
  for (std::size_t index = 0; index < m_priorities.size(); ++index) {
    m_priority_indices.emplace(m_priorities[index].id, index);
  }
  m_lane_of = AssignLanes(m_priorities);
  std::vector<Lane> lanes(m_lane_of.back() + 1);
  for (std::size_t index = 0; index < m_priorities.size(); ++index) {
    Lane& lane = lanes[m_lane_of[index]];
    if (lane.priorities.empty()) lane.group = m_priorities[index].group;
    lane.priorities.push_back(index);
    lane.guaranteed_share += m_priorities[index].guaranteed_share;
  }

  std::vector<std::size_t> new_index;
  new_index.reserve(old_priorities.size());
  for (const Priority& old : old_priorities) new_index.push_back(PriorityIndexOf(old.id));
  for (auto& [id, running] : m_running) running.priority_index = new_index[running.priority_index];
  for (Lane& old : m_lanes) {
    MoveStatistics(old, new_index, lanes);
    MoveCalls(old.queue, new_index, lanes, &Lane::queue);
    MoveCalls(old.late, new_index, lanes, &Lane::late);
  }
  for (const auto& [id, running] : m_running) ++lanes[m_lane_of[running.priority_index]].running;
  m_lanes = std::move(lanes);
}

void AdmissionQueue::MoveStatistics(const Lane& old, std::span<const std::size_t> new_index,
                                    std::vector<Lane>& lanes) const {
  const std::size_t first = old.priorities.empty() ? 0 : old.priorities.front();
  Lane& lane = lanes[m_lane_of[new_index[first]]];
  lane.served += old.served;
  lane.service_time = std::max(lane.service_time, old.service_time);
  lane.completed_at = std::max(lane.completed_at, old.completed_at);
}

void AdmissionQueue::MoveCalls(std::list<AdmissionCall>& calls,
                               std::span<const std::size_t> new_index, std::vector<Lane>& lanes,
                               std::list<AdmissionCall> Lane::*target) {
  while (!calls.empty()) {
    AdmissionCall& call = calls.front();
    call.priority_index = new_index[call.priority_index];
    const std::size_t index = m_lane_of[call.priority_index];
    Lane& lane = lanes[index];
    m_queued.at(call.id).lane = index;
    lane.queued_bytes += call.bytes;
    // Splicing keeps the iterators in m_queued valid.
    std::list<AdmissionCall>& queue = lane.*target;
    queue.splice(queue.end(), calls, calls.begin());
  }
}

std::size_t AdmissionQueue::PriorityIndexOf(const PriorityId& priority) const {
  const auto found = m_priority_indices.find(priority);
  return found == m_priority_indices.end() ? m_priorities.size() - 1 : found->second;
}

std::size_t AdmissionQueue::LaneOf(std::size_t priority_index) const {
  return m_lane_of[std::min(priority_index, m_lane_of.size() - 1)];
}

Duration AdmissionQueue::ServiceTimeOf(const Lane& lane) const {
  if (lane.service_time.count() == 0) return m_service_time;
  const bool is_stale = m_accrued_until - lane.completed_at > kServiceTimeMaxAge;
  return is_stale ? std::min(lane.service_time, m_service_time) : lane.service_time;
}

double AdmissionQueue::GuaranteedShareOfLessUrgent(std::size_t lane) const {
  double share = 0.0;
  for (std::size_t index = lane + 1; index < m_lanes.size(); ++index) {
    if (!m_lanes[index].queue.empty()) share += m_lanes[index].guaranteed_share;
  }
  return share;
}

double AdmissionQueue::ExpectedShare(std::size_t lane) const {
  // Assumes that more urgent work arrives at the same rate as in the last window.
  const double capacity = static_cast<double>(Limit()) * kShareWindowUs;
  double share = 1.0 - GuaranteedShareOfLessUrgent(lane);
  for (std::size_t index = 0; index < lane; ++index) share -= m_lanes[index].served / capacity;
  return std::max({share, m_lanes[lane].guaranteed_share, kMinShare});
}

Duration AdmissionQueue::StartDelay(std::size_t ahead) const {
  if (!m_start_limit) return Duration(0);
  const double lacking = static_cast<double>(ahead + 1) - m_start_limit->available;
  if (lacking <= 0.0) return Duration(0);
  const double seconds = std::min(lacking / m_start_limit->per_second, kMaxStartDelaySeconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration AdmissionQueue::ExpectedWait(std::size_t lane) const {
  if (CanStart() && m_queued.empty()) return Duration(0);
  const auto limit = static_cast<double>(Limit());
  const Lane& own = m_lanes[lane];
  const auto own_time = static_cast<double>(ServiceTimeOf(own).count());
  const double own_work = static_cast<double>(own.queue.size() + 1) * own_time;
  double work = own_work;  // Slot time, in microseconds.
  std::size_t calls_ahead = own.queue.size();
  for (std::size_t index = 0; index < lane; ++index) {
    const Lane& ahead = m_lanes[index];
    const bool late_is_ahead = ahead.group < own.group;
    const std::size_t count = ahead.queue.size() + (late_is_ahead ? ahead.late.size() : 0);
    calls_ahead += count;
    work += static_cast<double>(count) * static_cast<double>(ServiceTimeOf(ahead).count());
  }
  const double available = std::max(1.0 - GuaranteedShareOfLessUrgent(lane), kMinShare);
  const double by_order = work / (limit * available);
  const double by_share = own_work / (limit * ExpectedShare(lane));
  double wait = std::max(by_order, by_share);
  // More urgent work does not delay calls within the guaranteed share.
  const double guaranteed = own.guaranteed_share;
  if (guaranteed > 0.0) wait = std::min(wait, own_work / (limit * guaranteed));
  return std::max(Duration(static_cast<Duration::rep>(wait)), StartDelay(calls_ahead));
}

Duration AdmissionQueue::ExpectedLateWait(std::size_t lane) const {
  const std::size_t group = m_lanes[lane].group;
  double work = static_cast<double>(ServiceTimeOf(m_lanes[lane]).count());
  std::size_t calls_ahead = 0;
  for (const Lane& other : m_lanes) {
    if (other.group > group) break;
    calls_ahead += other.Count();
    work += static_cast<double>(other.Count()) * static_cast<double>(ServiceTimeOf(other).count());
  }
  const Duration wait(static_cast<Duration::rep>(work / static_cast<double>(Limit())));
  return std::max(wait, StartDelay(calls_ahead));
}

bool AdmissionQueue::IsInTime(const AdmissionCall& call, std::size_t lane, TimePoint now) const {
  if (call.target == TimePoint::max()) return true;
  return now + ExpectedWait(lane) + ServiceTimeOf(m_lanes[lane]) <= call.target;
}

// Moves calls that can no longer meet their target behind the others, and expires late calls that
// would reach their deadline while they run.
void AdmissionQueue::DemoteLateCalls(TimePoint now) {
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    Lane& lane = m_lanes[index];
    const Duration run = ServiceTimeOf(lane);
    for (auto call = lane.queue.begin(); call != lane.queue.end();) {
      const auto next = std::next(call);
      const bool is_late = call->target != TimePoint::max() && now + run > call->target;
      // In a lane of one priority, the oldest call has the earliest target.
      if (!is_late && !lane.IsShared()) break;
      if (is_late) {
        m_queued.at(call->id).late = true;
        lane.late.splice(lane.late.end(), lane.queue, call);
      }
      call = next;
    }
    while (!lane.late.empty() && now + MinTimeToStart(run) > lane.late.front().deadline) {
      const OwnedCallId id = lane.late.front().id;
      m_expired.push_back(id);
      Remove(id);
    }
  }
}

bool AdmissionQueue::MeetsTimeLimits(const AdmissionCall& call, std::size_t lane,
                                     TimePoint now) const {
  if (call.target != TimePoint::max()) {
    if (IsInTime(call, lane, now)) return true;
    return now + ExpectedLateWait(lane) + ServiceTimeOf(m_lanes[lane]) <= call.deadline;
  }
  const Duration wait = ExpectedWait(lane);
  if (wait.count() == 0) return true;
  const Duration bound = m_priorities[call.priority_index].queue_bound;
  if (bound.count() > 0 && wait > bound) return false;
  // A queued call also needs its run time on the backend server before its deadline.
  return wait + ServiceTimeOf(m_lanes[lane]) <= call.deadline - now;
}

Reason AdmissionQueue::CheckRoom(std::size_t lane, std::size_t bytes) const {
  std::size_t count = m_queued.size() + 1;
  std::size_t total_bytes = m_queued_bytes + bytes;
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    if (index == lane) continue;
    const Lane& other = m_lanes[index];
    const double share = other.guaranteed_share;
    count += UnusedReserve(share, m_limits.queue_count, other.Count());
    total_bytes += UnusedReserve(share, m_limits.queue_bytes, other.queued_bytes);
  }
  if (count > m_limits.queue_count) return Reason::kQueueFullCount;
  if (total_bytes > m_limits.queue_bytes) return Reason::kQueueFullBytes;
  return Reason::kNone;
}

bool AdmissionQueue::MakeRoom(std::size_t lane, std::size_t bytes, Admission& admission) {
  if (bytes > m_limits.queue_bytes) {
    admission.refusal = Reason::kQueueFullBytes;
    return false;
  }
  std::vector<std::pair<std::size_t, AdmissionCall>> victims;  // With lane index, newest first.
  Reason reason = CheckRoom(lane, bytes);
  for (std::size_t index = m_lanes.size(); reason != Reason::kNone && index-- > lane + 1;) {
    // Calls within a guaranteed share are not evicted; otherwise a flood of urgent work would make
    // the guarantee ineffective.
    Lane& victim = m_lanes[index];
    while (reason != Reason::kNone && victim.Count() > 0) {
      const AdmissionCall& newest = victim.late.empty() ? victim.queue.back() : victim.late.back();
      const double share = victim.guaranteed_share;
      const bool frees_room =
          UnusedReserve(share, m_limits.queue_count, victim.Count() - 1) == 0 ||
          UnusedReserve(share, m_limits.queue_bytes, victim.queued_bytes - newest.bytes) == 0;
      if (!frees_room) break;
      admission.eviction_reason = reason;
      victims.emplace_back(index, newest);
      Remove(victims.back().second.id);
      reason = CheckRoom(lane, bytes);
    }
  }
  if (reason == Reason::kNone) {
    for (const auto& [index, call] : victims) admission.evicted.push_back(call.id);
    return true;
  }
  // Eviction did not free enough room, so it is undone, oldest call first.
  for (auto victim = victims.rbegin(); victim != victims.rend(); ++victim) {
    Enqueue(victim->second, victim->first, false);
  }
  admission.eviction_reason = Reason::kNone;
  admission.refusal = reason;
  return false;
}

AdmissionCall AdmissionQueue::WithKnownPriority(const AdmissionCall& call) const {
  AdmissionCall known = call;
  known.priority_index = std::min(call.priority_index, m_priorities.size() - 1);
  return known;
}

Admission AdmissionQueue::Offer(const AdmissionCall& offered, TimePoint now) {
  Admission admission;
  const AdmissionCall call = WithKnownPriority(offered);
  if (call.deadline <= now) {
    admission.refusal = Reason::kExpired;
    return admission;
  }
  CollectExpired(now);
  Accrue(now);
  const std::size_t lane = LaneOf(call.priority_index);
  const bool runs_immediately = CanStart() && m_queued.empty();
  if (!runs_immediately) {
    if (!MeetsTimeLimits(call, lane, now)) {
      admission.refusal = Reason::kQueueFullTime;
      return admission;
    }
    if (!MakeRoom(lane, call.bytes, admission)) return admission;
  }
  Enqueue(call, lane, !runs_immediately && !IsInTime(call, lane, now));
  return admission;
}

bool AdmissionQueue::WouldRefuse(const AdmissionCall& offered, TimePoint now) const {
  const AdmissionCall call = WithKnownPriority(offered);
  const bool runs_immediately = CanStart() && m_queued.empty();
  const std::size_t lane = LaneOf(call.priority_index);
  return !runs_immediately && !MeetsTimeLimits(call, lane, now);
}

void AdmissionQueue::Enqueue(const AdmissionCall& call, std::size_t lane, bool late) {
  Lane& target = m_lanes[lane];
  std::list<AdmissionCall>& queue = late ? target.late : target.queue;
  queue.push_back(call);
  target.queued_bytes += call.bytes;
  m_queued_bytes += call.bytes;
  m_queued[call.id] = Queued{lane, late, std::prev(queue.end())};
  m_deadlines.emplace(call.deadline, call.id);
}

void AdmissionQueue::Remove(OwnedCallId id) {
  const auto found = m_queued.find(id);
  Lane& lane = m_lanes[found->second.lane];
  const auto position = found->second.position;
  lane.queued_bytes -= position->bytes;
  m_queued_bytes -= position->bytes;
  m_deadlines.erase({position->deadline, id});
  (found->second.late ? lane.late : lane.queue).erase(position);
  m_queued.erase(found);
}

double AdmissionQueue::ProjectedSlotTime(const Lane& lane) const {
  // Running calls count with their expected run time. Without it, all slots that become free at one
  // instant would go to the same priority.
  const Duration expected = std::max(ServiceTimeOf(lane), kUnknownServiceTime);
  return lane.served + static_cast<double>(lane.running) * static_cast<double>(expected.count());
}

std::size_t AdmissionQueue::NextLane(const IsHeld& is_held) const {
  double total = 0.0;
  for (const Lane& lane : m_lanes) total += ProjectedSlotTime(lane);
  std::size_t most_underserved = kNoLane;
  double least_ratio = 1.0;
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    const Lane& lane = m_lanes[index];
    if (lane.queue.empty() || IsFrontHeld(lane, is_held)) continue;
    if (lane.guaranteed_share <= 0.0) continue;
    const double share = total > 0.0 ? ProjectedSlotTime(lane) / total : 0.0;
    const double ratio = share / lane.guaranteed_share;
    if (ratio >= least_ratio) continue;
    least_ratio = ratio;
    most_underserved = index;
  }
  return most_underserved != kNoLane ? most_underserved : NextLaneByUrgency(is_held);
}

// Selects the most urgent group that has queued calls; within it, calls that can meet their target
// come first.
std::size_t AdmissionQueue::NextLaneByUrgency(const IsHeld& is_held) const {
  std::size_t first_late = kNoLane;
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    const Lane& lane = m_lanes[index];
    const bool is_next_group = first_late != kNoLane && m_lanes[first_late].group != lane.group;
    if (is_next_group) break;
    if (lane.Count() == 0 || IsFrontHeld(lane, is_held)) continue;
    if (!lane.queue.empty()) return index;
    if (first_late == kNoLane) first_late = index;
  }
  return first_late;
}

std::vector<OwnedCallId> AdmissionQueue::PopDispatchable(TimePoint now, const IsHeld& is_held) {
  CollectExpired(now);
  Accrue(now);
  DemoteLateCalls(now);
  std::vector<OwnedCallId> dispatchable;
  while (CanStart() && !m_queued.empty()) {
    const std::size_t index = NextLane(is_held);
    if (index == kNoLane) break;
    const Lane& lane = m_lanes[index];
    const AdmissionCall call = lane.Front();
    const OwnedCallId id = call.id;
    Remove(id);
    ++m_lanes[index].running;
    m_running[id] = Running{now, call.priority_index};
    if (m_start_limit) m_start_limit->available -= 1.0;
    dispatchable.push_back(id);
  }
  return dispatchable;
}

void AdmissionQueue::CollectExpired(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const OwnedCallId id = m_deadlines.begin()->second;
    m_expired.push_back(id);
    Remove(id);
  }
}

std::vector<OwnedCallId> AdmissionQueue::PopExpired(TimePoint now) {
  CollectExpired(now);
  return std::exchange(m_expired, {});
}

template <class Visit>
void AdmissionQueue::VisitAheadOfLate(std::size_t lane, Visit visit) const {
  const std::size_t group = m_lanes[lane].group;
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    const Lane& other = m_lanes[index];
    if (other.group > group) break;
    const bool counts_late = other.group < group || index < lane;
    visit(other, other.queue.size() + (counts_late ? other.late.size() : 0));
  }
}

double AdmissionQueue::WorkAheadOfLate(std::size_t lane) const {
  double work = 0.0;
  VisitAheadOfLate(lane, [&](const Lane& other, std::size_t count) {
    work += static_cast<double>(count) * static_cast<double>(ServiceTimeOf(other).count());
  });
  return work;
}

std::size_t AdmissionQueue::CallsAheadOfLate(std::size_t lane) const {
  std::size_t calls = 0;
  VisitAheadOfLate(lane, [&](const Lane&, std::size_t count) { calls += count; });
  return calls;
}

std::vector<OwnedCallId> AdmissionQueue::PopUnservable(TimePoint now) {
  std::vector<OwnedCallId> unservable;
  const auto limit = static_cast<double>(Limit());
  for (std::size_t index = 0; index < m_lanes.size(); ++index) {
    const Lane& lane = m_lanes[index];
    const Duration run = ServiceTimeOf(lane);
    double work = WorkAheadOfLate(index);
    std::size_t calls_ahead = CallsAheadOfLate(index);
    std::vector<OwnedCallId> unservable_in_lane;
    for (const AdmissionCall& call : lane.late) {
      const Duration wait =
          std::max(Duration(static_cast<Duration::rep>(work / limit)), StartDelay(calls_ahead));
      if (now + wait + MinTimeToStart(run) > call.deadline) {
        unservable_in_lane.push_back(call.id);
      } else {
        work += static_cast<double>(run.count());
        ++calls_ahead;
      }
    }
    for (const OwnedCallId id : unservable_in_lane) Remove(id);
    unservable.insert(unservable.end(), unservable_in_lane.begin(), unservable_in_lane.end());
  }
  return unservable;
}

bool AdmissionQueue::Cancel(OwnedCallId id) {
  if (!m_queued.contains(id)) return std::erase(m_expired, id) > 0;
  Remove(id);
  return true;
}

void AdmissionQueue::Accrue(TimePoint now) {
  if (now <= m_accrued_until) return;
  const auto elapsed = static_cast<double>((now - m_accrued_until).count());
  m_accrued_until = now;
  const double kept = std::exp(-elapsed / kShareWindowUs);
  for (Lane& lane : m_lanes) {
    lane.served =
        lane.served * kept + static_cast<double>(lane.running) * kShareWindowUs * (1.0 - kept);
  }
}

void AdmissionQueue::UpdateServiceTime(Lane& lane, Duration time) {
  const auto smooth = [time](Duration& average) {
    average = average.count() == 0 ? time : average + (time - average) / kServiceTimeSmoothing;
  };
  smooth(lane.service_time);
  smooth(m_service_time);
}

void AdmissionQueue::AdaptLimit(SlotResult result, TimePoint dispatched, TimePoint now) {
  const auto slots = static_cast<double>(m_limits.slots);
  if (result == SlotResult::kShed) {
    // Calls dispatched before the last decrease do not show whether it was sufficient.
    if (dispatched < m_last_decrease) return;
    m_limit = std::max(1.0, m_limit * kDecreaseFactor);
    m_last_decrease = now;
    return;
  }
  // Success below the limit does not show that the limit could be higher.
  const bool was_used = m_running.size() >= Limit();
  if (result == SlotResult::kCompleted && was_used) {
    m_limit = std::min(slots, m_limit + 1.0 / m_limit);
  }
}

void AdmissionQueue::OnCallFinished(OwnedCallId id, SlotResult result, TimePoint now) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) return;
  Accrue(now);
  const Running running = found->second;
  AdaptLimit(result, running.since, now);
  m_running.erase(found);
  Lane& lane = m_lanes[LaneOf(running.priority_index)];
  --lane.running;
  if (result != SlotResult::kCompleted) return;
  UpdateServiceTime(lane, now - running.since);
  lane.completed_at = now;
}

AdmissionLoad AdmissionQueue::Load() const {
  AdmissionLoad load;
  load.in_flight = m_running.size();
  load.queued = QueuedCount();
  load.limit = Limit();
  load.service_time = m_service_time;
  load.queue_delay = ExpectedWait(0);
  return load;
}

}  // namespace damaskhollow
