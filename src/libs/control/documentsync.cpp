#include "control/documentsync.h"

#include <algorithm>
#include <utility>

#include "configuration/textchange.h"
#include "logging/logger.h"

namespace damaskhollow {

namespace {

// Covers the time in which a peer fetches a version while others follow in quick succession.
constexpr std::size_t kRememberedTexts = 8;
// Beyond this size of all remembered texts, in bytes, the oldest ones are dropped.
constexpr std::size_t kRememberedBytes = 4UL * 1024UL * 1024UL;
// A longer change, in bytes, is not sent: a change is a single message, and a message takes up the
// link to its receiver while it is sent. The compressed text goes in parts.
constexpr std::size_t kMaxChangeBytes = 512UL * 1024UL;
// A change must be shorter than the text by this factor to be sent instead of it.
constexpr std::size_t kMinShortening = 2;

wire::TextChange ToMessage(const TextChange& change) {
  wire::TextChange message;
  for (const TextSegment& segment : change.segments) {
    wire::TextSegment& added = *message.add_segments();
    added.set_first_piece(static_cast<std::uint32_t>(segment.first_piece));
    added.set_piece_count(static_cast<std::uint32_t>(segment.piece_count));
    added.set_added(segment.added);
  }
  message.set_result_hash(change.result_hash);
  return message;
}

std::int64_t MillisecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

TextChange FromMessage(const wire::TextChange& message) {
  TextChange change;
  for (const wire::TextSegment& segment : message.segments()) {
    change.segments.push_back({segment.first_piece(), segment.piece_count(), segment.added()});
  }
  change.result_hash = message.result_hash();
  return change;
}

}  // namespace

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
    if (m_plan.IsReadObsolete()) {
      m_reader->Cancel();
      m_plan.OnStoreReadCancelled();
    }
    if (const std::optional<StoreRead> read = m_plan.StoreReadDue(now)) {
      m_plan.OnStoreReadStarted(now, read->wait);
      if (m_document == wire::DOCUMENT_CONFIGURATION) m_metrics.Add(Metric::kStoreReads);
      m_reader->Start(*read);
    }
  }
  RememberHeld();
  if (m_transfer && m_transfer->IsStalled(now)) EndTransfer(true, now);
  if (!m_transfer && m_plan.HighestKnown() > m_plan.Held()) QueryPeer(now);
}

void DocumentSync::QueryPeer(TimePoint now) {
  const std::optional<BackendServerId> peer = m_plan.PeerToQuery(m_random, now);
  if (!peer) return;
  m_transfer.emplace(*peer, m_plan.Held() + 1, now);
  m_requests_whole = false;
  m_record = {m_plan.HighestKnownSince(), now};
  SendQuery();
}

void DocumentSync::SendQuery() {
  wire::Envelope message;
  wire::ConfigurationQuery& query = *message.mutable_configuration_query();
  query.set_version(m_transfer->Version());
  query.set_offset(m_transfer->NextOffset());
  query.set_document(m_document);
  query.set_accepts_compressed(true);
  if (!m_requests_whole) {
    RememberHeld();
    query.set_base_version(m_holder.HeldVersion());
    query.set_base_hash(m_texts.empty() ? 0 : m_texts.back().hash);
  }
  m_send(m_transfer->Peer(), std::move(message));
}

void DocumentSync::RememberHeld() {
  const std::uint64_t version = m_holder.HeldVersion();
  if (version == 0 || (!m_texts.empty() && m_texts.back().version == version)) return;
  m_texts.push_back(
      {version, HashOfText(m_holder.HeldText()), std::string(m_holder.HeldText()), std::nullopt});
  std::size_t bytes = 0;
  for (const HeldText& held : m_texts) bytes += held.text.size();
  while (m_texts.size() > kRememberedTexts || (bytes > kRememberedBytes && m_texts.size() > 1)) {
    bytes -= m_texts.front().text.size();
    m_texts.pop_front();
  }
  m_changes.clear();
}

const wire::TextChange* DocumentSync::FindChange(std::uint64_t base_hash) {
  RememberHeld();
  auto known = m_changes.find(base_hash);
  if (known == m_changes.end()) {
    const auto base = std::find_if(m_texts.begin(), m_texts.end(),
                                   [&](const HeldText& held) { return held.hash == base_hash; });
    if (base == m_texts.end()) return nullptr;
    std::optional<wire::TextChange> change =
        ToMessage(DescribeChange(base->text, m_holder.HeldText()));
    const std::size_t bytes = change->ByteSizeLong();
    const bool is_short = bytes * kMinShortening <= m_holder.HeldText().size();
    if (!is_short || bytes > kMaxChangeBytes) change.reset();
    known = m_changes.emplace(base_hash, std::move(change)).first;
  }
  return known->second ? &*known->second : nullptr;
}

wire::Envelope DocumentSync::AnswerQuery(const wire::ConfigurationQuery& query) {
  wire::Envelope message;
  wire::ConfigurationPart& part = *message.mutable_configuration_part();
  part.set_document(m_document);
  const wire::TextChange* change =
      query.base_version() > 0 && query.offset() == 0 ? FindChange(query.base_hash()) : nullptr;
  if (change != nullptr) {
    part.set_version(m_holder.HeldVersion());
    part.set_base_version(query.base_version());
    *part.mutable_change() = *change;
    return message;
  }
  HeldText* text = query.offset() > 0 ? FindText(query.version()) : nullptr;
  const bool goes_on = text != nullptr;
  if (!goes_on) text = FindText(m_holder.HeldVersion());
  if (text == nullptr) return message;  // Nothing is held.
  const std::string_view compressed =
      query.accepts_compressed() ? Compressed(*text) : std::string_view();
  const DocumentPart held = PartOf(text->version, compressed.empty() ? text->text : compressed,
                                   goes_on ? query.offset() : 0);
  part.set_version(held.version);
  part.set_offset(held.offset);
  part.set_total(held.total);
  part.set_data(held.data.data(), held.data.size());
  if (!compressed.empty()) part.set_uncompressed(text->text.size());
  return message;
}

DocumentSync::HeldText* DocumentSync::FindText(std::uint64_t version) {
  RememberHeld();
  const auto found = std::find_if(m_texts.begin(), m_texts.end(),
                                  [&](const HeldText& held) { return held.version == version; });
  return found == m_texts.end() ? nullptr : &*found;
}

std::string_view DocumentSync::Compressed(HeldText& held) {
  if (!held.compressed) {
    held.compressed = CompressText(held.text);
    if (held.compressed->size() >= held.text.size()) held.compressed->clear();
  }
  return *held.compressed;
}

void DocumentSync::HandlePart(const BackendServerId& peer, const wire::ConfigurationPart& part,
                              TimePoint now) {
  if (!m_transfer || m_transfer->Peer() != peer) return;
  ++m_record.parts;
  m_record.bytes += part.ByteSizeLong();
  m_record.is_change = part.has_change();
  if (part.has_change()) return HandleChange(peer, part, now);
  const DocumentPart arrived{part.version(), part.offset(), part.total(), part.data(),
                             part.uncompressed()};
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
  const std::optional<std::string> text = m_transfer->Text();
  if (text) return FinishTransfer(m_transfer->Version(), *text, now);
  EventLine(LogPart::kConfiguration, LogLevel::kWarning, "document_refused")
      .With("document", DocumentName())
      .With("server", peer.Value())
      .With("version", static_cast<std::int64_t>(m_transfer->Version()))
      .With("detail", "the compressed text is damaged or too long");
  EndTransfer(true, now);
}

void DocumentSync::HandleChange(const BackendServerId& peer, const wire::ConfigurationPart& part,
                                TimePoint now) {
  const bool is_expected = !m_requests_whole && part.version() >= m_transfer->Version();
  const bool fits = is_expected && part.base_version() == m_holder.HeldVersion();
  const std::optional<std::string> text =
      fits ? ApplyChange(m_holder.HeldText(), FromMessage(part.change()), kMaxConfigurationBytes)
           : std::nullopt;
  if (text) return FinishTransfer(part.version(), *text, now);
  EventLine(LogPart::kConfiguration, LogLevel::kWarning, "change_refused")
      .With("document", DocumentName())
      .With("server", peer.Value())
      .With("version", static_cast<std::int64_t>(part.version()))
      .With("base_version", static_cast<std::int64_t>(part.base_version()))
      .With("detail", fits ? "does not apply to the held text" : "unexpected version");
  // A second change in one transfer shows that the peer cannot send the whole document.
  if (m_requests_whole) return EndTransfer(true, now);
  m_requests_whole = true;
  SendQuery();
}

void DocumentSync::FinishTransfer(std::uint64_t version, std::string_view text, TimePoint now) {
  const OfferResult result = m_holder.OfferDocument(version, text, DocumentSource::kPeer,
                                                    "peer " + m_transfer->Peer().Value());
  const bool is_bad = result == OfferResult::kInvalid;
  if (!is_bad) m_plan.RecordHeld(version);
  EndTransfer(is_bad, now);
}

void DocumentSync::EndTransfer(bool failed, TimePoint now) {
  LogTransfer(failed, now);
  if (failed) m_plan.OnPeerFailed(m_transfer->Peer(), now);
  m_transfer.reset();
}

void DocumentSync::LogTransfer(bool failed, TimePoint now) const {
  // The VM list changes with every server that warms up.
  const bool is_rare = m_document == wire::DOCUMENT_CONFIGURATION;
  EventLine(LogPart::kConfiguration, is_rare ? LogLevel::kInfo : LogLevel::kDebug,
            "document_transfer")
      .With("document", DocumentName())
      .With("server", m_transfer->Peer().Value())
      .With("version", static_cast<std::int64_t>(m_transfer->Version()))
      .With("outcome", failed ? "failed" : "ended")
      .With("form", m_record.is_change ? "change" : "whole")
      .With("parts", static_cast<std::int64_t>(m_record.parts))
      .With("bytes", static_cast<std::int64_t>(m_record.bytes))
      .With("waited_ms", MillisecondsBetween(m_record.known_since, m_record.started))
      .With("took_ms", MillisecondsBetween(m_record.started, now));
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

void DocumentSync::OnEvacuationsRead(const EvacuationSet& evacuations) {
  if (m_handle_evacuations) m_handle_evacuations(evacuations);
}

}  // namespace damaskhollow
