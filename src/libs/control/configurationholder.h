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

// Holds the active configuration and activates accepted versions. While the node has none, a
// version read from the service is held as a candidate until the peers have been queried for a
// newer one. Used by ControlService on the main thread.
class ConfigurationHolder : public DocumentHolder {
 public:
  using ApplyFunction =
      std::function<void(const std::shared_ptr<const Declaration>&, std::uint64_t version)>;

  ConfigurationHolder(MetricsRegistry& metrics, ApplyFunction apply);

  std::uint64_t HeldVersion() const override { return m_guard.Version(); }
  std::string_view HeldText() const override { return m_guard.Text(); }
  OfferResult OfferDocument(std::uint64_t version, std::string_view text, DocumentSource source,
                            std::string_view name) override;

  // Returns the candidate's declaration, or null if there is no candidate.
  std::shared_ptr<const Declaration> Candidate() const { return m_candidate.Current(); }
  std::uint64_t CandidateVersion() const { return m_candidate.Version(); }
  // Activates the candidate and clears it.
  void ApplyCandidate();

  // Reads and activates the declaration file. Its version number counts the changes of the file
  // since the process started. Returns the first failure if the file is unreadable or invalid.
  Result<void> LoadFile(const std::string& path);

  // Reloads the declaration file if its size or modification time has changed since the last read.
  void CheckFile();

  // Returns the active version, its source and the recently rejected versions with their reasons.
  QJsonObject Status() const;

 private:
  OfferResult Offer(std::uint64_t version, std::string_view text, std::string_view source);

  MetricsRegistry& m_metrics;
  ApplyFunction m_apply;
  VersionGuard m_guard;
  VersionGuard m_candidate;
  std::string m_source;  // Of the active version.
  std::string m_file;
  QDateTime m_file_time;
  qint64 m_file_size = 0;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_CONFIGURATIONHOLDER_H_
