#ifndef DAMASKHOLLOW_TESTS_SUPPORT_UNRESPONSIVE_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_UNRESPONSIVE_H_

namespace damaskhollow::test {

// Makes an open TCP connection silent for its peer: the kernel drops every segment that arrives for
// `descriptor` and acknowledges none, so that keep-alive probes go unanswered too. Other
// connections are not affected. Returns false if `descriptor` is not an open socket.
bool MakeUnresponsive(int descriptor);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_UNRESPONSIVE_H_
