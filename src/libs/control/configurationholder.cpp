#include "control/configurationholder.h"

#include <QFile>
#include <QFileInfo>
#include <QJsonArray>
#include <utility>

#include "base/time.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

QJsonObject ToJson(const RefusedVersion& refused) {
  QJsonArray reasons;
  for (const Failure& failure : refused.failures) {
    reasons.append(QString::fromStdString(Describe(failure)));
  }
  QJsonObject json;
  json.insert("version", static_cast<qint64>(refused.version));
  json.insert("source", QString::fromStdString(refused.source));
  json.insert("times", static_cast<qint64>(refused.times));
  json.insert("reasons", reasons);
  return json;
}

}  // namespace

ConfigurationHolder::ConfigurationHolder(MetricsRegistry& metrics, ApplyFunction apply)
    : m_metrics(metrics), m_apply(std::move(apply)) {}

OfferResult ConfigurationHolder::OfferDocument(std::uint64_t version, std::string_view text,
                                               DocumentSource source, std::string_view name) {
  if (m_guard.Version() > 0 || source == DocumentSource::kPeer) return Offer(version, text, name);
  const OfferResult result = m_candidate.Offer(version, text, name);
  return result == OfferResult::kInvalid ? Offer(version, text, name) : result;
}

OfferResult ConfigurationHolder::Offer(std::uint64_t version, std::string_view text,
                                       std::string_view source) {
  const TimePoint start = MonotonicNow();
  const OfferResult result = m_guard.Offer(version, text, source);
  m_metrics.Set(Metric::kConfigurationRefused, m_guard.RefusedCount());
  if (result == OfferResult::kInvalid) {
    EventLine(LogPart::kConfiguration, LogLevel::kWarning, "configuration_refused")
        .With("version", static_cast<std::int64_t>(version))
        .With("source", source)
        .With("detail", Describe(m_guard.Refused().back().failures.front()));
  }
  if (result != OfferResult::kAccepted) return result;
  m_source = std::string(source);
  EventLine(LogPart::kConfiguration, LogLevel::kInfo, "configuration_accepted")
      .With("version", static_cast<std::int64_t>(version))
      .With("source", source)
      .With("check_us",
            std::chrono::duration_cast<std::chrono::microseconds>(MonotonicNow() - start).count());
  m_apply(m_guard.Current(), version);
  return result;
}

void ConfigurationHolder::ApplyCandidate() {
  const VersionGuard candidate = std::exchange(m_candidate, VersionGuard());
  Offer(candidate.Version(), candidate.Text(), "service");
}

Result<void> ConfigurationHolder::LoadFile(const std::string& path) {
  m_file = path;
  QFile file(QString::fromStdString(path));
  const QFileInfo info(file);
  m_file_time = info.lastModified();
  m_file_size = info.size();
  if (!file.open(QIODevice::ReadOnly)) {
    return Failure{FailureCode::kFileUnreadable, path, file.errorString().toStdString()};
  }
  const QByteArray text = file.readAll();
  if (text.toStdString() == m_guard.Text()) return BOOST_OUTCOME_V2_NAMESPACE::success();
  const OfferResult result =
      Offer(m_guard.Version() + 1, {text.constData(), static_cast<std::size_t>(text.size())}, path);
  if (result == OfferResult::kInvalid) return m_guard.Refused().back().failures.front();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ConfigurationHolder::CheckFile() {
  if (m_file.empty()) return;
  const QFileInfo info(QString::fromStdString(m_file));
  if (!info.exists()) return;
  if (info.lastModified() == m_file_time && info.size() == m_file_size) return;
  if (const Result<void> result = LoadFile(m_file); !result) {
    EventLine(LogPart::kConfiguration, LogLevel::kWarning, "configuration_refused")
        .With("source", m_file)
        .With("detail", Describe(result.error()));
  }
}

QJsonObject ConfigurationHolder::Status() const {
  QJsonArray refused;
  for (const RefusedVersion& entry : m_guard.Refused()) refused.append(ToJson(entry));
  QJsonObject json;
  json.insert("version", static_cast<qint64>(m_guard.Version()));
  json.insert("source", QString::fromStdString(m_source));
  json.insert("refused", refused);
  return json;
}

}  // namespace damaskhollow
