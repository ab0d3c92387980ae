#ifndef DAMASKHOLLOW_OWNER_RETRANSMITCACHE_H_
#define DAMASKHOLLOW_OWNER_RETRANSMITCACHE_H_

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
struct RetransmitBuffer {
  std::deque<wire::ResponseChunk> chunks;
  std::size_t bytes = 0;  // Of all chunks with their heads.

  void Add(const wire::ResponseChunk& chunk);

  // Drops chunks from the front whose bytes the ingress has passed on.
  void OnCredit(std::size_t credited);

  // The messages that an ingress lacks; empty if it has all, or if some have been dropped.
  std::vector<wire::Envelope> MessagesFrom(std::uint32_t next_sequence) const;

 private:
  std::size_t m_credited = 0;  // Credit that does not cover the first chunk yet.
};

// Keeps the tails of finished answers for a while, so that they can be sent again when a link went
// silent. Bounded in time and bytes.
class RetransmitCache {
 public:
  RetransmitCache(std::size_t max_bytes, Duration max_age)
      : m_max_bytes(max_bytes), m_max_age(max_age) {}

  void Store(const CallKey& key, RetransmitBuffer buffer, TimePoint now);
  void EvictExpired(TimePoint now);
  const RetransmitBuffer* Find(const CallKey& key) const;

 private:
  struct Entry {
    RetransmitBuffer buffer;
    TimePoint stored_at{};
    std::list<CallKey>::iterator position;
  };

  void EvictOldest();

  const std::size_t m_max_bytes;
  const Duration m_max_age;
  std::size_t m_bytes = 0;
  std::map<CallKey, Entry> m_entries;
  std::list<CallKey> m_oldest_first;  // Oldest first.
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_RETRANSMITCACHE_H_
