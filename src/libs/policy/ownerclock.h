#ifndef DAMASKHOLLOW_POLICY_OWNERCLOCK_H_
#define DAMASKHOLLOW_POLICY_OWNERCLOCK_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Incarnation of the owner that a call is sent to, and expiry of the call on the monotonic clock of
// that owner, in microseconds.
struct ExpiryStamp {
  Incarnation incarnation;
  std::uint64_t expires_at_us = 0;
};

// Clock readings of the owners, kept by an ingress: of the recent ones of an owner, the one that
// took the least time to arrive. A computed expiry is not later than intended: that time only makes
// it earlier, so the two clocks need not agree. Only the suspension of the owner's machine makes it
// later, until the reading is replaced.
class OwnerClocks {
 public:
  // Records a reading that arrived at `received`. Returns true if the owner has a new incarnation.
  bool RecordReading(const BackendServerId& owner, Incarnation incarnation, std::uint64_t clock_us,
                     TimePoint received);

  // Returns the stamp for a call that may run for `remaining` from now; empty if the owner has not
  // reported its clock.
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
