#ifndef DAMASKHOLLOW_CALLS_VIEWGATE_H_
#define DAMASKHOLLOW_CALLS_VIEWGATE_H_

#include <atomic>

#include "base/time.h"
#include "policy/pausedetector.h"

namespace damaskhollow {

// Says whether the node's view of fleet and configuration may be used for routing and dispatch. It
// closes by itself when the main thread has not ticked for a second, so that a worker thread that
// wakes first after a pause does not act on the old view. May be used from any thread.
class ViewGate {
 public:
  bool IsOpen(TimePoint now) const {
    const Duration::rep last = m_last_tick.load();
    if (last == 0) return true;  // Not started yet.
    return !m_refreshing.load() && now.time_since_epoch().count() - last <= kMaxTickAge.count();
  }

  // Notes a tick of the main thread. Returns true if the process was paused since the last one; the
  // gate then stays closed until Open.
  bool OnTick(TimePoint now) {
    const Duration::rep time = now.time_since_epoch().count();
    const Duration::rep last = m_last_tick.load();
    const bool was_paused = last != 0 && time - last > kMaxTickAge.count();
    if (was_paused) m_refreshing.store(true);
    m_last_tick.store(time);
    return was_paused;
  }

  void Open() { m_refreshing.store(false); }
  bool IsRefreshing() const { return m_refreshing.load(); }

 private:
  static constexpr Duration kMaxTickAge{kPauseThreshold};

  std::atomic<Duration::rep> m_last_tick{0};
  std::atomic<bool> m_refreshing{false};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CALLS_VIEWGATE_H_
