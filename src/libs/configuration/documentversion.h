#ifndef DAMASKHOLLOW_CONFIGURATION_DOCUMENTVERSION_H_
#define DAMASKHOLLOW_CONFIGURATION_DOCUMENTVERSION_H_

#include <algorithm>
#include <compare>
#include <cstdint>

namespace damaskhollow {

// A place in the history of the service that a document is read from. A service that is restored
// from an older copy begins a new epoch, in which it gives out revisions again.
struct HistoryPosition {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const HistoryPosition&) const = default;
};

// Bits of a version that hold the revision; the epoch has the bits above.
inline constexpr unsigned kRevisionBits = 44;
inline constexpr std::uint64_t kMaxRevision = (1ULL << kRevisionBits) - 1;
// The highest epoch with which a version still is a positive signed number.
inline constexpr std::uint64_t kMaxEpoch = (1ULL << (63U - kRevisionBits)) - 1;

// Returns the version of a document that reflects the service at `position`. Versions compare like
// positions.
constexpr std::uint64_t VersionAt(const HistoryPosition& position) {
  return (std::min(position.epoch, kMaxEpoch) << kRevisionBits) |
         std::min(position.revision, kMaxRevision);
}

// Returns the position that a version was made from. The epoch of a version that counts changes is
// 0.
constexpr HistoryPosition PositionOf(std::uint64_t version) {
  return {version >> kRevisionBits, version & kMaxRevision};
}

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_DOCUMENTVERSION_H_
