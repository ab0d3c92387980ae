#ifndef DAMASKHOLLOW_CONTROL_CONFIGURATIONHOLDER_H_
#define DAMASKHOLLOW_CONTROL_CONFIGURATIONHOLDER_H_

#include <QDateTime>
#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>

#include "configuration/versionguard.h"
#include "control/documentsync.h"

namespace damaskhollow {

// Holds the configuration in force and puts accepted versions into force. A node that has none
// keeps what the service gives as a candidate until its peers have been asked.
class ConfigurationHolder : public DocumentHolder {
 public:
  using ApplyFunction =
      std::function<void(const std::shared_ptr<const Declaration>&, std::uint64_t version)>;

  ConfigurationHolder(MetricsRegistry& metrics, ApplyFunction apply);

  std::uint64_t HeldVersion() const override { return m_guard.Version(); }
  std::string_view HeldText() const override { return m_guard.Text(); }
  OfferResult OfferDocument(std::uint64_t version, std::string_view text, DocumentSource source,
                            std::string_view name) override;

  // Null if there is no candidate.
  std::shared_ptr<const Declaration> Candidate() const { return m_candidate.Current(); }
  std::uint64_t CandidateVersion() const { return m_candidate.Version(); }
  void ApplyCandidate();

  // Reads the declaration file. Its versions are a counter of its changes since the start of the
  // process. Fails with the first failure if it is not usable.
  Result<void> LoadFile(const std::string& path);

  // Reads the file again if it has changed since it was last read.
  void CheckFile();

  // Version in force and refused ones with their reasons.
  QJsonObject Status() const;

 private:
  OfferResult Offer(std::uint64_t version, std::string_view text, std::string_view source);

  MetricsRegistry& m_metrics;
  ApplyFunction m_apply;
  VersionGuard m_guard;
  VersionGuard m_candidate;
  std::string m_source;  // Of the version in force.
  std::string m_file;
  QDateTime m_file_time;
  qint64 m_file_size = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_CONFIGURATIONHOLDER_H_
