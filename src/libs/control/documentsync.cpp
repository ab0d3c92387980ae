#include "control/documentsync.h"

#include <algorithm>
#include <utility>

#include "logging/logger.h"

namespace damaskhollow {

DocumentSync::DocumentSync(wire::Document document, const FleetNode& self,
                           const MakeDocumentReader& make_reader, DocumentHolder& holder,
                           MetricsRegistry& metrics, SendFunction send)
    : m_document(document),
      m_holder(holder),
      m_metrics(metrics),
      m_send(std::move(send)),
      m_random(SystemSeed()),
      m_plan(self) {
  if (make_reader) m_reader = make_reader(*this);
}

void DocumentSync::Tick(TimePoint now) {
  if (m_reader) {
    if (const std::optional<StoreRead> read = m_plan.StoreReadDue(now)) {
      m_plan.OnStoreReadStarted(now, read->wait);
      if (m_document == wire::DOCUMENT_CONFIGURATION) m_metrics.Add(Metric::kStoreReads);
      m_reader->Start(*read);
    }
  }
  if (m_transfer && m_transfer->IsStalled(now)) EndTransfer(true, now);
  if (!m_transfer && m_plan.HighestKnown() > m_plan.Held()) QueryPeer(now);
}

void DocumentSync::QueryPeer(TimePoint now) {
  const std::optional<BackendServerId> peer = m_plan.PeerToQuery(m_random, now);
  if (!peer) return;
  m_transfer.emplace(*peer, m_plan.Held() + 1, now);
  SendQuery();
}

void DocumentSync::SendQuery() {
  wire::Envelope message;
  wire::ConfigurationQuery& query = *message.mutable_configuration_query();
  query.set_version(m_transfer->Version());
  query.set_offset(m_transfer->NextOffset());
  query.set_document(m_document);
  m_send(m_transfer->Peer(), std::move(message));
}

wire::Envelope DocumentSync::AnswerQuery(const wire::ConfigurationQuery& query) const {
  const bool is_same = query.version() == m_holder.HeldVersion();
  const DocumentPart held =
      PartOf(m_holder.HeldVersion(), m_holder.HeldText(), is_same ? query.offset() : 0);
  wire::Envelope message;
  wire::ConfigurationPart& part = *message.mutable_configuration_part();
  part.set_document(m_document);
  part.set_version(held.version);
  part.set_offset(held.offset);
  part.set_total(held.total);
  part.set_data(held.data.data(), held.data.size());
  return message;
}

void DocumentSync::HandlePart(const BackendServerId& peer, const wire::ConfigurationPart& part,
                              TimePoint now) {
  if (!m_transfer || m_transfer->Peer() != peer) return;
  const DocumentPart arrived{part.version(), part.offset(), part.total(), part.data()};
  switch (m_transfer->Add(arrived, now)) {
    case PartTransfer::Progress::kIgnored:
      return;
    case PartTransfer::Progress::kRequestNext:
      return SendQuery();
    case PartTransfer::Progress::kFailed:
      return EndTransfer(true, now);
    case PartTransfer::Progress::kComplete:
      break;
  }
  const OfferResult result = m_holder.OfferDocument(m_transfer->Version(), m_transfer->Text(),
                                                    DocumentSource::kPeer, "peer " + peer.Value());
  const bool is_bad = result == OfferResult::kInvalid;
  if (!is_bad) m_plan.RecordHeld(m_transfer->Version());
  EndTransfer(is_bad, now);
}

void DocumentSync::EndTransfer(bool failed, TimePoint now) {
  if (failed) m_plan.OnPeerFailed(m_transfer->Peer(), now);
  m_transfer.reset();
}

void DocumentSync::OnPlatformChanged(std::uint64_t version, std::string_view text) {
  OnStoreAnswered();
  if (m_is_store_across_paid_link) m_metrics.Add(Metric::kControlPaidLinkBytes, text.size());
  const bool is_new = version > m_store_version;
  m_store_version = std::max(m_store_version, version);
  if (version > 0) {
    const OfferResult result =
        m_holder.OfferDocument(version, text, DocumentSource::kStore, "service");
    if (result == OfferResult::kInvalid) {
      m_plan.RecordStoreVersion(version);
    } else {
      m_plan.RecordHeld(version);
    }
  }
  const TimePoint now = MonotonicNow();
  if (is_new) return m_plan.OnStoreReadChanged(now);
  m_plan.OnStoreReadUnchanged(now);
}

std::string_view DocumentSync::DocumentName() const {
  return m_document == wire::DOCUMENT_CONFIGURATION ? "configuration" : "vm_list";
}

void DocumentSync::OnStoreAnswered() {
  if (m_store_failure.empty()) return;
  m_store_failure.clear();
  EventLine(LogPart::kConfiguration, LogLevel::kInfo, "store_back")
      .With("document", DocumentName());
}

void DocumentSync::OnPlatformUnchanged() {
  OnStoreAnswered();
  m_plan.OnStoreReadUnchanged(MonotonicNow());
}

void DocumentSync::OnPlatformFailed(std::string_view detail) {
  if (m_store_failure.empty()) {
    EventLine(LogPart::kConfiguration, LogLevel::kWarning, "store_lost")
        .With("document", DocumentName())
        .With("detail", detail);
  }
  m_store_failure = detail;
  m_plan.OnStoreReadFailed(m_random, MonotonicNow());
}

}  // namespace damaskhollow
