#ifndef DAMASKHOLLOW_POLICY_OCCUPIEDSLOTS_H_
#define DAMASKHOLLOW_POLICY_OCCUPIEDSLOTS_H_

#include <cstddef>
#include <optional>

#include "base/time.h"

namespace damaskhollow {

// Counts the slots of a backend server that are taken by requests of which its owner knows nothing,
// because they were sent by an earlier process of the node. A server may never answer what it
// cannot queue, so that its slots must not be offered twice. Used by the owner. Not thread-safe.
class OccupiedSlots {
 public:
  // Starts to count anew, as the owner has just started or its server has.
  void Reset();

  // Records how many requests the server reports, and how many the owner may have sent by then.
  // After the first report the count only falls: later reports cross calls that are on their way.
  void RecordReport(std::size_t reported, std::size_t own);

  // Whether a call has to wait for the first report. The first call that asks waits for a limited
  // time, and the calls behind it until then.
  bool AwaitsReport(TimePoint now);

  std::size_t Count() const { return m_count.value_or(0); }

 private:
  std::optional<std::size_t> m_count;
  std::optional<TimePoint> m_awaited_since;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_OCCUPIEDSLOTS_H_
