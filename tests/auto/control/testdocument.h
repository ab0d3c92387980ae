#ifndef DAMASKHOLLOW_TESTS_AUTO_CONTROL_TESTDOCUMENT_H_
#define DAMASKHOLLOW_TESTS_AUTO_CONTROL_TESTDOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/randomsource.h"
#include "control/documentsync.h"

namespace damaskhollow::test {

// A document that takes over every newer version.
class TextHolder : public DocumentHolder {
 public:
  std::uint64_t HeldVersion() const override { return m_version; }
  std::string_view HeldText() const override { return m_text; }
  OfferResult OfferDocument(std::uint64_t version, std::string_view text, DocumentSource,
                            std::string_view) override {
    if (version <= m_version) return OfferResult::kOlder;
    Set(version, std::string(text));
    return OfferResult::kAccepted;
  }

  void Set(std::uint64_t version, std::string text) {
    m_version = version;
    m_text = std::move(text);
  }

 private:
  std::uint64_t m_version = 0;
  std::string m_text;
};

// Rules as a node holds them: compact JSON without line feeds. `suffix` changes one route, `salt`
// the names of all.
inline std::string RulesOf(std::size_t routes, const std::string& suffix,
                           const std::string& salt = "") {
  std::string text = R"({"budgets":{"retry_share":0.1},"routes":[)";
  for (std::size_t route = 0; route < routes; ++route) {
    const std::string number = std::to_string(StableHash(salt, std::to_string(route)));
    if (route > 0) text += ',';
    text.append(R"({"attempts":2,"host":"open-data.example","id":"r-)").append(number);
    text.append(R"(","idempotent":true,"parts":[{"service":"portail","weight":90},)");
    text.append(R"({"service":"entrepot","weight":10}],"path_prefix":"/)").append(number);
    text.append("/").append(route == routes / 2 ? suffix : "");
    text.append(R"(","priority":"rank-1-1000ms","timeout_ms":2000})");
  }
  return text + R"(],"services":[{"id":"portail"},{"id":"entrepot"}]})";
}

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_AUTO_CONTROL_TESTDOCUMENT_H_
