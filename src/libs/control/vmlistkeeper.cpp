#include "control/vmlistkeeper.h"

#include <optional>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kDoubtInterval{10};

}  // namespace

OfferResult VmListKeeper::OfferDocument(std::uint64_t version, std::string_view text,
                                        DocumentSource, std::string_view name) {
  if (version == m_version) return OfferResult::kUnchanged;
  if (version < m_version) return OfferResult::kOlder;
  std::optional<VmList> list = ParseVmList(text);
  if (!list) {
    EventLine(LogPart::kFleet, LogLevel::kWarning, "vm_list_refused")
        .With("version", static_cast<std::int64_t>(version))
        .With("source", name);
    return OfferResult::kInvalid;
  }
  m_version = version;
  m_text = std::string(text);
  m_last_note = MonotonicNow();
  if (list->inventory) {
    m_take_inventory(std::move(*list));
  } else {
    m_entries = std::move(list->entries);
    if (m_membership.NoteList(m_entries) == FleetView::ListResult::kDoubted) {
      EventLine(LogPart::kFleet, LogLevel::kWarning, "vm_list_doubted")
          .With("version", static_cast<std::int64_t>(version));
    }
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
