#ifndef DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_

#include <string_view>
#include <vector>

#include "base/result.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// What came of reading a declaration. It is usable only if `failures` is empty; each failure's
// subject is "FILE: field path".
struct ParsedDeclaration {
  Declaration declaration;
  std::vector<Failure> failures;
};

// Parses and validates the JSON text of a declaration. `file` is named in failures only. All
// failures are reported, not only the first.
ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
