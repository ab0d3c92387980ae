#ifndef DAMASKHOLLOW_RUNTIME_DESCRIPTORLIMIT_H_
#define DAMASKHOLLOW_RUNTIME_DESCRIPTORLIMIT_H_

#include <cstddef>
#include <vector>

namespace damaskhollow {

// Raises the soft limit of open descriptors of this process to the hard limit, or to `most` if that
// is lower and not 0.
void RaiseDescriptorLimit(std::size_t most);

// Returns the number of descriptors that this process may have open now, at most `most` if that is
// not 0.
std::size_t DescriptorLimit(std::size_t most);

// Holds some descriptors in reserve, which are given up to accept and refuse connections when no
// other descriptor is left. Without them, callers would wait in the listen queue unanswered.
class SpareDescriptors {
 public:
  explicit SpareDescriptors(std::size_t count);
  ~SpareDescriptors();
  SpareDescriptors(const SpareDescriptors&) = delete;
  SpareDescriptors& operator=(const SpareDescriptors&) = delete;

  // Frees one descriptor. Returns false if none is left in reserve.
  bool ReleaseOne();

  // Takes descriptors until the reserve is full or no more is free.
  void Refill();

 private:
  const std::size_t m_count;
  std::vector<int> m_descriptors;
};

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_RUNTIME_DESCRIPTORLIMIT_H_
