#include "configuration/parttransfer.h"

#include <zlib.h>

#include <utility>

#include "configuration/versionguard.h"

namespace damaskhollow {

namespace {

// Longer than a part takes on a paid link under load: 64 KB at 30 Mbit/s take 18 ms.
constexpr std::chrono::milliseconds kStallTimeout{1000};

}  // namespace

DocumentPart PartOf(std::uint64_t version, std::string_view content, std::size_t offset) {
  DocumentPart part{version, offset, content.size(), {}, 0};
  if (offset < content.size()) part.data = content.substr(offset, kPartBytes);
  return part;
}

std::string CompressText(std::string_view text) {
  uLongf size = compressBound(text.size());
  std::string data(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(data.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(), Z_BEST_SPEED);
  data.resize(result == Z_OK ? size : 0);
  return data;
}

std::optional<std::string> UncompressText(std::string_view data, std::size_t size) {
  if (size > kMaxConfigurationBytes) return std::nullopt;
  std::string text(size, '\0');
  uLongf written = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &written,
                                reinterpret_cast<const Bytef*>(data.data()), data.size());
  if (result != Z_OK || written != size) return std::nullopt;
  return text;
}

PartTransfer::PartTransfer(BackendServerId peer, std::uint64_t version, TimePoint now)
    : m_peer(std::move(peer)), m_version(version), m_last_progress(now) {}

PartTransfer::Progress PartTransfer::Add(const DocumentPart& part, TimePoint now) {
  if (part.total > kMaxConfigurationBytes || part.version < m_version) return Progress::kFailed;
  if (part.version > m_version) {
    if (part.offset != 0) return Progress::kIgnored;
    m_version = part.version;
    m_content.clear();
  }
  if (m_content.empty()) m_uncompressed = part.uncompressed;
  if (part.uncompressed != m_uncompressed) return Progress::kFailed;
  if (part.offset != m_content.size()) return Progress::kIgnored;
  if (part.data.empty() && part.total > m_content.size()) return Progress::kFailed;
  if (m_content.size() + part.data.size() > part.total) return Progress::kFailed;
  m_content += part.data;
  m_last_progress = now;
  return m_content.size() == part.total ? Progress::kComplete : Progress::kRequestNext;
}

std::optional<std::string> PartTransfer::Text() const {
  if (m_uncompressed == 0) return m_content;
  return UncompressText(m_content, m_uncompressed);
}

bool PartTransfer::IsStalled(TimePoint now) const { return now - m_last_progress > kStallTimeout; }

}  // namespace damaskhollow
