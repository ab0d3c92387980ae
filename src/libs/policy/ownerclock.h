#ifndef DAMASKHOLLOW_POLICY_OWNERCLOCK_H_
#define DAMASKHOLLOW_POLICY_OWNERCLOCK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// The incarnation and the expiry, on the owner's monotonic clock in microseconds, that a call is
// stamped with.
struct ExpiryStamp {
  Incarnation incarnation;
  std::uint64_t expires_at_us = 0;
};

// What an ingress knows of its owners' clocks. A stamped expiry is never later than meant: the time
// that the owner's reading took to arrive only makes it earlier, so the two clocks need not agree.
class OwnerClocks {
 public:
  // Notes a reading that arrived at `received`. Returns true if the owner has a new incarnation.
  bool RecordReading(const BackendServerId& owner, Incarnation incarnation, std::uint64_t clock_us,
                     TimePoint received);

  // The stamp for a call that may run for `remaining` from now; empty if the owner has not reported
  // its clock.
  std::optional<ExpiryStamp> Stamp(const BackendServerId& owner, Duration remaining,
                                   TimePoint now) const;

 private:
  struct Reading {
    Incarnation incarnation;
    std::uint64_t clock_us = 0;
    TimePoint received{};
  };

  std::map<BackendServerId, Reading> m_readings;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_OWNERCLOCK_H_
