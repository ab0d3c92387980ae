#ifndef DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
#define DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_

#include <string_view>
#include <vector>

#include "base/result.h"
#include "declaration/declaration.h"

namespace damaskhollow {

// The result of parsing a declaration. `declaration` is valid only if `failures` is empty. The
// subject of each failure is "FILE: field path".
struct ParsedDeclaration {
  Declaration declaration;
  std::vector<Failure> failures;
};

// Parses and validates the JSON text of a declaration. `file` is used in failures only. Reports all
// failures, not only the first one; only a failure with kSyntax ends parsing early.
ParsedDeclaration ParseDeclaration(std::string_view file, std::string_view text);

}  // namespace damaskhollow

#endif  // DAMASKHOLLOW_DECLARATION_DECLARATIONPARSER_H_
