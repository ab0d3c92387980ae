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

// Holds the chunks of a response that the ingress has not yet granted credit for, and so may not
// have received, for retransmission after a link was lost.
struct RetransmitBuffer {
  std::deque<wire::ResponseChunk> chunks;
  std::size_t bytes = 0;  // Serialized size of all chunks, heads included.

  void Add(const wire::ResponseChunk& chunk);

  // Removes the leading chunks whose bytes are covered by the credit that the ingress granted.
  // The last chunk of a response is never removed.
  void OnCredit(std::size_t credited);

  // Returns the messages from `next_sequence` on, which the ingress lacks. Empty if the ingress has
  // all chunks, or if the chunk `next_sequence` has already been removed.
  std::vector<wire::Envelope> MessagesFrom(std::uint32_t next_sequence) const;

 private:
  std::size_t m_credited = 0;  // Credit that does not yet cover the first chunk.
};

// Retains the uncredited chunks of finished responses, so that they can be sent again when a link
// went silent. Bounded in age and bytes; the oldest entries are evicted first. Not thread-safe.
class RetransmitCache {
 public:
  RetransmitCache(std::size_t max_bytes, Duration max_age)
      : m_max_bytes(max_bytes), m_max_age(max_age) {}

  // Stores the buffer of a call. Does nothing if the buffer alone exceeds the byte limit, or if the
  // call already has an entry.
  void Store(const CallKey& key, RetransmitBuffer buffer, TimePoint now);

  // Removes entries that are older than the maximum age.
  void EvictExpired(TimePoint now);

  // Returns the buffer of a call, or null.
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
  std::list<CallKey> m_oldest_first;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_OWNER_RETRANSMITCACHE_H_
