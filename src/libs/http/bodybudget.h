#ifndef DAMASKHOLLOW_HTTP_BODYBUDGET_H_
#define DAMASKHOLLOW_HTTP_BODYBUDGET_H_

#include <atomic>
#include <cstddef>

namespace damaskhollow {

// Limits the memory used by all buffered message bodies of a process. May be used from any thread.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t capacity_bytes) : m_capacity(capacity_bytes) {}

  // Reserves `bytes`; returns false and reserves nothing if fewer are available.
  bool TryReserve(std::size_t bytes) {
    std::size_t used = m_used.load();
    do {
      if (bytes > m_capacity - used) return false;
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    return true;
  }

  void Release(std::size_t bytes) { m_used.fetch_sub(bytes); }

  std::size_t Used() const { return m_used.load(); }

 private:
  const std::size_t m_capacity;
  std::atomic<std::size_t> m_used{0};
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_HTTP_BODYBUDGET_H_
