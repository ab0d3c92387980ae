#ifndef DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_
#define DAMASKHOLLOW_CONFIGURATION_PARTTRANSFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace damaskhollow {

// Size of the parts in which peers hand documents on, in bytes.
inline constexpr std::size_t kPartBytes = 64UL * 1024UL;

// One part of a document.
struct DocumentPart {
  std::uint64_t version = 0;
  std::size_t offset = 0;
  std::size_t total = 0;
  std::string_view data;
};

// The part of `text` that begins at `offset`; empty data beyond its end.
DocumentPart PartOf(std::uint64_t version, std::string_view text, std::size_t offset);

// Collects a document from one peer, part by part.
class PartTransfer {
 public:
  // What the arrival of a part calls for.
  enum class Progress { kRequestNext, kComplete, kFailed, kIgnored };

  PartTransfer(BackendServerId peer, std::uint64_t version, TimePoint now);

  // Adds a part. A peer that has gone on to a higher version answers with its first part; the
  // transfer then starts over with that version.
  Progress Add(const DocumentPart& part, TimePoint now);

  // Whether the peer has sent nothing for longer than it may.
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
