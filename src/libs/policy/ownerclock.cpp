#include "policy/ownerclock.h"

namespace damaskhollow {

namespace {

// How long a reading is preferred to ones that were delayed more. The clocks hardly drift in this
// time, but the suspension of a machine sets them apart.
constexpr std::chrono::seconds kMaxReadingAge{4};

}  // namespace

bool OwnerClocks::RecordReading(const BackendServerId& owner, Incarnation incarnation,
                                std::uint64_t clock_us, TimePoint received) {
  Reading& reading = m_readings[owner];
  const bool is_new = reading.incarnation != incarnation;
  // A delayed message must not set back the reading of the same incarnation.
  if (!is_new && clock_us <= reading.clock_us) return false;
  const Duration clock_advance(static_cast<Duration::rep>(clock_us - reading.clock_us));
  const Duration elapsed = received - reading.received;
  if (!is_new && clock_advance < elapsed && elapsed < kMaxReadingAge) return false;
  reading = Reading{incarnation, clock_us, received};
  return is_new;
}

std::optional<ExpiryStamp> OwnerClocks::Stamp(const BackendServerId& owner, Duration remaining,
                                              TimePoint now) const {
  const auto found = m_readings.find(owner);
  if (found == m_readings.end()) return std::nullopt;
  const Duration since_reading = now - found->second.received;
  return ExpiryStamp{
      found->second.incarnation,
      found->second.clock_us + static_cast<std::uint64_t>((since_reading + remaining).count())};
}

}  // namespace damaskhollow
