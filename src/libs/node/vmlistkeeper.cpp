#include "node/vmlistkeeper.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <optional>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kDoubtInterval{10};

// The entries of a list; empty if the text is not a list of this protocol.
std::optional<std::vector<VmEntry>> ParseList(std::string_view text) {
  const QJsonDocument document =
      QJsonDocument::fromJson(QByteArray(text.data(), static_cast<qsizetype>(text.size())));
  const QJsonValue vms = document.object().value("vms");
  if (!vms.isArray()) return std::nullopt;
  std::vector<VmEntry> entries;
  for (const QJsonValue value : vms.toArray()) {
    const QString id = value.toObject().value("id").toString();
    const QString state = value.toObject().value("state").toString();
    if (id.isEmpty() || (state != "live" && state != "leaving")) return std::nullopt;
    entries.push_back({BackendServerId(id.toStdString()), state == "leaving"});
  }
  return entries;
}

}  // namespace

OfferResult VmListKeeper::OfferDocument(std::uint64_t version, std::string_view text,
                                        DocumentSource, std::string_view name) {
  if (version == m_version) return OfferResult::kUnchanged;
  if (version < m_version) return OfferResult::kOlder;
  std::optional<std::vector<VmEntry>> entries = ParseList(text);
  if (!entries) {
    DAMASKHOLLOW_LOG(kFleet, kWarning) << "VM list version " << version << " from " << name
                                       << " is not valid; the last one is kept";
    return OfferResult::kInvalid;
  }
  m_version = version;
  m_text = std::string(text);
  m_entries = std::move(*entries);
  m_last_note = MonotonicNow();
  if (m_membership.NoteList(m_entries) == FleetView::ListResult::kDoubted) {
    DAMASKHOLLOW_LOG(kFleet, kWarning)
        << "VM list version " << version << " is empty or shrank by more than half; kept aside";
  }
  m_changed();
  return OfferResult::kAccepted;
}

void VmListKeeper::Tick(TimePoint now, bool source_answers) {
  if (!source_answers || now - m_last_note < kDoubtInterval) return;
  if (!m_membership.IsListDoubted()) return;
  m_last_note = now;
  m_membership.NoteList(m_entries);
  m_changed();
}

}  // namespace damaskhollow
