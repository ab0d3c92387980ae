#ifndef DAMASKHOLLOW_DECLARATION_DECLARATIONLIMITS_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATIONLIMITS_H_

#include <cstddef>

namespace damaskhollow {

// The largest values that a declaration can have. The parser refuses anything beyond them, so that
// whoever makes a declaration from another format clamps its values to them.

// Of ranks and groups, which only order priorities: the largest integer up to which a JSON number
// represents every integer.
inline constexpr std::size_t kMaxRank = 9007199254740992;
// Of all times, in milliseconds: one day.
inline constexpr std::size_t kMaxTimeMs = 86400000;
// Of the attempts of a route.
inline constexpr std::size_t kMaxRouteAttempts = 100;
// Of the weight of a route's part, which counts relative to the other parts only.
inline constexpr double kMaxWeight = 1e6;
// Of the head and of the body of a caller's request, in bytes.
inline constexpr std::size_t kMaxCallerHeaderBytes = 8UL * 1024UL * 1024UL;
inline constexpr std::size_t kMaxCallerBodyBytes = 1024UL * 1024UL * 1024UL;
// Of the calls a second that a cold backend server tolerates, and of its burst.
inline constexpr double kMaxColdCalls = 1e6;
// Of the retries for which the fleet accumulates budget without any first attempts.
inline constexpr double kMaxRetryFloor = 1e6;
// Of the slots and the connections of a backend server.
inline constexpr std::size_t kMaxSlots = 10000;
inline constexpr std::size_t kMaxConnections = 100000;
// Of the entries and of the values that the translation from another format could not take over as
// they are. Above the number of entries that such a text of one megabyte can have.
inline constexpr std::size_t kMaxTranslationFaults = 1000000;

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATIONLIMITS_H_
