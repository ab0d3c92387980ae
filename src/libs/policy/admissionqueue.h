#ifndef DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
#define DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <span>
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

// Decides which calls run on a backend server and which wait or are refused.
class AdmissionQueue {
 public:
  AdmissionQueue(const AdmissionLimits& limits, std::span<const Priority> priorities);

  // Takes a call into the queue, or returns why it is refused. A call that was taken is named by
  // TakeDispatchable or TakeExpired later, unless it is cancelled.
  Reason Offer(const AdmissionCall& call, TimePoint now);

  // Names the calls that are to be dispatched now; each occupies a slot until NoteFinished.
  std::vector<OwnedCallId> TakeDispatchable(TimePoint now);

  // Removes and names the queued calls whose deadline has passed.
  std::vector<OwnedCallId> TakeExpired(TimePoint now);

  // Removes a queued call; false if it is not queued.
  bool Cancel(OwnedCallId id);

  // Frees the slot of a dispatched call.
  void NoteFinished(OwnedCallId id, SlotResult result, TimePoint now);

  // Replaces slots and priorities; calls in the queue stay.
  void Reconfigure(const AdmissionLimits& limits, std::span<const Priority> priorities);

  AdmissionLoad Load() const;

 private:
  struct Running {
    TimePoint since{};
    std::size_t priority_index = 0;
  };

  AdmissionLimits m_limits;
  std::vector<Priority> m_priorities;
  std::vector<std::deque<AdmissionCall>> m_queues;  // By priority index.
  std::map<OwnedCallId, Running> m_running;
  std::size_t m_queued_bytes = 0;
  std::size_t m_queued_count = 0;
  Duration m_service_time{0};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_ADMISSIONQUEUE_H_
