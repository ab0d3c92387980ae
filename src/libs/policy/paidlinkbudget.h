#ifndef DAMASKHOLLOW_POLICY_PAIDLINKBUDGET_H_
#define DAMASKHOLLOW_POLICY_PAIDLINKBUDGET_H_

#include <cstddef>

#include "base/time.h"

namespace damaskhollow {

// Token bucket for the bytes that one node may cause on the link to other regions. The level may
// become negative, as the size of a response is not known when its call is sent; no further calls
// are sent until it is positive again, so the average stays within the rate.
class PaidLinkBudget {
 public:
  // Sets the rate of this node, which is its part of the rate of its region. The first call fills
  // the bucket; later ones keep its level.
  void SetRate(double bytes_per_second, TimePoint now);

  // Whether another call may be sent across the link.
  bool HasRoom(TimePoint now);

  // Charges bytes of a request sent or of a response received.
  void Spend(std::size_t bytes, TimePoint now);

 private:
  void Refill(TimePoint now);

  double m_rate = 0.0;   // Bytes per second.
  double m_level = 0.0;  // Bytes; may be negative.
  TimePoint m_refilled_at{};
  bool m_has_rate = false;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_POLICY_PAIDLINKBUDGET_H_
