#ifndef DAMASKHOLLOW_CONFIGURATION_WATCHSCHEDULE_H_
#define DAMASKHOLLOW_CONFIGURATION_WATCHSCHEDULE_H_

#include <chrono>

#include "base/time.h"
#include "configuration/fetchplan.h"

namespace damaskhollow {

// Time allowed for a response of the service, for a watch in addition to its wait. Covers a store
// that responds 60 times slower than usual.
inline constexpr std::chrono::milliseconds kStoreResponseTimeout{1500};

// Least time between a change and the next watch. Batches changes that occur close together, since
// every completed watch is a call that costs money. It is a tenth of the time within which a change
// must take effect.
inline constexpr std::chrono::milliseconds kMinDelayAfterChange{250};

// Decides when the watches of one read begin and how long the service may hold each of them. A
// service that has stopped responding leaves a watch unanswered, so a watch must end soon enough
// that the next one finds out. Performs no I/O itself; not thread-safe.
class WatchSchedule {
 public:
  // Handles the start of a read.
  void Start(const StoreRead& read, TimePoint now);

  // Handles a response. A response with a change, or the first one after a failure, begins a new
  // turn: the next watch ends when the read's turn says.
  void OnResponse(bool has_change, TimePoint now);

  // Handles a call that failed.
  void OnFailure() { m_is_confirmed = false; }

  // Whether the wait of the read is over.
  bool IsOver(TimePoint now) const { return now >= m_read_deadline; }

  // Returns the earliest start of the next watch.
  TimePoint NextStart() const;

  // Returns how long the service may hold a watch that starts now; 1 ms if a response is needed
  // first, as none has come since the last failure or for too long.
  std::chrono::milliseconds WaitAt(TimePoint now) const;

 private:
  StoreRead m_read;
  TimePoint m_read_deadline{};
  TimePoint m_turn_start{};
  TimePoint m_last_change{};
  TimePoint m_last_response{};
  bool m_is_confirmed = false;  // No call has failed since the last response.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_WATCHSCHEDULE_H_
