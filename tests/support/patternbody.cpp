#include "support/patternbody.h"

#include <cstring>

#include "base/randomsource.h"

namespace damaskhollow::test {

std::string PatternBody(std::string_view key, std::size_t bytes) {
  std::string body(bytes, '\0');
  RandomSource random(StableHash(key, "body"));
  for (std::size_t at = 0; at < bytes; at += sizeof(std::uint64_t)) {
    const std::uint64_t word = random.Next();
    std::memcpy(body.data() + at, &word, std::min(sizeof(word), bytes - at));
  }
  return body;
}

}  // namespace damaskhollow::test
