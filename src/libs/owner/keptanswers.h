#ifndef DAMASKHOLLOW_OWNER_KEPTANSWERS_H_
#define DAMASKHOLLOW_OWNER_KEPTANSWERS_H_

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "policy/sendguard.h"
#include "wire/messages.pb.h"

namespace damaskhollow {

// The part of an answer that its ingress may not have received: the chunks that it has not given
// credit for.
struct AnswerTail {
  std::deque<wire::ResponseChunk> chunks;
  std::size_t bytes = 0;  // Of all chunks with their heads.

  void Add(const wire::ResponseChunk& chunk);

  // Drops chunks from the front whose bytes the ingress has passed on.
  void NoteCredit(std::size_t credited);

  // The messages that an ingress lacks; empty if it has all, or if some have been dropped.
  std::vector<wire::Envelope> Missing(std::uint32_t next_sequence) const;

 private:
  std::size_t m_credited = 0;  // Credit that does not cover the first chunk yet.
};

// Keeps the tails of finished answers for a while, so that they can be sent again when a link went
// silent. Bounded in time and bytes.
class KeptAnswers {
 public:
  KeptAnswers(std::size_t max_bytes, Duration max_age)
      : m_max_bytes(max_bytes), m_max_age(max_age) {}

  void Keep(const CallKey& key, AnswerTail tail, TimePoint now);
  void DropOld(TimePoint now);
  const AnswerTail* Find(const CallKey& key) const;

 private:
  struct Entry {
    AnswerTail tail;
    TimePoint kept_at{};
    std::list<CallKey>::iterator position;
  };

  void DropOldest();

  const std::size_t m_max_bytes;
  const Duration m_max_age;
  std::size_t m_bytes = 0;
  std::map<CallKey, Entry> m_entries;
  std::list<CallKey> m_order;  // Oldest first.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_KEPTANSWERS_H_
