#include "configuration/versionguard.h"

#include <algorithm>
#include <utility>

#include "declaration/declarationparser.h"

namespace damaskhollow {

namespace {

constexpr std::size_t kMaxRefusedVersions = 8;
// Operators fix the first errors and retry, so more entries would only use memory.
constexpr std::size_t kMaxFailures = 20;

}  // namespace

OfferResult VersionGuard::Offer(std::uint64_t version, std::string_view text,
                                std::string_view source) {
  if (version == m_version) return OfferResult::kUnchanged;
  const std::string name = std::string(source) + ", version " + std::to_string(version);
  if (version < m_version) {
    const Failure failure{FailureCode::kOlderVersion, name,
                          "version " + std::to_string(m_version) + " is in force"};
    return Refuse(OfferResult::kOlder, {version, std::string(source), {failure}});
  }
  if (text.size() > kMaxConfigurationBytes) {
    const Failure failure{FailureCode::kOutOfRange, name,
                          "is longer than " + std::to_string(kMaxConfigurationBytes) + " bytes"};
    return Refuse(OfferResult::kInvalid, {version, std::string(source), {failure}});
  }
  ParsedDeclaration parsed = m_declaration ? ParseDeclaration(name, text, {m_text, *m_declaration})
                                           : ParseDeclaration(name, text);
  if (!parsed.failures.empty()) {
    if (parsed.failures.size() > kMaxFailures) parsed.failures.resize(kMaxFailures);
    return Refuse(OfferResult::kInvalid,
                  {version, std::string(source), std::move(parsed.failures)});
  }
  m_version = version;
  m_declaration = std::make_shared<const Declaration>(std::move(parsed.declaration));
  m_text = std::string(text);
  return OfferResult::kAccepted;
}

OfferResult VersionGuard::Refuse(OfferResult result, RefusedVersion refused) {
  ++m_refused_count;
  const auto known =
      std::find_if(m_refused.begin(), m_refused.end(), [&](const RefusedVersion& entry) {
        return entry.version == refused.version && entry.source == refused.source;
      });
  if (known != m_refused.end()) {
    refused.times = known->times + 1;
    m_refused.erase(known);
  }
  m_refused.push_back(std::move(refused));
  if (m_refused.size() > kMaxRefusedVersions) m_refused.pop_front();
  return result;
}

}  // namespace damaskhollow
