#ifndef DAMASKHOLLOW_CONTROL_DOCUMENTSYNC_H_
#define DAMASKHOLLOW_CONTROL_DOCUMENTSYNC_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/randomsource.h"
#include "base/time.h"
#include "configuration/fetchplan.h"
#include "configuration/parttransfer.h"
#include "configuration/platformreader.h"
#include "configuration/versionguard.h"
#include "metrics/metricsregistry.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// The source of a received document: the platform's service or a peer.
enum class DocumentSource { kStore, kPeer };

// Interface to the node's copy of one platform document (the configuration or the VM list).
class DocumentHolder {
 public:
  virtual ~DocumentHolder() = default;

  virtual std::uint64_t HeldVersion() const = 0;
  virtual std::string_view HeldText() const = 0;

  // Offers a version that was read. `name` describes the source in logs and the status.
  virtual OfferResult OfferDocument(std::uint64_t version, std::string_view text,
                                    DocumentSource source, std::string_view name) = 0;
};

// Keeps one document up to date by reading the platform's service and fetching it from peers. Used
// by ControlService on the main thread.
class DocumentSync : public PlatformEvents {
 public:
  using SendFunction = std::function<void(const BackendServerId& peer, wire::Envelope message)>;
  using EvacuationsFunction = std::function<void(const EvacuationSet& evacuations)>;

  // If `make_reader` is empty, the service is not read and the document comes from peers only.
  DocumentSync(wire::Document document, const FleetNode& self,
               const MakeDocumentReader& make_reader, DocumentHolder& holder,
               MetricsRegistry& metrics, SendFunction send);

  FetchPlan& Plan() { return m_plan; }
  const FetchPlan& Plan() const { return m_plan; }

  // Sets whether the service is across the paid link; its responses then count as traffic on it.
  void SetStoreAcrossPaidLink(bool is_far) { m_is_store_across_paid_link = is_far; }

  // Sets the function that gets the evacuated data centres that the reader reports.
  void SetEvacuationsFunction(EvacuationsFunction handle) {
    m_handle_evacuations = std::move(handle);
  }

  // Starts the reads and transfers that are due.
  void Tick(TimePoint now);

  // Builds the reply to a peer's query: a part of the held version, or its change against the
  // version that the peer holds if that is shorter. A transfer that has begun goes on with its
  // version as long as that is remembered, because versions may follow each other more quickly than
  // a long document can be transferred.
  wire::Envelope AnswerQuery(const wire::ConfigurationQuery& query);

  // Adds a part received from `peer` to the running transfer; ignored if none runs from that peer.
  void HandlePart(const BackendServerId& peer, const wire::ConfigurationPart& part, TimePoint now);

  // Returns the failure of the last read of the service; empty if it succeeded.
  const std::string& StoreFailure() const { return m_store_failure; }

 private:
  void OnPlatformChanged(std::uint64_t version, std::string_view text) override;
  void OnPlatformUnchanged() override;
  void OnPlatformFailed(std::string_view detail) override;
  void OnEvacuationsRead(const EvacuationSet& evacuations) override;

  // A version that this node holds or held before.
  struct HeldText {
    std::uint64_t version = 0;
    std::uint64_t hash = 0;
    std::string text;
    std::optional<std::string> compressed;  // Made for the first peer that accepts it.
  };

  // What the log line of a transfer tells.
  struct TransferRecord {
    TimePoint known_since{};  // When this node learned of the highest version known at the start.
    TimePoint started{};
    std::size_t parts = 0;
    std::size_t bytes = 0;
    bool is_change = false;  // Whether the last part was a change of the held text.
  };

  std::string_view DocumentName() const;
  // Keeps the held version, so that peers which still hold it can be sent later changes of it.
  void RememberHeld();
  // Returns the remembered text of a version; null if there is none.
  HeldText* FindText(std::uint64_t version);
  // Returns the compressed text; empty if it is not shorter than the text.
  static std::string_view Compressed(HeldText& held);
  // Returns the held text as a change of the text with the given hash; null if that text is not
  // known or the change is not much shorter than the text. The hash identifies a base, because
  // readers may give different versions to the same text.
  const wire::TextChange* FindChange(std::uint64_t base_hash);
  // Applies a change to the held text and offers the result to the holder.
  void HandleChange(const BackendServerId& peer, const wire::ConfigurationPart& part,
                    TimePoint now);
  void FinishTransfer(std::uint64_t version, std::string_view text, TimePoint now);
  void OnStoreAnswered();
  void QueryPeer(TimePoint now);
  void SendQuery();
  void EndTransfer(bool failed, TimePoint now);
  // Logs how the running transfer ended, with the times that show which step was slow.
  void LogTransfer(bool failed, TimePoint now) const;

  const wire::Document m_document;
  DocumentHolder& m_holder;
  MetricsRegistry& m_metrics;
  SendFunction m_send;
  EvacuationsFunction m_handle_evacuations;
  RandomSource m_random;
  FetchPlan m_plan;
  std::unique_ptr<DocumentReader> m_reader;
  std::optional<PartTransfer> m_transfer;
  TransferRecord m_record;        // Of the running transfer.
  bool m_requests_whole = false;  // Whether the running transfer must not be answered by a change.
  std::deque<HeldText> m_texts;   // Oldest first.
  // Changes of remembered texts to the held one by the hash of the base, in the form in which they
  // are sent. Empty if the change is not much shorter than the text.
  std::map<std::uint64_t, std::optional<wire::TextChange>> m_changes;
  std::uint64_t m_store_version = 0;  // Highest version read from the service.
  bool m_is_store_across_paid_link = false;
  std::string m_store_failure;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONTROL_DOCUMENTSYNC_H_
