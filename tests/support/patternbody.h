#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskhollow::test {

// Returns a pseudo-random body derived from `key`, so that a test detects lost bytes and bytes of
// another response.
std::string PatternBody(std::string_view key, std::size_t bytes);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_
