#ifndef DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_

#include "base/endpoint.h"

namespace damaskhollow::test {

// An address on 127.0.0.1 that nothing listens on. This process gets no address twice.
Endpoint FreeEndpoint();

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_FREEPORT_H_
