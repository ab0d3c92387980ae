#ifndef DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
#define DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"
#include "policy/coldstartlimiter.h"

namespace damaskhollow {

// Identifies a call within its owner.
using OwnedCallId = NumberedId<struct OwnedCallTag>;

// A call that requests a slot on the backend server.
struct AdmissionCall {
  OwnedCallId id;
  std::size_t priority_index = 0;  // 0 is the most urgent.
  TimePoint deadline{};
  std::size_t bytes = 0;  // Memory that the call holds while it is queued.
  // Latest time at which a response meets the call's target; no bound by default.
  TimePoint target = TimePoint::max();
};

// Result of a dispatched call as far as admission control is concerned.
enum class SlotResult {
  kCompleted,
  kShed,    // The backend server refused the call for lack of capacity.
  kFailed,  // Interrupted; its duration is no measure of the server's speed.
};

// Load of a backend server as measured by its owner.
struct AdmissionLoad {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  Duration queue_delay{};   // Expected wait of a call of the most urgent priority.
  Duration service_time{};  // Smoothed run time of a call on the backend server.
};

struct AdmissionLimits {
  std::size_t slots = 1;
  std::size_t queue_bytes = 4UL * 1024UL * 1024UL;
  std::size_t queue_count = 2048;
};

// Result of offering a call: why it is refused, if it is, and the queued calls of less urgent
// priorities that were evicted to make room for it. Evicted calls have not run.
struct Admission {
  Reason refusal = Reason::kNone;
  std::vector<OwnedCallId> evicted;
  Reason eviction_reason = Reason::kNone;
};

// Admission control for one backend server: decides which calls run, wait or are refused. The cost
// of each member grows with the number of lanes (see prioritylanes.h) and the logarithm of the
// number of queued calls. Used by the owner of the server. Not thread-safe.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionLimits& limits, std::span<const Priority> priorities);

  // Queues a call, or returns why it is refused. The id of a queued call is later returned by
  // PopDispatchable, PopExpired, PopUnservable or in Admission::evicted of another call, unless the
  // call is cancelled.
  Admission Offer(const AdmissionCall& offered, TimePoint now);

  // Whether a call would be refused at present because it cannot be served in time.
  bool WouldRefuse(const AdmissionCall& offered, TimePoint now) const;

  // Whether calls of a priority are held back although there are free slots.
  using IsHeld = std::function<bool(const PriorityId& priority)>;

  // Removes and returns the calls to dispatch now; each occupies a slot until OnCallFinished. Never
  // returns a call whose deadline has passed. `is_held` may be empty.
  std::vector<OwnedCallId> PopDispatchable(TimePoint now, const IsHeld& is_held = {});

  // Removes and returns the queued calls whose deadline has passed, and those whose remaining time
  // has become too short to start them.
  std::vector<OwnedCallId> PopExpired(TimePoint now);

  // Removes and returns the late calls that are not expected to get a slot while there is still
  // time to run them, judging by the work queued ahead of them. Their deadline has not passed yet.
  std::vector<OwnedCallId> PopUnservable(TimePoint now);

  // Removes a queued call. Returns false if it is not queued.
  bool Cancel(OwnedCallId id);

  // Frees the slot of a dispatched call and updates the service time and the concurrency limit.
  void OnCallFinished(OwnedCallId id, SlotResult result, TimePoint now);

  // Replaces the limits and priorities. Queued calls stay, under the priority with the same id or,
  // if it has been removed, under the least urgent one.
  void Reconfigure(const AdmissionLimits& limits, std::span<const Priority> priorities);

  // Returns the index of a priority, or of the least urgent one if it is not known.
  std::size_t PriorityIndexOf(const PriorityId& priority) const;

  AdmissionLoad Load() const;

  std::size_t Slots() const { return m_limits.slots; }

  // Sets an upper bound on the calls in flight, in addition to the number of slots; at least 1.
  void SetMaxInFlight(std::size_t most) { m_max_in_flight = std::max<std::size_t>(most, 1); }

  // Sets how many calls may start and at which rate more; empty: no bound besides the slots.
  void SetStartLimit(const std::optional<StartLimit>& limit) { m_start_limit = limit; }

  // Returns how long a new call of this priority is expected to wait for a slot.
  Duration ExpectedWaitOfPriority(std::size_t priority_index) const {
    return ExpectedWait(LaneOf(priority_index));
  }

 private:
  // Queue and statistics of one priority, or of neighbouring priorities that share a lane.
  struct Lane {
    std::vector<std::size_t> priorities;  // Their indices.
    std::size_t group = 0;                // Of the most urgent one.
    double guaranteed_share = 0.0;        // Sum of their shares.
    std::list<AdmissionCall> queue;       // Calls that can still meet their target, oldest first.
    std::list<AdmissionCall> late;        // Calls that will miss their target, oldest first.
    std::size_t queued_bytes = 0;
    std::size_t running = 0;
    double served = 0.0;       // Slot time used in the decaying window, in microseconds.
    Duration service_time{0};  // Smoothed; 0 until a call has completed.
    TimePoint completed_at{};  // When a call last completed.

    std::size_t Count() const { return queue.size() + late.size(); }
    // Whether calls with different targets may wait in this lane.
    bool IsShared() const { return priorities.size() > 1; }
    // Returns the call that is dispatched next; there must be one.
    const AdmissionCall& Front() const { return queue.empty() ? late.front() : queue.front(); }
  };

  struct Running {
    TimePoint since{};
    std::size_t priority_index = 0;
  };

  struct Queued {
    std::size_t lane = 0;
    bool late = false;
    std::list<AdmissionCall>::iterator position;
  };

  std::size_t LaneOf(std::size_t priority_index) const;
  // Whether the next call of a lane, which must have one, is held back.
  bool IsFrontHeld(const Lane& lane, const IsHeld& is_held) const {
    return is_held && is_held(m_priorities[lane.Front().priority_index].id);
  }
  // Returns the call under the least urgent priority if its own does not exist.
  AdmissionCall WithKnownPriority(const AdmissionCall& call) const;
  // Adds the statistics of an earlier lane to the lane that its most urgent priority now has.
  void MoveStatistics(const Lane& old, std::span<const std::size_t> new_index,
                      std::vector<Lane>& lanes) const;
  // Moves calls to the lanes of their priorities, whose indices are replaced by `new_index`.
  void MoveCalls(std::list<AdmissionCall>& calls, std::span<const std::size_t> new_index,
                 std::vector<Lane>& lanes, std::list<AdmissionCall> Lane::*target);
  std::size_t Limit() const { return std::min(static_cast<std::size_t>(m_limit), m_max_in_flight); }
  bool HasFreeSlot() const { return m_running.size() < Limit(); }
  bool CanStart() const {
    return HasFreeSlot() && (!m_start_limit || m_start_limit->available >= 1.0);
  }
  // How long the start limit holds back a call that has this many others ahead of it.
  Duration StartDelay(std::size_t ahead) const;
  std::size_t QueuedCount() const { return m_queued.size(); }
  Duration ServiceTimeOf(const Lane& lane) const;
  // Sum of the guaranteed shares of less urgent priorities that have queued calls.
  double GuaranteedShareOfLessUrgent(std::size_t lane) const;
  double ExpectedShare(std::size_t lane) const;
  Duration ExpectedWait(std::size_t lane) const;
  Duration ExpectedLateWait(std::size_t lane) const;
  // Slot time of the calls that are dispatched before the late calls of a lane, in microseconds.
  double WorkAheadOfLate(std::size_t lane) const;
  std::size_t CallsAheadOfLate(std::size_t lane) const;
  // Calls `visit` with each lane that has such calls, and their number.
  template <class Visit>
  void VisitAheadOfLate(std::size_t lane, Visit visit) const;
  // Whether the call is expected to meet its target. Late calls wait behind the calls of their
  // group that are expected to meet theirs.
  bool IsInTime(const AdmissionCall& call, std::size_t lane, TimePoint now) const;
  void DemoteLateCalls(TimePoint now);
  // Whether a call with a target is expected to meet it or at least its deadline, and a call
  // without one to stay within its deadline and the queue bound of its priority.
  bool MeetsTimeLimits(const AdmissionCall& call, std::size_t lane, TimePoint now) const;
  // Returns kNone if the queue has room for a call, or the limit that it would exceed. Room
  // reserved by the guarantees of other priorities is not available.
  Reason CheckRoom(std::size_t lane, std::size_t bytes) const;
  // Evicts the newest calls of less urgent priorities until the call fits. Evicts none and sets the
  // refusal if that is not enough.
  bool MakeRoom(std::size_t lane, std::size_t bytes, Admission& admission);
  // Slot time used by a lane, its running calls included, in microseconds.
  double ProjectedSlotTime(const Lane& lane) const;
  // Selects the lane to dispatch from: the one furthest below its guaranteed share, or else by
  // urgency. kNoLane if there is none.
  std::size_t NextLane(const IsHeld& is_held) const;
  std::size_t NextLaneByUrgency(const IsHeld& is_held) const;
  void Enqueue(const AdmissionCall& call, std::size_t lane, bool late);
  void Remove(OwnedCallId id);
  void CollectExpired(TimePoint now);
  // Adds the slot time since the last call to the decaying window of each lane.
  void Accrue(TimePoint now);
  void UpdateServiceTime(Lane& lane, Duration time);
  // Adjusts the limit of calls in flight: multiplicative decrease when the backend server sheds a
  // call, additive increase when it completes calls at the limit.
  void AdaptLimit(SlotResult result, TimePoint dispatched, TimePoint now);

  AdmissionLimits m_limits;
  std::vector<Priority> m_priorities;  // Ordered by rank; at least one.
  std::unordered_map<PriorityId, std::size_t> m_priority_indices;
  std::vector<std::size_t> m_lane_of;  // By priority index.
  std::vector<Lane> m_lanes;           // Most urgent first; at least one.
  std::unordered_map<OwnedCallId, Queued> m_queued;
  std::set<std::pair<TimePoint, OwnedCallId>> m_deadlines;  // Deadlines of the queued calls.
  std::vector<OwnedCallId> m_expired;                       // To be returned by PopExpired.
  std::unordered_map<OwnedCallId, Running> m_running;
  std::size_t m_queued_bytes = 0;
  Duration m_service_time{0};
  TimePoint m_accrued_until{};
  double m_limit = 1.0;
  std::size_t m_max_in_flight = std::numeric_limits<std::size_t>::max();
  std::optional<StartLimit> m_start_limit;
  TimePoint m_last_decrease{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
