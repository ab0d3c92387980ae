#ifndef DAMASKHOLLOW_CALLS_VIEWGATE_H_
#define DAMASKHOLLOW_CALLS_VIEWGATE_H_

#include <atomic>

#include "base/time.h"
#include "policy/pausedetector.h"

namespace damaskhollow {

// Indicates whether the node's view of fleet and configuration is recent enough for routing and
// dispatch. The gate closes by itself when the main thread has not ticked for one second, so that a
// worker thread that runs first after a pause of the process does not act on the old view.
// Thread-safe.
class ViewGate {
 public:
  // Whether the view may be used.
  bool IsOpen(TimePoint now) const {
    const Duration::rep last = m_last_tick.load();
    if (last == 0) return true;  // No tick yet.
    return !m_refreshing.load() && now.time_since_epoch().count() - last <= kMaxTickAge.count();
  }

  // Records a tick of the main thread. Returns true if the process was paused since the last one;
  // the gate then stays closed until Open is called.
  bool OnTick(TimePoint now) {
    const Duration::rep time = now.time_since_epoch().count();
    const Duration::rep last = m_last_tick.load();
    const bool was_paused = last != 0 && time - last > kMaxTickAge.count();
    if (was_paused) m_refreshing.store(true);
    m_last_tick.store(time);
    return was_paused;
  }

  // Reopens the gate after the view has been refreshed.
  void Open() { m_refreshing.store(false); }

  // Whether a pause was detected and the view has not been refreshed since.
  bool IsRefreshing() const { return m_refreshing.load(); }

 private:
  static constexpr Duration kMaxTickAge{kPauseThreshold};

  std::atomic<Duration::rep> m_last_tick{0};
  std::atomic<bool> m_refreshing{false};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_VIEWGATE_H_
