#ifndef DAMASKHOLLOW_CONFIGURATION_VERSIONGUARD_H_
#define DAMASKHOLLOW_CONFIGURATION_VERSIONGUARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// Longest declaration that is accepted; the configuration service serves no longer ones.
inline constexpr std::size_t kMaxConfigurationBytes = 1024UL * 1024UL;

// What came of offering a version.
enum class OfferResult {
  kAccepted,   // It is in force now.
  kUnchanged,  // It was in force already.
  kOlder,      // A higher version is in force; nothing changed.
  kInvalid,    // It failed its checks; the last good version stays in force.
};

// A version that was refused, and why.
struct RefusedVersion {
  std::uint64_t version = 0;
  std::string source;
  std::vector<Failure> failures;
  std::size_t times = 1;  // How often it was offered by this source.
};

// Keeps the version in force. It never goes back to a lower version, and an invalid one never
// replaces a good one.
class VersionGuard {
 public:
  // Checks `text` and puts it into force if it is valid and its version is higher. `source` says
  // where it was read, for operators.
  OfferResult Offer(std::uint64_t version, std::string_view text, std::string_view source);

  // Version in force; 0 if there is none.
  std::uint64_t Version() const { return m_version; }

  // Null if there is none in force.
  std::shared_ptr<const Declaration> Current() const { return m_declaration; }

  // The text in force, as it was read.
  const std::string& Text() const { return m_text; }

  // The latest refused versions, oldest first.
  const std::deque<RefusedVersion>& Refused() const { return m_refused; }

  // All refusals since the start.
  std::size_t RefusedCount() const { return m_refused_count; }

 private:
  OfferResult Refuse(OfferResult result, RefusedVersion refused);

  std::uint64_t m_version = 0;
  std::shared_ptr<const Declaration> m_declaration;
  std::string m_text;
  std::deque<RefusedVersion> m_refused;
  std::size_t m_refused_count = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_VERSIONGUARD_H_
