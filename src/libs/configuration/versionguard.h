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

// Maximum size of an accepted declaration in bytes, wherever it comes from. A declaration made from
// another format can be several times as long as the text that it was made from, of which services
// hold up to 1 MB.
inline constexpr std::size_t kMaxConfigurationBytes = 8UL * 1024UL * 1024UL;

// The result of offering a version.
enum class OfferResult {
  kAccepted,   // It is now active.
  kUnchanged,  // It was already active.
  kOlder,      // A higher version is active; nothing changed.
  kInvalid,    // It failed validation; the last valid version stays active.
};

// A rejected version with the reasons.
struct RefusedVersion {
  std::uint64_t version = 0;
  std::string source;
  std::vector<Failure> failures;
  std::size_t times = 1;  // How often this source has offered it.
};

// Holds the active version of the declaration. A lower version never replaces a higher one, and an
// invalid version never replaces a valid one. Not thread-safe.
class VersionGuard {
 public:
  // Validates `text` and activates it if it is valid and its version is higher. `source` names
  // where it was read, for messages to operators.
  OfferResult Offer(std::uint64_t version, std::string_view text, std::string_view source);

  // The active version; 0 if there is none.
  std::uint64_t Version() const { return m_version; }

  // The active declaration; null if there is none.
  std::shared_ptr<const Declaration> Current() const { return m_declaration; }

  // The text of the active declaration, as it was read.
  const std::string& Text() const { return m_text; }

  // The last rejected versions, oldest first.
  const std::deque<RefusedVersion>& Refused() const { return m_refused; }

  // The number of rejections since the process started.
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
