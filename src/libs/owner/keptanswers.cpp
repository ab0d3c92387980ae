#include "owner/keptanswers.h"

#include <utility>

namespace damaskhollow {

namespace {

// The memory of a chunk counts with its head, which may be much larger than its data.
std::size_t SizeOf(const wire::ResponseChunk& chunk) { return chunk.ByteSizeLong(); }

}  // namespace

void AnswerTail::Add(const wire::ResponseChunk& chunk) {
  bytes += SizeOf(chunk);
  chunks.push_back(chunk);
}

void AnswerTail::NoteCredit(std::size_t credited) {
  m_credited += credited;
  // Any credit shows that the empty chunks before the credited bytes have arrived.
  while (m_credited > 0 && !chunks.empty() && !chunks.front().last() &&
         m_credited >= chunks.front().data().size()) {
    m_credited -= chunks.front().data().size();
    bytes -= SizeOf(chunks.front());
    chunks.pop_front();
  }
}

std::vector<wire::Envelope> AnswerTail::Missing(std::uint32_t next_sequence) const {
  std::vector<wire::Envelope> messages;
  for (const wire::ResponseChunk& chunk : chunks) {
    if (chunk.sequence() < next_sequence) continue;
    // With a gap the answer cannot be completed.
    if (messages.empty() && chunk.sequence() != next_sequence) break;
    *messages.emplace_back().mutable_response_chunk() = chunk;
  }
  return messages;
}

void KeptAnswers::Keep(const CallKey& key, AnswerTail tail, TimePoint now) {
  if (tail.bytes > m_max_bytes || m_entries.contains(key)) return;
  m_bytes += tail.bytes;
  const auto position = m_order.insert(m_order.end(), key);
  m_entries.emplace(key, Entry{std::move(tail), now, position});
  while (m_bytes > m_max_bytes) DropOldest();
}

void KeptAnswers::DropOld(TimePoint now) {
  while (!m_order.empty() && now - m_entries.at(m_order.front()).kept_at > m_max_age) DropOldest();
}

const AnswerTail* KeptAnswers::Find(const CallKey& key) const {
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? nullptr : &found->second.tail;
}

void KeptAnswers::DropOldest() {
  const auto found = m_entries.find(m_order.front());
  m_bytes -= found->second.tail.bytes;
  m_entries.erase(found);
  m_order.pop_front();
}

}  // namespace damaskhollow
