#ifndef DAMASKHOLLOW_TESTS_SUPPORT_NOFREEDESCRIPTORS_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_NOFREEDESCRIPTORS_H_

#include <sys/resource.h>

namespace damaskhollow::test {

// Takes all free descriptors away from this process until it is destroyed.
class NoFreeDescriptors {
 public:
  NoFreeDescriptors();
  ~NoFreeDescriptors();
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;

 private:
  rlimit m_previous{};
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_NOFREEDESCRIPTORS_H_
