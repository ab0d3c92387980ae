#ifndef DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
#define DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Names a call within its owner.
using OwnedCallId = NumberedId<struct OwnedCallTag>;

// A call that asks for a slot.
struct AdmissionCall {
  OwnedCallId id;
  std::size_t priority_index = 0;  // 0 is the most urgent.
  TimePoint deadline{};
  std::size_t bytes = 0;  // Memory that the call holds while it is queued.
  // Until when an answer is in time; no bound by default.
  TimePoint target = TimePoint::max();
};

// How a dispatched call ended, as far as admission is concerned.
enum class SlotResult {
  kCompleted,
  kShed,    // The backend server refused it for lack of capacity.
  kFailed,  // It broke off; its time says nothing about the server's speed.
};

// The load of a backend server as its owner sees it.
struct AdmissionLoad {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  Duration queue_delay{};   // Expected wait of a most urgent call.
  Duration service_time{};  // Smoothed time of a call on the backend server.
};

struct AdmissionLimits {
  std::size_t slots = 1;
  std::size_t queue_bytes = 4UL * 1024UL * 1024UL;
  std::size_t queue_count = 2048;
};

// What became of an offered call, and the queued calls that gave way to it. Those were not run.
struct Admission {
  Reason refusal = Reason::kNone;
  std::vector<OwnedCallId> evicted;
  Reason eviction_reason = Reason::kNone;
};

// Decides which calls run on a backend server and which wait or are refused. The cost of each
// member grows with the number of priorities and the logarithm of the number of queued calls.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionLimits& limits, std::span<const Priority> priorities);

  // Takes a call into the queue, or returns why it is refused. A call that was taken is named by
  // PopDispatchable, PopExpired or a later Admission::evicted, unless it is cancelled.
  Admission Offer(const AdmissionCall& call, TimePoint now);

  // Whether the calls of a priority wait although there are free slots.
  using IsHeld = std::function<bool(const PriorityId& priority)>;

  // Names the calls that are to be dispatched now; each occupies a slot until OnCallFinished. Never
  // names a call whose deadline has passed. `is_held` may be empty.
  std::vector<OwnedCallId> PopDispatchable(TimePoint now, const IsHeld& is_held = {});

  // Removes and names the queued calls whose deadline has passed.
  std::vector<OwnedCallId> PopExpired(TimePoint now);

  // Removes and names the late calls that will not get a slot while there is time to run them, as
  // far as can be told from what is queued before them. They have not expired yet.
  std::vector<OwnedCallId> PopUnservable(TimePoint now);

  // Removes a queued call; false if it is not queued.
  bool Cancel(OwnedCallId id);

  // Frees the slot of a dispatched call.
  void OnCallFinished(OwnedCallId id, SlotResult result, TimePoint now);

  // Replaces slots and priorities; calls in the queue stay, under the priority of the same id or,
  // if that is gone, under the least urgent one.
  void Reconfigure(const AdmissionLimits& limits, std::span<const Priority> priorities);

  AdmissionLoad Load() const;

  std::size_t Slots() const { return m_limits.slots; }

  // Keeps fewer calls in flight than the slots allow, from now on.
  void SetMaxInFlight(std::size_t most) { m_max_in_flight = std::max<std::size_t>(most, 1); }

  // How long a call of this priority would wait for a slot.
  Duration ExpectedWaitOfPriority(std::size_t priority_index) const {
    return ExpectedWait(std::min(priority_index, m_lanes.size() - 1));
  }

 private:
  // The work of one priority.
  struct Lane {
    Priority priority;
    std::list<AdmissionCall> queue;  // Those that can be answered in time, oldest first.
    std::list<AdmissionCall> late;   // The others, oldest first.
    std::size_t queued_bytes = 0;
    std::size_t running = 0;
    double served = 0.0;       // Slot time in the decayed window, in microseconds.
    Duration service_time{0};  // Smoothed; 0 until a call has completed.
    TimePoint completed_at{};  // When the last one did.

    std::size_t Count() const { return queue.size() + late.size(); }
  };

  struct Running {
    TimePoint since{};
    std::size_t lane = 0;
  };

  struct Queued {
    std::size_t lane = 0;
    bool late = false;
    std::list<AdmissionCall>::iterator position;
  };

  std::size_t Limit() const { return std::min(static_cast<std::size_t>(m_limit), m_max_in_flight); }
  bool HasFreeSlot() const { return m_running.size() < Limit(); }
  std::size_t QueuedCount() const { return m_queued.size(); }
  Duration ServiceTimeOf(const Lane& lane) const;
  // The guarantees of less urgent work that waits.
  double GuaranteedShareOfLessUrgent(std::size_t lane) const;
  double ExpectedShare(std::size_t lane) const;
  Duration ExpectedWait(std::size_t lane) const;
  Duration ExpectedLateWait(std::size_t lane) const;
  // The slot time of the calls that go before the late ones of a lane, in microseconds.
  double WorkAheadOfLate(std::size_t lane) const;
  // Whether the call would be answered in time; late calls wait behind those of their group that
  // would.
  bool IsInTime(const AdmissionCall& call, std::size_t lane, TimePoint now) const;
  void DemoteLateCalls(TimePoint now);
  bool MeetsTimeLimits(const AdmissionCall& call, std::size_t lane, TimePoint now) const;
  Reason CheckRoom(std::size_t lane, std::size_t bytes) const;
  bool MakeRoom(std::size_t lane, std::size_t bytes, Admission& admission);
  double ProjectedSlotTime(const Lane& lane) const;
  std::size_t NextLane(const IsHeld& is_held) const;
  std::size_t NextLaneByUrgency(const IsHeld& is_held) const;
  void Enqueue(const AdmissionCall& call, std::size_t lane, bool late);
  void Remove(OwnedCallId id);
  void CollectExpired(TimePoint now);
  void Accrue(TimePoint now);
  void UpdateServiceTime(Lane& lane, Duration time);
  void AdaptLimit(SlotResult result, TimePoint dispatched, TimePoint now);

  AdmissionLimits m_limits;
  std::vector<Lane> m_lanes;  // By priority index; at least one.
  std::unordered_map<OwnedCallId, Queued> m_queued;
  std::set<std::pair<TimePoint, OwnedCallId>> m_deadlines;  // Of queued calls.
  std::vector<OwnedCallId> m_expired;                       // Removed, but not named yet.
  std::unordered_map<OwnedCallId, Running> m_running;
  std::size_t m_queued_bytes = 0;
  Duration m_service_time{0};
  TimePoint m_accrued_until{};
  double m_limit = 1.0;
  std::size_t m_max_in_flight = std::numeric_limits<std::size_t>::max();
  TimePoint m_last_decrease{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
