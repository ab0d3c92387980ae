#include "owner/retransmitcache.h"

#include <utility>

namespace damaskhollow {

namespace {

// The head counts too, as it may be much larger than the data.
std::size_t SizeOf(const wire::ResponseChunk& chunk) { return chunk.ByteSizeLong(); }

}  // namespace

void RetransmitBuffer::Add(const wire::ResponseChunk& chunk) {
  bytes += SizeOf(chunk);
  chunks.push_back(chunk);
}

void RetransmitBuffer::OnCredit(std::size_t credited) {
  m_credited += credited;
  // Credit for any byte implies that the empty chunks before it have arrived.
  while (m_credited > 0 && !chunks.empty() && !chunks.front().last() &&
         m_credited >= chunks.front().data().size()) {
    m_credited -= chunks.front().data().size();
    bytes -= SizeOf(chunks.front());
    chunks.pop_front();
  }
}

std::vector<wire::Envelope> RetransmitBuffer::MessagesFrom(std::uint32_t next_sequence) const {
  std::vector<wire::Envelope> messages;
  for (const wire::ResponseChunk& chunk : chunks) {
    if (chunk.sequence() < next_sequence) continue;
    // A gap at the start would leave the response incomplete, so nothing is sent.
    if (messages.empty() && chunk.sequence() != next_sequence) break;
    *messages.emplace_back().mutable_response_chunk() = chunk;
  }
  return messages;
}

void RetransmitCache::Store(const CallKey& key, RetransmitBuffer buffer, TimePoint now) {
  if (buffer.bytes > m_max_bytes || m_entries.contains(key)) return;
  m_bytes += buffer.bytes;
  const auto position = m_oldest_first.insert(m_oldest_first.end(), key);
  m_entries.emplace(key, Entry{std::move(buffer), now, position});
  while (m_bytes > m_max_bytes) EvictOldest();
}

void RetransmitCache::EvictExpired(TimePoint now) {
  while (!m_oldest_first.empty() &&
         now - m_entries.at(m_oldest_first.front()).stored_at > m_max_age) {
    EvictOldest();
  }
}

const RetransmitBuffer* RetransmitCache::Find(const CallKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second.buffer;
}

void RetransmitCache::EvictOldest() {
  const auto found = m_entries.find(m_oldest_first.front());
  m_bytes -= found->second.buffer.bytes;
  m_entries.erase(found);
  m_oldest_first.pop_front();
}

}  // namespace damaskhollow
