#ifndef DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_
#define DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Size of the parts in which peers transfer documents, in bytes.
inline constexpr std::size_t kPartBytes = 64UL * 1024UL;

// One part of a document. `offset` and `total`, the size of the whole document, are in bytes.
struct DocumentPart {
  std::uint64_t version = 0;
  std::size_t offset = 0;
  std::size_t total = 0;
  std::string_view data;
};

// Returns the part of `text` that starts at `offset`; its data is empty if `offset` is past the
// end.
DocumentPart PartOf(std::uint64_t version, std::string_view text, std::size_t offset);

// Assembles a document that is fetched from one peer in parts.
class PartTransfer {
 public:
  // The result of adding a part.
  enum class Progress { kRequestNext, kComplete, kFailed, kIgnored };

  PartTransfer(BackendServerId peer, std::uint64_t version, TimePoint now);

  // Adds a received part. A peer that meanwhile holds a higher version replies with the first part
  // of that one; the transfer then restarts with it.
  Progress Add(const DocumentPart& part, TimePoint now);

  // Whether the peer has sent no usable part within the stall timeout.
  bool IsStalled(TimePoint now) const;

  const BackendServerId& Peer() const { return m_peer; }
  std::uint64_t Version() const { return m_version; }
  std::size_t NextOffset() const { return m_text.size(); }
  const std::string& Text() const { return m_text; }

 private:
  BackendServerId m_peer;
  std::uint64_t m_version;
  std::string m_text;
  TimePoint m_last_progress;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_
