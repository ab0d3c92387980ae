#include "control/vmlistholder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "configuration/documentversion.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

constexpr std::chrono::seconds kSuspectListInterval{10};

}  // namespace

OfferResult VmListHolder::OfferDocument(std::uint64_t version, std::string_view text,
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
  LogRefusedEntries(list->refused, version);
  m_version = version;
  m_text = std::string(text);
  m_last_offer = MonotonicNow();
  if (list->inventory) {
    list->epoch = PositionOf(version).epoch;
    m_on_inventory(std::move(*list));
  } else {
    m_entries = std::move(list->entries);
    if (m_membership.OfferList(m_entries) == FleetView::ListResult::kSuspect) {
      EventLine(LogPart::kFleet, LogLevel::kWarning, "vm_list_doubted")
          .With("version", static_cast<std::int64_t>(version));
    }
  }
  m_changed();
  return OfferResult::kAccepted;
}

void VmListHolder::LogRefusedEntries(const std::vector<std::string>& refused,
                                     std::uint64_t version) {
  const std::vector<std::string> known = std::exchange(m_refused, refused);
  for (const std::string& id : refused) {
    if (std::find(known.begin(), known.end(), id) != known.end()) continue;
    EventLine(LogPart::kFleet, LogLevel::kWarning, "vm_list_entry_refused")
        .With("server", id)
        .With("version", static_cast<std::int64_t>(version))
        .With("detail", "missing, invalid or duplicate field");
  }
}

void VmListHolder::Tick(TimePoint now, bool is_source_reachable) {
  if (!is_source_reachable || now - m_last_offer < kSuspectListInterval) return;
  if (!m_membership.IsListSuspect()) return;
  m_last_offer = now;
  m_membership.OfferList(m_entries);
  m_changed();
}

}  // namespace damaskhollow
