#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FULLLISTENER_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FULLLISTENER_H_

#include <vector>

#include "base/endpoint.h"

namespace damaskhollow::test {

// A loopback port whose queue of new connections is full, so that the kernel drops the opening
// packets of further ones and connecting hangs.
class FullListener {
 public:
  FullListener();
  ~FullListener();
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  const Endpoint& Address() const { return m_address; }

 private:
  std::vector<int> m_descriptors;  // The listening socket and the connections that fill its queue.
  Endpoint m_address;
};

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FULLLISTENER_H_
