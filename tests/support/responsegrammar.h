#ifndef DAMASKHOLLOW_TESTS_SUPPORT_RESPONSEGRAMMAR_H_
#define DAMASKHOLLOW_TESTS_SUPPORT_RESPONSEGRAMMAR_H_

#include <string_view>

namespace damaskhollow::test {

// Whether the bytes begin with a response head that a sender may generate by RFC 9112: a status
// line with a status from 100 to 599, field lines with a token as their name and without line
// folding, and an empty line. Does not use the parser of the product.
bool StartsWithValidHead(std::string_view bytes);

}  // namespace damaskhollow::test

#endif  // DAMASKHOLLOW_TESTS_SUPPORT_RESPONSEGRAMMAR_H_
