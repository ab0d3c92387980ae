#ifndef DAMASKHOLLOW_CONTROL_VMLISTHOLDER_H_
#define DAMASKHOLLOW_CONTROL_VMLISTHOLDER_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/vmlist.h"
#include "control/documentsync.h"
#include "control/membership.h"

namespace damaskhollow {

// Holds the node's copy of the VM list and passes it to the membership view. Used by ControlService
// on the main thread.
class VmListHolder : public DocumentHolder {
 public:
  using InventoryFunction = std::function<void(VmList list)>;

  // `on_inventory` receives each list that is a live inventory; such a list is not passed to
  // `membership` here. `changed` is called after each list that was accepted or held as suspect.
  VmListHolder(Membership& membership, InventoryFunction on_inventory,
               std::function<void()> changed)
      : m_membership(membership),
        m_on_inventory(std::move(on_inventory)),
        m_changed(std::move(changed)) {}

  std::uint64_t HeldVersion() const override { return m_version; }
  std::string_view HeldText() const override { return m_text; }
  OfferResult OfferDocument(std::uint64_t version, std::string_view text, DocumentSource source,
                            std::string_view name) override;

  // Offers a suspect list to the membership view again every 10 s while `is_source_reachable`, so
  // that the view can confirm it.
  void Tick(TimePoint now, bool is_source_reachable);

 private:
  // Logs the entries that were refused and were not in the last list.
  void LogRefusedEntries(const std::vector<std::string>& refused, std::uint64_t version);

  Membership& m_membership;
  InventoryFunction m_on_inventory;
  std::function<void()> m_changed;
  std::uint64_t m_version = 0;
  std::string m_text;
  std::vector<VmEntry> m_entries;
  std::vector<std::string> m_refused;  // Refused entries of the last list.
  TimePoint m_last_offer{};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_VMLISTHOLDER_H_
