#ifndef DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_
#define DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Size of the parts in which peers transfer documents, in bytes.
inline constexpr std::size_t kPartBytes = 64UL * 1024UL;

// One part of a document. `offset` and `total`, the size of all parts together, are in bytes.
struct DocumentPart {
  std::uint64_t version = 0;
  std::size_t offset = 0;
  std::size_t total = 0;
  std::string_view data;
  // If not 0, the parts together are the compressed document, and this is its size in bytes.
  std::size_t uncompressed = 0;
};

// Returns the part of `content` that starts at `offset`; its data is empty if `offset` is past the
// end.
DocumentPart PartOf(std::uint64_t version, std::string_view content, std::size_t offset);

// Returns `text` compressed. The result is the same for the same text. Empty if zlib fails.
std::string CompressText(std::string_view text);

// Returns the text of `size` bytes that CompressText made `data` of. Empty if `data` is damaged or
// yields another size, or if the size is over kMaxConfigurationBytes.
std::optional<std::string> UncompressText(std::string_view data, std::size_t size);

// Assembles a document that is fetched from one peer in parts.
class PartTransfer {
 public:
  // The result of adding a part.
  enum class Progress { kRequestNext, kComplete, kFailed, kIgnored };

  PartTransfer(BackendServerId peer, std::uint64_t version, TimePoint now);

  // Adds a received part. A peer that no longer has the version replies with the first part of a
  // higher one; the transfer then restarts with it.
  Progress Add(const DocumentPart& part, TimePoint now);

  // Whether the peer has sent no usable part within the stall timeout.
  bool IsStalled(TimePoint now) const;

  const BackendServerId& Peer() const { return m_peer; }
  std::uint64_t Version() const { return m_version; }
  std::size_t NextOffset() const { return m_content.size(); }

  // Returns the document once all parts have arrived. Empty if it cannot be uncompressed.
  std::optional<std::string> Text() const;

 private:
  BackendServerId m_peer;
  std::uint64_t m_version;
  std::string m_content;           // The parts that have arrived.
  std::size_t m_uncompressed = 0;  // As in DocumentPart.
  TimePoint m_last_progress;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_
