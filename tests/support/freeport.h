#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_

#include "base/endpoint.h"

namespace damaskhollow::test {

// Returns an address on 127.0.0.1 that nothing listens on. Never returns the same address twice
// within a process.
Endpoint FreeEndpoint();

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_
