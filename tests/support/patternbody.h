#ifndef DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskhollow::test {

// A body that only this key has, so that a byte of another answer or a lost byte is seen.
std::string PatternBody(std::string_view key, std::size_t bytes);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_PATTERNBODY_H_
