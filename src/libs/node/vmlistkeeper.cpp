#include "node/vmlistkeeper.h"

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
    DAMASKHOLLOW_LOG(kFleet, kWarning) << "VM list version " << version << " from " << name
                                       << " is not valid; the last one is kept";
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
      DAMASKHOLLOW_LOG(kFleet, kWarning)
          << "VM list version " << version << " is empty or shrank by more than half; kept aside";
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
